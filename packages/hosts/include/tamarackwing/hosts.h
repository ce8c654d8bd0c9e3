#pragma once

//! Messages between hosts over Cap'n Proto RPC.

#include "tamarackwing/hosts/peer_handler.h"
#include "tamarackwing/hosts/peer_network.h"
