// Keys of callers are kept as digests only.
#pragma once

#include <string>
#include <string_view>

namespace kumquat {

// Returns the SHA-256 digest of the key in hexadecimal.
std::string KeyDigest(std::string_view key);

}  // namespace kumquat
