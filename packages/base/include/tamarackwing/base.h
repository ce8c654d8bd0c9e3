#pragma once

//! Includes all of the base package: identifiers, clocks, events, refusals,
//! spans and metrics.

#include "tamarackwing/base/clock.h"
#include "tamarackwing/base/digest.h"
#include "tamarackwing/base/event.h"
#include "tamarackwing/base/expected.h"
#include "tamarackwing/base/hex.h"
#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/base/metrics.h"
#include "tamarackwing/base/random_source.h"
#include "tamarackwing/base/refusal.h"
#include "tamarackwing/base/span.h"
#include "tamarackwing/base/trace_context.h"
