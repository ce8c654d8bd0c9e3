#pragma once

//! Reading of checked TOML documents, with every fault named at once.

#include "tamarackwing/config/fault.h"
#include "tamarackwing/config/table_reader.h"
