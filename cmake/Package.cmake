include(GNUInstallDirs)

# Adds the library tamarackwing::<name> for packages/<name>.
function(tamarackwing_add_package name)
  cmake_parse_arguments(ARG "" "" "SOURCES;PUBLIC;PRIVATE" ${ARGN})
  add_library(tamarackwing_${name} STATIC ${ARG_SOURCES})
  add_library(tamarackwing::${name} ALIAS tamarackwing_${name})
  set_target_properties(tamarackwing_${name} PROPERTIES EXPORT_NAME ${name})
  target_compile_features(tamarackwing_${name} PUBLIC cxx_std_20)
  target_include_directories(
    tamarackwing_${name}
    PUBLIC $<BUILD_INTERFACE:${CMAKE_CURRENT_SOURCE_DIR}/include>
           $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}>
    PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/src)
  target_link_libraries(
    tamarackwing_${name}
    PUBLIC ${ARG_PUBLIC}
    PRIVATE ${ARG_PRIVATE} $<BUILD_INTERFACE:tamarackwing_warnings>)
endfunction()

# Adds a program with the warnings of the project.
function(tamarackwing_add_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LIBRARIES" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE ${ARG_LIBRARIES} tamarackwing_warnings)
endfunction()

# Adds a test program that uses GoogleTest and RapidCheck. RapidCheck uses the
# same seed in every run.
function(tamarackwing_add_test name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LIBRARIES" ${ARGN})
  if(NOT TAMARACKWING_BUILD_TESTS)
    return()
  endif()
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(
    ${name} PRIVATE ${ARG_LIBRARIES} GTest::gmock GTest::gtest GTest::gtest_main
                    rapidcheck tamarackwing_warnings)
  target_compile_options(${name} PRIVATE -O1)
  add_test(NAME ${name} COMMAND ${name})
  set_tests_properties(
    ${name} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204 max_success=300" TIMEOUT 300)
endfunction()
