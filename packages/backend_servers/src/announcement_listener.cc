#include "tamarackwing/backend_servers/announcement_listener.h"

#include <string_view>
#include <utility>

#include "tamarackwing/backend_servers/server_registry.h"

namespace tamarackwing::backend_servers {
namespace {

constexpr std::string_view kJson = "application/json";
constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kForbidden = 403;
constexpr unsigned kNotFound = 404;

http::Response CodeResponse(unsigned status, std::string_view code) {
  return http::MakeResponse(status, kJson,
                            "{\"code\":\"" + std::string(code) + "\"}");
}

std::string_view ErrorName(AnnouncementError error) {
  switch (error) {
    case AnnouncementError::kNotJson:
      return "not_json";
    case AnnouncementError::kMissingField:
      return "missing_field";
    case AnnouncementError::kOutOfRange:
      return "out_of_range";
  }
  return "unknown";
}

}  // namespace

AnnouncementListener::AnnouncementListener(ServerRegistry& registry)
    : registry(registry) {}

std::optional<http::Response> AnnouncementListener::CheckHead(
    const http::RequestHead& head) {
  const bool known =
      head.target == "/v1/servers" || head.target == "/v1/cache_events";
  if (head.method != "POST" || !known) {
    return CodeResponse(kNotFound, "not_found");
  }
  return std::nullopt;
}

http::asio::awaitable<void> AnnouncementListener::Handle(
    http::Request request,
    http::ResponseWriter& writer) {
  co_await writer.Send(this->Apply(request));
}

http::Response AnnouncementListener::RejectFault(http::RequestFault) {
  return CodeResponse(kBadRequest, "malformed_request");
}

http::Response AnnouncementListener::Apply(const http::Request& request) {
  if (request.head.target == "/v1/cache_events") {
    const auto events = ParseCacheEvents(request.body);
    if (!events) {
      return CodeResponse(kBadRequest, ErrorName(events.error()));
    }
    this->registry.NoteCacheEvents(*events);
    return CodeResponse(kOk, "taken");
  }
  const auto report = ParseAnnouncement(request.body);
  if (!report) {
    return CodeResponse(kBadRequest, ErrorName(report.error()));
  }
  if (!this->registry.Announce(*report)) {
    return CodeResponse(kForbidden, "other_region");
  }
  return CodeResponse(kOk, "taken");
}

}  // namespace tamarackwing::backend_servers
