#include "utils/endpoint.h"

#include <arpa/inet.h>

#include <charconv>

namespace kumquat {
namespace {

bool IsIpNumber(std::string_view ip, bool bracketed) {
  in6_addr address{};
  return inet_pton(bracketed ? AF_INET6 : AF_INET, std::string(ip).c_str(), &address) == 1;
}

}  // namespace

std::string Endpoint::ToString() const {
  const bool is_v6 = ip.find(':') != std::string::npos;
  const std::string host = is_v6 ? "[" + ip + "]" : ip;
  return host + ":" + std::to_string(port);
}

std::optional<Endpoint> ParseEndpoint(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  std::string_view host = text.substr(0, colon);
  const std::string_view digits = text.substr(colon + 1);
  const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) host = host.substr(1, host.size() - 2);
  if (!IsIpNumber(host, bracketed)) return std::nullopt;
  std::uint16_t port = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error != std::errc() || end != digits.data() + digits.size()) return std::nullopt;
  return Endpoint{std::string(host), port};
}

std::optional<NamedEndpoint> ParseNamedEndpoint(std::string_view text) {
  const auto at = text.find('@');
  if (at == std::string_view::npos || at == 0) return std::nullopt;
  const auto endpoint = ParseEndpoint(text.substr(at + 1));
  if (!endpoint) return std::nullopt;
  return NamedEndpoint{std::string(text.substr(0, at)), *endpoint};
}

}  // namespace kumquat
