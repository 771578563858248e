// An HTTP request or answer as it passes between the transport layer and its users.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace kumquat {

// Header fields in the order of the message.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

// Returns whether the two are equal but for the case of ASCII letters.
bool EqualInAnyCase(std::string_view left, std::string_view right);

// Returns the value of the first field with this name, in any case; empty when there is none.
std::string_view HeaderValue(const HttpHeaders& headers, std::string_view name);

// A whole request of a caller.
struct HttpRequest {
  // In capitals, such as "POST".
  std::string method;
  // As sent, with query.
  std::string target;
  // The decoded path, from the leading slash on, without the query.
  std::string path;
  // The raw query, without the question mark.
  std::string query;
  HttpHeaders headers;
  std::string body;

  std::string_view Header(std::string_view name) const { return HeaderValue(headers, name); }
};

// Returns the memory that the request takes, in bytes: also a short field takes that of its entry.
std::int64_t MemoryOf(const HttpRequest& request);

// Returns whether callers take the status as a promise that the request has not run.
bool ImpliesNotRun(int status);

}  // namespace kumquat
