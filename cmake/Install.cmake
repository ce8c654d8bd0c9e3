# Libraries that other projects can embed.
install(
  TARGETS tamarackwing_base tamarackwing_config tamarackwing_policy
          tamarackwing_state
  EXPORT tamarackwing-targets
  ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
foreach(package base config policy state)
  install(DIRECTORY packages/${package}/include/
          DESTINATION ${CMAKE_INSTALL_INCLUDEDIR})
endforeach()
install(
  EXPORT tamarackwing-targets
  NAMESPACE tamarackwing::
  DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/tamarackwing
  FILE tamarackwing-targets.cmake)
install(FILES cmake/tamarackwing-config.cmake
        DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/tamarackwing)
install(TARGETS tamarackwing tamarackwingd DESTINATION ${CMAKE_INSTALL_BINDIR})
