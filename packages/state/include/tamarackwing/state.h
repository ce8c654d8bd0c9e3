#pragma once

//! Replicated state as pure parts, and the files that keep it: the agreed log,
//! the control state, the ledger of operations, journals.

#include "tamarackwing/state/agreed_log.h"
#include "tamarackwing/state/configuration_set.h"
#include "tamarackwing/state/control_change.h"
#include "tamarackwing/state/control_state.h"
#include "tamarackwing/state/journal.h"
#include "tamarackwing/state/log_store.h"
#include "tamarackwing/state/operation_ledger.h"
#include "tamarackwing/state/posix_disk.h"
#include "tamarackwing/state/set_checker.h"
#include "tamarackwing/state/set_parser.h"
#include "tamarackwing/state/snapshot.h"
