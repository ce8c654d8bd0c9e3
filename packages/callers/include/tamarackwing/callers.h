#pragma once

//! HTTP API for callers: request parsing, refusal responses and the listener.

#include "tamarackwing/callers/caller_head.h"
#include "tamarackwing/callers/caller_listener.h"
#include "tamarackwing/callers/caller_service.h"
#include "tamarackwing/callers/model_call.h"
#include "tamarackwing/callers/refusal_response.h"
