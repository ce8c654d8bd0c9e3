#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tamarackwing::http {

//! An IP address and port.
struct Endpoint {
  std::string address;
  std::uint16_t port = 0;

  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

//! Reads ADDRESS:PORT; nothing where either is missing or the port is zero.
//! The address is not looked at. Thread safety: reentrant.
std::optional<Endpoint> ParseEndpoint(std::string_view text);

}  // namespace tamarackwing::http
