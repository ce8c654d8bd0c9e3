#pragma once

//! The operators' API.

#include "tamarackwing/operators/operator_listener.h"
#include "tamarackwing/operators/operator_service.h"
