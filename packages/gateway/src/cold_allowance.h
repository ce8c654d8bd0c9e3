#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/gateway/gateway.h"
#include "tamarackwing/state/snapshot.h"

namespace tamarackwing::gateway {

//! Returns a function that tells how many requests per second this host may
//! send to a cold server of a service: one if it is among the server's owners,
//! of which there are as many as the server admits requests per second, at
//! least one. Returns none if no service of that name has a limit. Thread
//! safety: reentrant.
std::function<std::uint32_t(const BackendServerName&)> MakeColdAllowance(
    std::shared_ptr<const state::Snapshot> snapshot,
    const GatewaySettings& settings,
    const std::string& service);

}  // namespace tamarackwing::gateway
