#include "state/index/prefix_index.h"

#include <algorithm>

#include "state/index/block_table.h"

namespace kumquat {

namespace {

// An engine that was believed wrongly this often since its last resync has drifted.
constexpr std::int64_t kWrongBeliefsBeforeResync = 8;

}  // namespace

PrefixIndex::PrefixIndex(std::size_t max_entries)
    : table_(std::make_unique<Internal::BlockTable>(max_entries)) {}

PrefixIndex::~PrefixIndex() = default;

bool PrefixIndex::Observe(std::string_view backend_id, std::int64_t incarnation) {
  if (!slots_.contains(backend_id)) {
    holders_[AddHolder(backend_id)].incarnation = incarnation;
    return true;
  }
  return Current(backend_id, incarnation).has_value();
}

BatchOutcome PrefixIndex::Apply(const CacheEventBatch& batch) {
  const auto slot = Current(batch.backend_id, batch.incarnation);
  if (!slot) return BatchOutcome::kStale;
  Holder& holder = holders_[*slot];
  if (batch.last_sequence <= holder.last_sequence) return BatchOutcome::kStale;
  if (batch.first_sequence > holder.last_sequence + 1) holder.has_gap = true;
  holder.last_sequence = batch.last_sequence;
  const auto id = static_cast<std::uint16_t>(*slot);
  for (const BlockChange& change : batch.changes) {
    if (change.stored) {
      table_->Add(change.block, id, Internal::kConfirmed);
    } else {
      table_->Remove(change.block, id, Internal::kConfirmed);
    }
  }
  return holder.has_gap ? BatchOutcome::kGap : BatchOutcome::kApplied;
}

bool PrefixIndex::Replace(const CacheContents& contents) {
  const auto slot = Current(contents.backend_id, contents.incarnation);
  if (!slot || contents.last_sequence < holders_[*slot].last_sequence) return false;
  Empty(*slot);
  holders_[*slot].last_sequence = contents.last_sequence;
  for (const BlockId& block : contents.blocks) {
    table_->Add(block, static_cast<std::uint16_t>(*slot), Internal::kConfirmed);
  }
  return true;
}

void PrefixIndex::Expect(std::string_view backend_id, std::int64_t incarnation,
                         std::span<const BlockId> prompt) {
  const auto slot = Current(backend_id, incarnation);
  if (!slot) return;
  for (const BlockId& block : prompt) {
    table_->Add(block, static_cast<std::uint16_t>(*slot), Internal::kExpected);
  }
}

void PrefixIndex::Computed(std::string_view backend_id, std::int64_t incarnation,
                           std::span<const BlockId> prompt) {
  const auto slot = Current(backend_id, incarnation);
  if (!slot) return;
  const auto id = static_cast<std::uint16_t>(*slot);
  for (const BlockId& block : prompt) {
    table_->Add(block, id, Internal::kConfirmed);
    table_->Remove(block, id, Internal::kExpected);
  }
}

void PrefixIndex::Correct(std::string_view backend_id, std::int64_t incarnation,
                          std::int64_t believed_pieces, std::int64_t cached_pieces) {
  const auto slot = Current(backend_id, incarnation);
  if (!slot || cached_pieces >= believed_pieces) return;
  ++wrong_beliefs_;
  ++holders_[*slot].wrong_beliefs_since_resync;
}

void PrefixIndex::Retract(std::string_view backend_id, std::int64_t incarnation,
                          std::span<const BlockId> prompt) {
  const auto slot = Current(backend_id, incarnation);
  if (!slot) return;
  for (const BlockId& block : prompt) {
    table_->Remove(block, static_cast<std::uint16_t>(*slot), Internal::kExpected);
  }
}

void PrefixIndex::Forget(std::string_view backend_id) {
  const auto found = slots_.find(backend_id);
  if (found == slots_.end()) return;
  Empty(found->second);
  holders_[found->second] = Holder{};
  slots_.erase(found);
}

std::vector<PrefixBelief> PrefixIndex::Lookup(std::span<const BlockId> prompt) {
  depths_.assign(holders_.size(), 0);
  std::int64_t depth = 0;
  bool is_deeper = true;
  for (std::size_t at = 0; at < prompt.size() && is_deeper; ++at) {
    is_deeper = false;
    table_->ForEachHolder(prompt[at], [&](std::size_t slot) {
      if (depths_[slot] != depth) return;
      ++depths_[slot];
      is_deeper = true;
    });
    ++depth;
  }
  std::vector<PrefixBelief> beliefs;
  for (std::size_t slot = 0; slot < holders_.size(); ++slot) {
    if (depths_[slot] == 0) continue;
    beliefs.push_back({holders_[slot].backend_id, holders_[slot].incarnation, depths_[slot]});
  }
  return beliefs;
}

std::vector<std::string> PrefixIndex::needs_resync() const {
  std::vector<std::string> backend_ids;
  for (const Holder& holder : holders_) {
    const bool has_drifted = holder.wrong_beliefs_since_resync >= kWrongBeliefsBeforeResync;
    if (holder.has_gap || has_drifted) backend_ids.push_back(holder.backend_id);
  }
  return backend_ids;
}

std::size_t PrefixIndex::entries() const { return table_->size(); }

std::size_t PrefixIndex::memory_bytes() const { return table_->memory_bytes(); }

std::optional<std::size_t> PrefixIndex::Current(std::string_view backend_id,
                                                std::int64_t incarnation) {
  const auto found = slots_.find(backend_id);
  if (found == slots_.end()) return std::nullopt;
  Holder& holder = holders_[found->second];
  if (incarnation < holder.incarnation) return std::nullopt;
  if (incarnation > holder.incarnation) {
    Empty(found->second);
    holder.incarnation = incarnation;
    holder.last_sequence = 0;
  }
  return found->second;
}

void PrefixIndex::Empty(std::size_t slot) {
  table_->RemoveHolder(static_cast<std::uint16_t>(slot));
  holders_[slot].wrong_beliefs_since_resync = 0;
  holders_[slot].has_gap = false;
}

std::size_t PrefixIndex::AddHolder(std::string_view backend_id) {
  const auto is_free = [](const Holder& holder) { return holder.backend_id.empty(); };
  const auto free = std::find_if(holders_.begin(), holders_.end(), is_free);
  const auto slot = static_cast<std::size_t>(free - holders_.begin());
  if (free == holders_.end()) holders_.emplace_back();
  holders_[slot].backend_id = backend_id;
  slots_.emplace(backend_id, slot);
  return slot;
}

}  // namespace kumquat
