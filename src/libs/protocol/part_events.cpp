#include "protocol/part_events.h"

#include <xxhash.h>

namespace kumquat {

std::uint64_t PartKey(std::string_view salt, std::string_view part) {
  const std::uint64_t seed = XXH3_64bits(salt.data(), salt.size());
  return XXH3_64bits_withSeed(part.data(), part.size(), seed);
}

}  // namespace kumquat
