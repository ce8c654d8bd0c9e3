#include "metrics_listener.h"

namespace tamarackwing::daemon {
namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr std::string_view kText = "text/plain";

}  // namespace

MetricsListener::MetricsListener(const Metrics& metrics) : metrics(metrics) {}

std::optional<http::Response> MetricsListener::CheckHead(
    const http::RequestHead& head) {
  if (head.target != "/metrics") {
    return http::MakeResponse(kNotFound, kText, "not found\n");
  }
  return std::nullopt;
}

http::asio::awaitable<void> MetricsListener::Handle(
    http::Request,
    http::ResponseWriter& writer) {
  co_await writer.Send(http::MakeResponse(kOk, kText, this->metrics.Render()));
}

http::Response MetricsListener::RejectFault(http::RequestFault) {
  return http::MakeResponse(kBadRequest, kText, "malformed request\n");
}

}  // namespace tamarackwing::daemon
