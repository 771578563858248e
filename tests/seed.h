// Seeds of randomized tests that take real time.
#pragma once

#include <cstdint>
#include <cstdlib>

namespace kumquat {

// Returns the seed in the environment variable KUMQUAT_SEED, or the fixed one if it isn't set.
inline std::uint64_t TestSeed(std::uint64_t fixed_seed) {
  const char* text = std::getenv("KUMQUAT_SEED");
  return text == nullptr ? fixed_seed : std::strtoull(text, nullptr, 10);
}

}  // namespace kumquat
