#pragma once

//! Replicated state and its storage: the agreed log, the control state and the
//! operation ledger, which perform no I/O, and the journal files that persist
//! them.

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
