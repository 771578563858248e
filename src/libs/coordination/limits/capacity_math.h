// Element-wise arithmetic on the dimensions of a capacity.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>

#include "protocol/lists.h"

namespace kumquat::Internal {

// The dimensions of a capacity. Shares of each are granted independently of the others.
inline constexpr std::array<std::int64_t Capacity::*, 3> kCapacityDimensions = {
    &Capacity::requests_per_second, &Capacity::tokens_per_second, &Capacity::concurrent_requests};

// Applies `combine` to each dimension of two capacities.
template <typename Combine>
Capacity CombineDimensions(const Capacity& left, const Capacity& right, Combine combine) {
  Capacity result;
  for (const auto dimension : kCapacityDimensions)
    result.*dimension = combine(left.*dimension, right.*dimension);
  return result;
}

inline Capacity Sum(const Capacity& left, const Capacity& right) {
  return CombineDimensions(left, right, [](std::int64_t a, std::int64_t b) { return a + b; });
}

inline Capacity Difference(const Capacity& left, const Capacity& right) {
  return CombineDimensions(left, right, [](std::int64_t a, std::int64_t b) { return a - b; });
}

inline Capacity ElementwiseMin(const Capacity& left, const Capacity& right) {
  return CombineDimensions(left, right,
                           [](std::int64_t a, std::int64_t b) { return std::min(a, b); });
}

inline Capacity ElementwiseMax(const Capacity& left, const Capacity& right) {
  return CombineDimensions(left, right,
                           [](std::int64_t a, std::int64_t b) { return std::max(a, b); });
}

// Returns whether `left` is below `right` in any dimension.
inline bool AnyDimensionBelow(const Capacity& left, const Capacity& right) {
  return std::any_of(kCapacityDimensions.begin(), kCapacityDimensions.end(),
                     [&](auto dimension) { return left.*dimension < right.*dimension; });
}

}  // namespace kumquat::Internal
