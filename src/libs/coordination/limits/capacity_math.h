// Element-wise arithmetic on the fields of a capacity.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>

#include "protocol/lists.h"

namespace kumquat::Internal {

// The fields of a capacity. Shares of each are granted independently of the others.
inline constexpr std::array<std::int64_t Capacity::*, 3> kCapacityFields = {
    &Capacity::requests_per_second, &Capacity::tokens_per_second, &Capacity::concurrent_requests};

// Applies `combine` to each field of two capacities.
template <typename Combine>
Capacity CombineFields(const Capacity& left, const Capacity& right, Combine combine) {
  Capacity result;
  for (const auto field : kCapacityFields) result.*field = combine(left.*field, right.*field);
  return result;
}

inline Capacity Sum(const Capacity& left, const Capacity& right) {
  return CombineFields(left, right, [](std::int64_t a, std::int64_t b) { return a + b; });
}

inline Capacity Difference(const Capacity& left, const Capacity& right) {
  return CombineFields(left, right, [](std::int64_t a, std::int64_t b) { return a - b; });
}

inline Capacity ElementwiseMin(const Capacity& left, const Capacity& right) {
  return CombineFields(left, right, [](std::int64_t a, std::int64_t b) { return std::min(a, b); });
}

inline Capacity ElementwiseMax(const Capacity& left, const Capacity& right) {
  return CombineFields(left, right, [](std::int64_t a, std::int64_t b) { return std::max(a, b); });
}

// Returns whether `left` is below `right` in any field.
inline bool AnyFieldBelow(const Capacity& left, const Capacity& right) {
  return std::any_of(kCapacityFields.begin(), kCapacityFields.end(),
                     [&](auto field) { return left.*field < right.*field; });
}

}  // namespace kumquat::Internal
