#pragma once

// The parser reports faults as values here, not as exceptions.
#define TOML_EXCEPTIONS 0
#define TOML_ENABLE_FORMATTERS 1
#include <toml++/toml.h>
