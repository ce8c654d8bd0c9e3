#pragma once

#include <cstdint>

#include "tamarackwing/base/strong_id.h"

namespace tamarackwing {

//! One process of the gateway, by the name in its settings.
using HostName = StrongId<struct HostNameTag>;
//! A region, such as muscat.
using RegionName = StrongId<struct RegionNameTag>;
//! A data centre inside a region.
using DataCentreName = StrongId<struct DataCentreNameTag>;
//! A tenant of the system.
using WorkspaceName = StrongId<struct WorkspaceNameTag>;
//! What a caller asks for: a model or a plain service.
using RouteName = StrongId<struct RouteNameTag>;
//! A server that runs requests, by the name it announces.
using BackendServerName = StrongId<struct BackendServerNameTag>;
//! The digest of a caller's key, in hexadecimal; the key itself is not kept.
using KeyDigest = StrongId<struct KeyDigestTag>;
//! An operator's name for one attempt to publish; a resend carries the same.
using PublishId = StrongId<struct PublishIdTag>;
//! The digest of a workspace and its idempotency key.
using OperationId = StrongId<struct OperationIdTag>;

//! A count of prompt and output tokens.
using TokenCount = std::int64_t;
//! A position in the agreed log; the first entry has 1.
using LogIndex = std::uint64_t;
//! A leader's term in the agreed log.
using Term = std::uint64_t;
//! A version of the configuration set: the log index that published it.
using SetVersion = std::uint64_t;

}  // namespace tamarackwing
