// Which router owns which part of the prefix index, by rendezvous hashing.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/prefix/prefix_identity.h"

namespace kumquat {

// Pieces that share an owner. The shared levels of a prompt lie in its first segments, which many
// prompts ask for; private ones lie behind and spread over all owners.
inline constexpr std::size_t kSegmentPieces = 8;

// Returns the identity that decides the owner of the piece at `position` in the prompt.
BlockId SegmentRoot(std::span<const BlockId> prompt, std::size_t position);

// The routers that own the index. All routers with the same list agree on each owner; when one
// leaves the list, only what it owned changes hands.
class ShardMap {
 public:
  // Replaces the list of live routers.
  void SetRouters(std::vector<std::string> routers);

  // Returns the owner of a segment; empty when there are no routers.
  std::string_view OwnerOf(const BlockId& segment_root) const;

  const std::vector<std::string>& routers() const { return routers_; }

 private:
  std::vector<std::string> routers_;
  std::vector<std::uint64_t> seeds_;
};

}  // namespace kumquat
