add_library(tamarackwing_warnings INTERFACE)
target_compile_options(
  tamarackwing_warnings INTERFACE -Wall -Wextra -Wpedantic -Wshadow=local
                                  -Wnon-virtual-dtor -Woverloaded-virtual
                                  -Werror)
if(TAMARACKWING_SANITIZE)
  target_compile_options(
    tamarackwing_warnings INTERFACE -fsanitize=${TAMARACKWING_SANITIZE}
                                    -fno-omit-frame-pointer)
  target_link_options(tamarackwing_warnings INTERFACE
                      -fsanitize=${TAMARACKWING_SANITIZE})
endif()
