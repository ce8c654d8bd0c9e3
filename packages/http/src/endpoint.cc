#include "tamarackwing/http/endpoint.h"

#include <charconv>
#include <system_error>

namespace tamarackwing::http {

std::optional<Endpoint> ParseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return std::nullopt;
  }
  Endpoint endpoint{std::string(text.substr(0, colon)), 0};
  const char* const end = text.data() + text.size();
  const auto [stop, error] =
      std::from_chars(text.data() + colon + 1, end, endpoint.port);
  if (error != std::errc() || stop != end || endpoint.port == 0) {
    return std::nullopt;
  }
  return endpoint;
}

}  // namespace tamarackwing::http
