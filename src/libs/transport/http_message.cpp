#include "transport/http_message.h"

#include <algorithm>
#include <cctype>

namespace kumquat {
namespace {

// Returns what the text takes beside the string object itself.
std::int64_t HeapBytes(const std::string& text) {
  static const std::size_t in_object = std::string().capacity();
  return text.capacity() > in_object ? static_cast<std::int64_t>(text.capacity()) : 0;
}

}  // namespace

bool EqualInAnyCase(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
    return std::tolower(static_cast<unsigned char>(a)) ==
           std::tolower(static_cast<unsigned char>(b));
  });
}

std::string_view HeaderValue(const HttpHeaders& headers, std::string_view name) {
  for (const auto& [field, value] : headers) {
    if (EqualInAnyCase(field, name)) return value;
  }
  return {};
}

std::int64_t MemoryOf(const HttpRequest& request) {
  std::int64_t bytes = HeapBytes(request.method) + HeapBytes(request.target) +
                       HeapBytes(request.path) + HeapBytes(request.query) + HeapBytes(request.body);
  bytes += static_cast<std::int64_t>(request.headers.capacity() * sizeof(HttpHeaders::value_type));
  for (const auto& [name, value] : request.headers) bytes += HeapBytes(name) + HeapBytes(value);
  return bytes;
}

bool ImpliesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace kumquat
