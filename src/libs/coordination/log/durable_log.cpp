#include "coordination/log/durable_log.h"

#include <algorithm>
#include <utility>

namespace kumquat::Internal {

bool DurableLog::Load() {
  std::optional<StoredLog> stored = storage_->Load();
  if (!stored) return Fail(storage_->last_reason());
  storage_identity_ = stored->storage_identity;
  vote_ = stored->vote;
  if (stored->snapshot) {
    base_index_ = stored->snapshot->index;
    base_term_ = stored->snapshot->term;
    memberships_ = {{base_index_, stored->snapshot->membership}};
    snapshot_ = std::make_shared<const LogSnapshot>(std::move(*stored->snapshot));
  }
  for (LogEntry& entry : stored->entries) {
    if (entry.index != last_index() + 1) return Fail("The stored entries have a gap.");
    if (!AddToMemory(std::move(entry))) return Fail("A stored membership entry can't be decoded.");
  }
  if (last_term() > vote_.term) vote_ = {last_term(), std::nullopt};
  synced_index_ = last_index();
  return true;
}

void DurableLog::SetVote(const VoteState& vote) {
  vote_ = vote;
  storage_->SaveVote(vote);
  unsynced_ = true;
}

std::optional<std::uint64_t> DurableLog::TermAt(std::uint64_t index) const {
  if (index < base_index_ || index > last_index()) return std::nullopt;
  if (index == base_index_) return base_term_;
  return At(index).term;
}

std::vector<LogEntry> DurableLog::Slice(std::uint64_t first, std::uint64_t max_entries,
                                        std::uint64_t max_bytes) const {
  std::vector<LogEntry> slice;
  std::uint64_t bytes = 0;
  for (std::uint64_t index = first; index <= last_index(); ++index) {
    const LogEntry& entry = At(index);
    bytes += entry.payload.size();
    if (!slice.empty() && (slice.size() >= max_entries || bytes > max_bytes)) break;
    slice.push_back(entry);
  }
  return slice;
}

std::uint64_t DurableLog::BytesBetween(std::uint64_t after, std::uint64_t last) const {
  return last > after ? BytesUpTo(last) - BytesUpTo(after) : 0;
}

std::uint64_t DurableLog::BytesUpTo(std::uint64_t index) const {
  const std::uint64_t within = std::min(index, last_index());
  return within > base_index_ ? bytes_up_to_[within - base_index_ - 1] : base_bytes_;
}

void DurableLog::Append(std::span<const LogEntry> entries) {
  if (entries.empty()) return;
  for (const LogEntry& entry : entries) AddToMemory(entry);
  storage_->Append(entries);
  unsynced_ = true;
}

void DurableLog::TruncateFrom(std::uint64_t index) {
  if (index > last_index()) return;
  entries_.resize(index - base_index_ - 1);
  bytes_up_to_.resize(entries_.size());
  while (memberships_.back().index >= index) memberships_.pop_back();
  synced_index_ = std::min(synced_index_, index - 1);
  storage_->TruncateFrom(index);
  unsynced_ = true;
}

const Membership& DurableLog::MembershipAt(std::uint64_t index) const {
  const MembershipAtIndex* found = &memberships_.front();
  for (const MembershipAtIndex& candidate : memberships_) {
    if (candidate.index <= index) found = &candidate;
  }
  return found->membership;
}

void DurableLog::Compact(LogSnapshot snapshot, std::uint64_t trailing_entries,
                         std::uint64_t trailing_bytes) {
  const std::uint64_t index = snapshot.index;
  snapshot_ = std::make_shared<const LogSnapshot>(std::move(snapshot));
  storage_->SaveSnapshot(*snapshot_);
  unsynced_ = true;
  std::uint64_t new_base_index = index > trailing_entries ? index - trailing_entries : 0;
  new_base_index = std::max(new_base_index, base_index_);
  while (BytesBetween(new_base_index, index) > trailing_bytes) ++new_base_index;
  DropBefore(new_base_index);
}

void DurableLog::Install(LogSnapshot snapshot) {
  const bool keeps_tail = TermAt(snapshot.index) == snapshot.term;
  snapshot_ = std::make_shared<const LogSnapshot>(std::move(snapshot));
  storage_->SaveSnapshot(*snapshot_);
  unsynced_ = true;
  if (keeps_tail) {
    DropBefore(snapshot_->index);
    return;
  }
  entries_.clear();
  bytes_up_to_.clear();
  base_index_ = snapshot_->index;
  base_term_ = snapshot_->term;
  memberships_ = {{base_index_, snapshot_->membership}};
  synced_index_ = std::min(synced_index_, base_index_);
}

bool DurableLog::Sync() {
  if (!storage_->Sync()) return Fail(storage_->last_reason());
  unsynced_ = false;
  synced_index_ = last_index();
  return true;
}

bool DurableLog::Fail(std::string reason) {
  last_reason_ = std::move(reason);
  return false;
}

bool DurableLog::AddToMemory(LogEntry entry) {
  if (entry.kind == EntryKind::kMembership) {
    std::optional<Membership> membership = DecodeMembership(entry.payload);
    if (!membership) return false;
    memberships_.push_back({entry.index, std::move(*membership)});
  }
  bytes_up_to_.push_back(BytesUpTo(last_index()) + entry.payload.size());
  entries_.push_back(std::move(entry));
  return true;
}

void DurableLog::DropBefore(std::uint64_t new_base_index) {
  base_term_ = *TermAt(new_base_index);
  base_bytes_ = BytesUpTo(new_base_index);
  while (base_index_ < new_base_index) {
    entries_.pop_front();
    bytes_up_to_.pop_front();
    ++base_index_;
  }
  while (memberships_.size() > 1 && memberships_[1].index <= base_index_) {
    memberships_.erase(memberships_.begin());
  }
}

}  // namespace kumquat::Internal
