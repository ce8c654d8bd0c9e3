#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tamarackwing::http {

//! IP address and port.
struct Endpoint {
  std::string address;
  std::uint16_t port = 0;

  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

//! Parses `ADDRESS:PORT`. Returns nullopt if either is missing or the port is
//! zero or not a number. The address is not validated.
//! Thread safety: reentrant.
std::optional<Endpoint> ParseEndpoint(std::string_view text);

}  // namespace tamarackwing::http
