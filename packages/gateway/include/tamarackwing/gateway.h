#pragma once

//! Request handling on an entry host: authorization, admission control, and
//! routing to a backend server or another region.

#include "tamarackwing/gateway/active_requests.h"
#include "tamarackwing/gateway/admission_gate.h"
#include "tamarackwing/gateway/authorizer.h"
#include "tamarackwing/gateway/block_quarantine.h"
#include "tamarackwing/gateway/gateway.h"
#include "tamarackwing/gateway/gateway_settings.h"
#include "tamarackwing/gateway/path_gateway.h"
#include "tamarackwing/gateway/path_protocol.h"
#include "tamarackwing/gateway/server_directory.h"
#include "tamarackwing/gateway/snapshot_holder.h"
