#include "utils/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace kumquat {
namespace {

std::uint64_t Weight(std::string_view key, std::string_view name) {
  const std::uint64_t seed = XXH3_64bits(name.data(), name.size());
  return XXH3_64bits_withSeed(key.data(), key.size(), seed);
}

}  // namespace

std::vector<std::string> RendezvousTop(std::string_view key, std::span<const std::string> names,
                                       std::size_t count) {
  std::vector<std::pair<std::uint64_t, std::string_view>> weighted;
  weighted.reserve(names.size());
  for (const std::string& name : names) weighted.emplace_back(Weight(key, name), name);
  const std::size_t taken = std::min(count, weighted.size());
  std::partial_sort(weighted.begin(), weighted.begin() + static_cast<std::ptrdiff_t>(taken),
                    weighted.end(), std::greater<>());
  std::vector<std::string> top;
  top.reserve(taken);
  for (std::size_t i = 0; i < taken; ++i) top.emplace_back(weighted[i].second);
  return top;
}

}  // namespace kumquat
