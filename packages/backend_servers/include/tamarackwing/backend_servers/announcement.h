#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "tamarackwing/base/expected.h"
#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/policy/server_report.h"

namespace tamarackwing::backend_servers {

//! Reason why an announcement or cache events could not be parsed.
enum class AnnouncementError { kNotJson, kMissingField, kOutOfRange };

//! Prompt prefixes that a server reports as held in its cache. Reports may
//! arrive late or be lost.
struct CacheEvents {
  BackendServerName server;
  std::vector<std::uint64_t> prefixes;
};

//! Parses an announcement or renewal. Thread safety: reentrant.
Expected<policy::ServerReport, AnnouncementError> ParseAnnouncement(
    std::string_view json);

//! Parses cache events. Thread safety: reentrant.
Expected<CacheEvents, AnnouncementError> ParseCacheEvents(
    std::string_view json);

}  // namespace tamarackwing::backend_servers
