#pragma once

//! The callers' side of a host: typed requests, refusals and the listener.

#include "tamarackwing/callers/caller_head.h"
#include "tamarackwing/callers/caller_listener.h"
#include "tamarackwing/callers/caller_service.h"
#include "tamarackwing/callers/model_call.h"
#include "tamarackwing/callers/refusal_response.h"
