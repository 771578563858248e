#include "state/index/shard_map.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace kumquat {

BlockId SegmentRoot(std::span<const BlockId> prompt, std::size_t position) {
  return prompt[position - position % kSegmentPieces];
}

void ShardMap::SetRouters(std::vector<std::string> routers) {
  routers_ = std::move(routers);
  std::sort(routers_.begin(), routers_.end());
  seeds_.clear();
  for (const std::string& router : routers_) {
    seeds_.push_back(XXH3_64bits(router.data(), router.size()));
  }
}

std::string_view ShardMap::OwnerOf(const BlockId& segment_root) const {
  std::string_view owner;
  std::uint64_t best = 0;
  for (std::size_t at = 0; at < routers_.size(); ++at) {
    const std::uint64_t score =
        XXH3_64bits_withSeed(&segment_root, sizeof(segment_root), seeds_[at]);
    if (!owner.empty() && score <= best) continue;
    owner = routers_[at];
    best = score;
  }
  return owner;
}

}  // namespace kumquat
