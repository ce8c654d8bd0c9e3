#pragma once

//! What hosts tell each other, over Cap'n Proto RPC.

#include "tamarackwing/hosts/peer_handler.h"
#include "tamarackwing/hosts/peer_network.h"
