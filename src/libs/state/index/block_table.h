// The table below the prefix index: a bounded multimap from block to holder, with a list of each
// holder's entries, so that a dead incarnation is emptied in time proportional to what it held.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "coordination/prefix/prefix_identity.h"

namespace kumquat::Internal {

// Why a block is believed to be held.
enum BeliefSource : std::uint8_t {
  // An event, a resync or an answer said so.
  kConfirmed = 1,
  // A prompt with it was sent there and has not been answered.
  kExpected = 2,
};

// Entries are nodes in one array: chained from hash buckets, and doubly linked for each holder.
class BlockTable {
 public:
  explicit BlockTable(std::size_t max_entries);

  // Adds a reason for the belief; makes room first when the table is full.
  void Add(const BlockId& block, std::uint16_t holder, BeliefSource source);

  // Takes a reason away; the entry goes with its last one.
  void Remove(const BlockId& block, std::uint16_t holder, BeliefSource source);

  // Returns the reasons for a belief as a mask; 0 when there is none.
  std::uint8_t Sources(const BlockId& block, std::uint16_t holder) const;

  // Removes every entry of a holder.
  void RemoveHolder(std::uint16_t holder);

  // Calls `visit` with each holder of the block, and marks its entries as used.
  template <typename Visit>
  void ForEachHolder(const BlockId& block, Visit&& visit) {
    for (auto at = buckets_[Bucket(block)]; at != kNone; at = nodes_[at].next) {
      Node& node = nodes_[at];
      if (node.block != block) continue;
      node.used = true;
      visit(node.holder);
    }
  }

  std::size_t size() const { return size_; }
  std::size_t memory_bytes() const;

 private:
  using NodeIndex = std::uint32_t;
  static constexpr NodeIndex kNone = UINT32_MAX;

  struct Node {
    BlockId block{};
    NodeIndex next = kNone;
    NodeIndex holder_previous = kNone;
    NodeIndex holder_next = kNone;
    std::uint16_t holder = 0;
    // A mask of BeliefSource; 0 marks a free node.
    std::uint8_t sources = 0;
    // Whether a lookup has met the entry since the clock hand last passed.
    bool used = false;
  };

  std::size_t Bucket(const BlockId& block) const { return block.low & (buckets_.size() - 1); }
  NodeIndex Find(const BlockId& block, std::uint16_t holder) const;
  NodeIndex TakeFreeNode();
  void Erase(NodeIndex at);
  void EvictOne();
  void Grow();
  NodeIndex& HolderHead(std::uint16_t holder);

  std::size_t max_entries_;
  std::size_t size_ = 0;
  std::vector<Node> nodes_;
  std::vector<NodeIndex> buckets_;
  std::vector<NodeIndex> holder_heads_;
  NodeIndex free_head_ = kNone;
  std::size_t clock_hand_ = 0;
};

}  // namespace kumquat::Internal
