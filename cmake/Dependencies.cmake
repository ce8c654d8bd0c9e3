find_package(Threads REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(Boost 1.74 REQUIRED)
find_package(gflags REQUIRED)
find_package(nlohmann_json 3.11 REQUIRED)
find_package(tomlplusplus CONFIG QUIET)
find_library(LOG4CPLUS_LIBRARY log4cplus REQUIRED)

add_library(tamarackwing::log4cplus INTERFACE IMPORTED GLOBAL)
target_link_libraries(tamarackwing::log4cplus INTERFACE "${LOG4CPLUS_LIBRARY}")

find_library(ZSTD_LIBRARY zstd REQUIRED)
add_library(tamarackwing::zstd INTERFACE IMPORTED GLOBAL)
target_link_libraries(tamarackwing::zstd INTERFACE "${ZSTD_LIBRARY}")

# Cap'n Proto's CMake configuration file looks for libatomic in a place where
# Debian does not install it, so its libraries are located here.
add_library(tamarackwing_capnp INTERFACE)
foreach(library capnp-rpc capnp kj-async kj)
  find_library(TAMARACKWING_LIBRARY_${library} ${library} REQUIRED)
  target_link_libraries(tamarackwing_capnp
                        INTERFACE "${TAMARACKWING_LIBRARY_${library}}")
endforeach()

# Asio and Beast take about ten seconds to compile in each file that includes
# them, so targets that link to tamarackwing_beast precompile these headers.
add_library(tamarackwing_beast INTERFACE)
target_compile_definitions(
  tamarackwing_beast INTERFACE BOOST_ASIO_NO_DEPRECATED
                               BOOST_ASIO_DISABLE_CONCEPTS
                               BOOST_ERROR_CODE_HEADER_ONLY)
target_compile_options(tamarackwing_beast INTERFACE -fcoroutines
                       -Wno-mismatched-new-delete)
target_link_libraries(tamarackwing_beast INTERFACE Boost::headers
                                                   Threads::Threads)
target_precompile_headers(
  tamarackwing_beast INTERFACE <utility> <boost/asio.hpp> <boost/beast/core.hpp>
  <boost/beast/http.hpp>)

if(TAMARACKWING_BUILD_TESTS)
  find_package(GTest REQUIRED)
  find_package(rapidcheck REQUIRED)
endif()
