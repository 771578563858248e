#include "transport/http_message.h"

#include <algorithm>
#include <cctype>

namespace kumquat {

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

bool ImpliesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace kumquat
