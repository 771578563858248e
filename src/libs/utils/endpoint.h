// An address that a process listens on or connects to.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace kumquat {

// An IP number and a port.
struct Endpoint {
  std::string ip;
  std::uint16_t port = 0;

  auto operator<=>(const Endpoint&) const = default;

  // Returns "ip:port", with brackets around an IPv6 number.
  std::string ToString() const;
};

// Reads "127.0.0.1:8080" or "[::1]:8080"; nothing when it is not an IP number with a port.
std::optional<Endpoint> ParseEndpoint(std::string_view text);

// A peer process as it stands in the settings: "name@ip:port".
struct NamedEndpoint {
  std::string name;
  Endpoint endpoint;

  bool operator==(const NamedEndpoint&) const = default;
};

// Reads "name@ip:port"; nothing when either part is missing or wrong.
std::optional<NamedEndpoint> ParseNamedEndpoint(std::string_view text);

}  // namespace kumquat
