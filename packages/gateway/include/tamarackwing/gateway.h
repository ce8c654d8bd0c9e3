#pragma once

//! The way of a request through a host, from its caller to a backend server.

#include "tamarackwing/gateway/active_requests.h"
#include "tamarackwing/gateway/admission_gate.h"
#include "tamarackwing/gateway/authorizer.h"
#include "tamarackwing/gateway/gateway.h"
#include "tamarackwing/gateway/gateway_settings.h"
#include "tamarackwing/gateway/path_gateway.h"
#include "tamarackwing/gateway/path_protocol.h"
#include "tamarackwing/gateway/server_directory.h"
#include "tamarackwing/gateway/snapshot_holder.h"
