#pragma once

//! Reads and validates TOML documents, and collects all validation errors in
//! one pass.

#include "tamarackwing/config/fault.h"
#include "tamarackwing/config/table_reader.h"
