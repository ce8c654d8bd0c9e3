#pragma once

#include <cstdint>
#include <string>

namespace tamarackwing::http {

//! An IP address and port.
struct Endpoint {
  std::string address;
  std::uint16_t port = 0;

  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

}  // namespace tamarackwing::http
