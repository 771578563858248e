#include "coordination/limits/share_division.h"

#include <algorithm>
#include <functional>
#include <limits>

#include "coordination/limits/capacity_math.h"

namespace kumquat {
namespace {

using Internal::kCapacityFields;

// At this level and above, the remainder of the integer division is not worth distributing.
constexpr std::int64_t kDistributeRemainderBelow = 100;

// Mixes the bits of a number with the finaliser of SplitMix64.
std::uint64_t MixBits(std::uint64_t value) {
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9U;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebU;
  return value ^ (value >> 31);
}

}  // namespace

ShareDivision::ShareDivision(const Capacity& capacity, const std::vector<Demand>& demands,
                             std::uint64_t rotation)
    : rotation_(rotation) {
  for (std::size_t i = 0; i < kCapacityFields.size(); ++i) {
    levels_[i] = Divide(capacity.*kCapacityFields[i], kCapacityFields[i], demands);
  }
}

Capacity ShareDivision::ShareOf(const Demand& demand) const {
  Capacity result;
  for (std::size_t i = 0; i < kCapacityFields.size(); ++i) {
    const std::int64_t wanted = demand.wanted.*kCapacityFields[i];
    std::int64_t limit = levels_[i].level;
    if (wanted > limit && RankOf(demand.router_id) < levels_[i].extra_rank_limit) ++limit;
    result.*kCapacityFields[i] = std::min(wanted, limit);
  }
  return result;
}

ShareDivision::Level ShareDivision::Divide(std::int64_t capacity, std::int64_t Capacity::*field,
                                           const std::vector<Demand>& demands) const {
  std::vector<std::int64_t> wanted;
  wanted.reserve(demands.size());
  for (const Demand& demand : demands) wanted.push_back(demand.wanted.*field);
  std::sort(wanted.begin(), wanted.end());

  std::int64_t left = std::max<std::int64_t>(capacity, 0);
  auto unsatisfied = static_cast<std::int64_t>(wanted.size());
  for (const std::int64_t amount : wanted) {
    if (amount > left / unsatisfied) break;
    left -= amount;
    --unsatisfied;
  }
  if (unsatisfied == 0) return {std::numeric_limits<std::int64_t>::max(), 0};
  Level result{left / unsatisfied, 0};
  const std::int64_t remainder = left % unsatisfied;
  if (remainder == 0 || result.level >= kDistributeRemainderBelow) return result;

  std::vector<std::uint64_t> ranks;
  for (const Demand& demand : demands) {
    if (demand.wanted.*field > result.level) ranks.push_back(RankOf(demand.router_id));
  }
  std::sort(ranks.begin(), ranks.end());
  result.extra_rank_limit = ranks[static_cast<std::size_t>(remainder)];
  return result;
}

std::uint64_t ShareDivision::RankOf(std::string_view router_id) const {
  return MixBits(std::hash<std::string_view>()(router_id) + rotation_ * 0x9e3779b97f4a7c15U);
}

}  // namespace kumquat
