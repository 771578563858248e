// Arithmetic on each part of a capacity.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>

#include "protocol/lists.h"

namespace kumquat::Internal {

// The parts of a capacity; shares are handed out of each by itself.
inline constexpr std::array<std::int64_t Capacity::*, 3> kCapacityParts = {
    &Capacity::requests_per_second, &Capacity::tokens_per_second, &Capacity::concurrent_requests};

// Combines two capacities part by part.
template <typename Combine>
Capacity CombineParts(const Capacity& left, const Capacity& right, Combine combine) {
  Capacity result;
  for (const auto part : kCapacityParts) result.*part = combine(left.*part, right.*part);
  return result;
}

inline Capacity Sum(const Capacity& left, const Capacity& right) {
  return CombineParts(left, right, [](std::int64_t a, std::int64_t b) { return a + b; });
}

inline Capacity Difference(const Capacity& left, const Capacity& right) {
  return CombineParts(left, right, [](std::int64_t a, std::int64_t b) { return a - b; });
}

inline Capacity Lower(const Capacity& left, const Capacity& right) {
  return CombineParts(left, right, [](std::int64_t a, std::int64_t b) { return std::min(a, b); });
}

inline Capacity Higher(const Capacity& left, const Capacity& right) {
  return CombineParts(left, right, [](std::int64_t a, std::int64_t b) { return std::max(a, b); });
}

// Returns whether any part of `left` is below the same part of `right`.
inline bool AnyPartBelow(const Capacity& left, const Capacity& right) {
  return std::any_of(kCapacityParts.begin(), kCapacityParts.end(),
                     [&](auto part) { return left.*part < right.*part; });
}

}  // namespace kumquat::Internal
