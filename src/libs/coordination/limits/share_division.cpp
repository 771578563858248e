#include "coordination/limits/share_division.h"

#include <algorithm>
#include <functional>
#include <limits>

#include "coordination/limits/capacity_math.h"

namespace kumquat {
namespace {

using Internal::kCapacityParts;

// From this level on, the units left over by rounding are not worth their work.
constexpr std::int64_t kSingleUnitsCountBelow = 100;

// Mixes the bits of a number (the finaliser of SplitMix64).
std::uint64_t MixBits(std::uint64_t value) {
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9U;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebU;
  return value ^ (value >> 31);
}

}  // namespace

ShareDivision::ShareDivision(const Capacity& capacity, const std::vector<Demand>& demands,
                             std::uint64_t round)
    : round_(round) {
  for (std::size_t i = 0; i < kCapacityParts.size(); ++i) {
    levels_[i] = Divide(capacity.*kCapacityParts[i], kCapacityParts[i], demands);
  }
}

Capacity ShareDivision::PartOf(const Demand& demand) const {
  Capacity result;
  for (std::size_t i = 0; i < kCapacityParts.size(); ++i) {
    const std::int64_t wanted = demand.wanted.*kCapacityParts[i];
    std::int64_t most = levels_[i].level;
    if (wanted > most && RankOf(demand.router_id) < levels_[i].extra_below) ++most;
    result.*kCapacityParts[i] = std::min(wanted, most);
  }
  return result;
}

ShareDivision::Level ShareDivision::Divide(std::int64_t capacity, std::int64_t Capacity::*part,
                                           const std::vector<Demand>& demands) const {
  std::vector<std::int64_t> wanted;
  wanted.reserve(demands.size());
  for (const Demand& demand : demands) wanted.push_back(demand.wanted.*part);
  std::sort(wanted.begin(), wanted.end());

  std::int64_t left = std::max<std::int64_t>(capacity, 0);
  auto takers = static_cast<std::int64_t>(wanted.size());
  for (const std::int64_t amount : wanted) {
    if (amount > left / takers) break;
    left -= amount;
    --takers;
  }
  if (takers == 0) return {std::numeric_limits<std::int64_t>::max(), 0};
  Level result{left / takers, 0};
  const std::int64_t extra = left % takers;
  if (extra == 0 || result.level >= kSingleUnitsCountBelow) return result;

  std::vector<std::uint64_t> ranks;
  for (const Demand& demand : demands) {
    if (demand.wanted.*part > result.level) ranks.push_back(RankOf(demand.router_id));
  }
  std::sort(ranks.begin(), ranks.end());
  result.extra_below = ranks[static_cast<std::size_t>(extra)];
  return result;
}

std::uint64_t ShareDivision::RankOf(std::string_view router_id) const {
  return MixBits(std::hash<std::string_view>()(router_id) + round_ * 0x9e3779b97f4a7c15U);
}

}  // namespace kumquat
