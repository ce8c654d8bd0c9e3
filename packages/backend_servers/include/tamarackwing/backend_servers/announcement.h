#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "tamarackwing/base/expected.h"
#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/policy/server_report.h"

namespace tamarackwing::backend_servers {

//! Why an announcement was not taken.
enum class AnnouncementError { kNotJson, kMissingField, kOutOfRange };

//! What a server's cache holds; may come late and with gaps.
struct CacheEvents {
  BackendServerName server;
  std::vector<std::uint64_t> prefixes;
};

//! Reads an announcement or renewal. Thread safety: reentrant.
Expected<policy::ServerReport, AnnouncementError> ParseAnnouncement(
    std::string_view json);

//! Reads cache events. Thread safety: reentrant.
Expected<CacheEvents, AnnouncementError> ParseCacheEvents(
    std::string_view json);

}  // namespace tamarackwing::backend_servers
