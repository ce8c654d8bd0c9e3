#pragma once

//! The control state of one host as a state machine without I/O.

#include "tamarackwing/control/control_effects.h"
#include "tamarackwing/control/control_node.h"
#include "tamarackwing/control/control_options.h"
#include "tamarackwing/control/message_kind.h"
#include "tamarackwing/control/peer_message.h"
