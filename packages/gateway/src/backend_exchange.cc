#include "backend_exchange.h"

namespace tamarackwing::gateway {

http::Endpoint EndpointOf(const policy::ServerChoice& choice) {
  return {choice.address, choice.port};
}

policy::HealthSignal HealthSignalOf(bool failed) {
  return failed ? policy::HealthSignal::kUnreachable
                : policy::HealthSignal::kAnswered;
}

std::string ContentType(const http::ResponseHead& head) {
  return std::string(
      head.headers.Find("Content-Type").value_or("application/json"));
}

http::ResponseHead RelayedHead(const http::ResponseHead& head) {
  http::ResponseHead passed;
  passed.status = head.status;
  passed.headers.Add("Content-Type", ContentType(head));
  return passed;
}

std::string Authority(const http::Endpoint& endpoint) {
  return endpoint.address + ":" + std::to_string(endpoint.port);
}

}  // namespace tamarackwing::gateway
