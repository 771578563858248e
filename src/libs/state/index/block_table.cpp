#include "state/index/block_table.h"

#include <algorithm>

namespace kumquat::Internal {

namespace {

constexpr std::size_t kFewestNodes = 64;

}  // namespace

BlockTable::BlockTable(std::size_t max_entries)
    : max_entries_(std::max<std::size_t>(max_entries, 1)), buckets_(kFewestNodes, kNone) {}

void BlockTable::Add(const BlockId& block, std::uint16_t holder, BeliefSource source) {
  const NodeIndex found = Find(block, holder);
  if (found != kNone) {
    nodes_[found].sources |= source;
    return;
  }
  if (size_ == max_entries_) EvictOne();
  const NodeIndex at = TakeFreeNode();
  NodeIndex& bucket = buckets_[Bucket(block)];
  NodeIndex& head = HolderHead(holder);
  nodes_[at] = Node{.block = block,
                    .next = bucket,
                    .holder_next = head,
                    .holder = holder,
                    .sources = source,
                    .used = true};
  if (head != kNone) nodes_[head].holder_previous = at;
  head = at;
  bucket = at;
  ++size_;
}

void BlockTable::Remove(const BlockId& block, std::uint16_t holder, BeliefSource source) {
  const NodeIndex at = Find(block, holder);
  if (at == kNone) return;
  nodes_[at].sources &= static_cast<std::uint8_t>(~source);
  if (nodes_[at].sources == 0) Erase(at);
}

std::uint8_t BlockTable::Sources(const BlockId& block, std::uint16_t holder) const {
  const NodeIndex at = Find(block, holder);
  return at == kNone ? 0 : nodes_[at].sources;
}

void BlockTable::RemoveHolder(std::uint16_t holder) {
  while (HolderHead(holder) != kNone) Erase(HolderHead(holder));
}

std::size_t BlockTable::memory_bytes() const {
  return nodes_.capacity() * sizeof(Node) + buckets_.capacity() * sizeof(NodeIndex) +
         holder_heads_.capacity() * sizeof(NodeIndex);
}

BlockTable::NodeIndex BlockTable::Find(const BlockId& block, std::uint16_t holder) const {
  NodeIndex at = buckets_[Bucket(block)];
  while (at != kNone && (nodes_[at].holder != holder || nodes_[at].block != block)) {
    at = nodes_[at].next;
  }
  return at;
}

BlockTable::NodeIndex BlockTable::TakeFreeNode() {
  if (free_head_ != kNone) {
    const NodeIndex at = free_head_;
    free_head_ = nodes_[at].next;
    return at;
  }
  if (nodes_.size() == nodes_.capacity()) Grow();
  nodes_.emplace_back();
  return static_cast<NodeIndex>(nodes_.size() - 1);
}

void BlockTable::Erase(NodeIndex at) {
  Node& node = nodes_[at];
  NodeIndex* link = &buckets_[Bucket(node.block)];
  while (*link != at) link = &nodes_[*link].next;
  *link = node.next;
  if (node.holder_previous == kNone) {
    HolderHead(node.holder) = node.holder_next;
  } else {
    nodes_[node.holder_previous].holder_next = node.holder_next;
  }
  if (node.holder_next != kNone) nodes_[node.holder_next].holder_previous = node.holder_previous;
  node = Node{.next = free_head_};
  free_head_ = at;
  --size_;
}

// A clock: the hand passes over entries that were used since its last round.
void BlockTable::EvictOne() {
  while (true) {
    clock_hand_ = (clock_hand_ + 1) % nodes_.size();
    Node& node = nodes_[clock_hand_];
    if (node.sources == 0) continue;
    if (!node.used) break;
    node.used = false;
  }
  Erase(static_cast<NodeIndex>(clock_hand_));
}

void BlockTable::Grow() {
  nodes_.reserve(std::min(max_entries_, std::max(kFewestNodes, 2 * nodes_.capacity())));
  if (buckets_.size() >= nodes_.capacity()) return;
  buckets_.assign(2 * buckets_.size(), kNone);
  for (std::size_t at = 0; at < nodes_.size(); ++at) {
    NodeIndex& bucket = buckets_[Bucket(nodes_[at].block)];
    nodes_[at].next = bucket;
    bucket = static_cast<NodeIndex>(at);
  }
}

BlockTable::NodeIndex& BlockTable::HolderHead(std::uint16_t holder) {
  if (holder >= holder_heads_.size()) holder_heads_.resize(holder + 1, kNone);
  return holder_heads_[holder];
}

}  // namespace kumquat::Internal
