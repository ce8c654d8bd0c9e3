#pragma once

#include <nlohmann/json.hpp>
#include <optional>

#include "tamarackwing/control/peer_message.h"
#include "tamarackwing/state/snapshot.h"

namespace tamarackwing::operators {

//! Returns the status that operators read as JSON: `here` is what this host
//! uses, the rest is from the leader, whose name is null if none replied.
//! Thread safety: reentrant.
nlohmann::ordered_json StatusDocument(
    const state::Snapshot& here,
    const std::optional<control::StatusReply>& reply);

}  // namespace tamarackwing::operators
