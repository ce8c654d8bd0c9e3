#include "operator_client.h"

#include <utility>

#include "tamarackwing/http/connection.h"

namespace tamarackwing::cli {
namespace {

constexpr std::chrono::seconds kTimeout{15};
constexpr std::size_t kMaxBytes = 256 * 1024 * 1024;

}  // namespace

OperatorClient::OperatorClient(http::Endpoint endpoint, std::string token)
    : endpoint(std::move(endpoint)), token(std::move(token)) {}

std::optional<http::Response> OperatorClient::Call(const std::string& method,
                                                   const std::string& target,
                                                   http::Headers headers,
                                                   std::string body) {
  http::Request request;
  request.head.method = method;
  request.head.target = target;
  request.head.headers = std::move(headers);
  request.head.headers.Add("Host", this->endpoint.address);
  request.head.headers.Add("Authorization", "Bearer " + this->token);
  request.body = std::move(body);
  http::asio::io_context& context = *this->threads.All().front();
  auto pending = http::asio::co_spawn(
      context,
      http::Fetch(context, this->endpoint, std::move(request),
                  std::chrono::steady_clock::now() + kTimeout, kMaxBytes),
      http::asio::use_future);
  auto response = pending.get();
  if (!response) {
    return std::nullopt;
  }
  return std::move(*response);
}

}  // namespace tamarackwing::cli
