#pragma once

//! Traffic policy as pure functions and state machines: residency, routing,
//! admission, budgets, retries. Without I/O, clocks and threads: the caller
//! passes events and the time.

#include "tamarackwing/policy/budget_allocator.h"
#include "tamarackwing/policy/budget_holder.h"
#include "tamarackwing/policy/budget_messages.h"
#include "tamarackwing/policy/crash_messages.h"
#include "tamarackwing/policy/crash_observer.h"
#include "tamarackwing/policy/fair_queue.h"
#include "tamarackwing/policy/host_order.h"
#include "tamarackwing/policy/link_health.h"
#include "tamarackwing/policy/quarantine_judge.h"
#include "tamarackwing/policy/rate_holder.h"
#include "tamarackwing/policy/rate_leases.h"
#include "tamarackwing/policy/rate_messages.h"
#include "tamarackwing/policy/rejection_gate.h"
#include "tamarackwing/policy/rendezvous.h"
#include "tamarackwing/policy/residency.h"
#include "tamarackwing/policy/retry_budget.h"
#include "tamarackwing/policy/server_report.h"
#include "tamarackwing/policy/server_statement.h"
#include "tamarackwing/policy/server_table.h"
#include "tamarackwing/policy/slot_share.h"
#include "tamarackwing/policy/spill.h"
#include "tamarackwing/policy/token_bucket.h"
#include "tamarackwing/policy/try_plan.h"
