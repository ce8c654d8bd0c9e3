#pragma once

#include <cstdint>

#include "tamarackwing/base/strong_id.h"

namespace tamarackwing {

//! The configured name of a host, that is, of one gateway process.
using HostName = StrongId<struct HostNameTag>;
//! The name of a region, such as `muscat`.
using RegionName = StrongId<struct RegionNameTag>;
//! The name of a data centre inside a region.
using DataCentreName = StrongId<struct DataCentreNameTag>;
//! The name of a workspace, which owns callers' keys and has a token rate and a
//! residency rule.
using WorkspaceName = StrongId<struct WorkspaceNameTag>;
//! The name of a route, by which callers request a model or a service.
using RouteName = StrongId<struct RouteNameTag>;
//! The name that a backend server announces for itself.
using BackendServerName = StrongId<struct BackendServerNameTag>;
//! The hexadecimal digest of a caller's key; the key itself is not stored.
using KeyDigest = StrongId<struct KeyDigestTag>;
//! An operator's identifier for one published change; a retry uses the same
//! identifier.
using PublishId = StrongId<struct PublishIdTag>;
//! The digest of a workspace, a route and an idempotency key.
using OperationId = StrongId<struct OperationIdTag>;

//! A number of prompt and output tokens.
using TokenCount = std::int64_t;
//! An index in the replicated log; the first entry has index 1.
using LogIndex = std::uint64_t;
//! A leader's term in the replicated log.
using Term = std::uint64_t;
//! A version of the configuration set: the index of the log entry that
//! published it.
using SetVersion = std::uint64_t;

}  // namespace tamarackwing
