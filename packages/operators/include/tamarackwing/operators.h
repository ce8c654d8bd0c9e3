#pragma once

//! HTTP API for operators.

#include "tamarackwing/operators/operator_listener.h"
#include "tamarackwing/operators/operator_service.h"
#include "tamarackwing/operators/set_read.h"
