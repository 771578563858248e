// The entries, vote and snapshot of one replica in memory, kept in step with its storage.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "coordination/log/log_storage.h"

namespace kumquat::Internal {

class DurableLog {
 public:
  explicit DurableLog(LogStorage* storage) : storage_(storage) {}

  // Loads the storage; false when it can't be read or its parts don't fit together.
  bool Load();

  std::uint64_t storage_identity() const { return storage_identity_; }
  const VoteState& vote() const { return vote_; }
  void SetVote(const VoteState& vote);

  // The index before the first entry in memory; entries up to it can't be read.
  std::uint64_t base_index() const { return base_index_; }
  std::uint64_t last_index() const { return base_index_ + entries_.size(); }
  std::uint64_t last_term() const { return entries_.empty() ? base_term_ : entries_.back().term; }
  bool empty() const { return last_index() == 0; }

  // Returns the term of the entry, known from base_index() to last_index().
  std::optional<std::uint64_t> TermAt(std::uint64_t index) const;

  // The entry must be in memory.
  const LogEntry& At(std::uint64_t index) const { return entries_[index - base_index_ - 1]; }

  // Returns entries from `first` on, at least one where there is one.
  std::vector<LogEntry> Slice(std::uint64_t first, std::uint64_t max_entries,
                              std::uint64_t max_bytes) const;

  // Adds entries that follow the last one.
  void Append(std::span<const LogEntry> entries);

  void TruncateFrom(std::uint64_t index);

  // Returns the newest membership in the log, committed or not, and the index that it stands at.
  const Membership& membership() const { return memberships_.back().membership; }
  std::uint64_t membership_index() const { return memberships_.back().index; }

  // Returns the membership in force at this index.
  const Membership& MembershipAt(std::uint64_t index) const;

  // Returns null when none was taken yet.
  std::shared_ptr<const LogSnapshot> snapshot() const { return snapshot_; }

  // Replaces the entries up to an applied one by a snapshot; `trailing` of them stay in memory.
  void Compact(LogSnapshot snapshot, std::uint64_t trailing);

  // Takes over a snapshot of the leader that reaches beyond what is committed here.
  void Install(LogSnapshot snapshot);

  // True when writes wait for Sync().
  bool unsynced() const { return unsynced_; }

  // Makes all writes durable; false when the storage failed.
  bool Sync();

  // The last entry that is durable.
  std::uint64_t synced_index() const { return synced_index_; }

  const std::string& last_reason() const { return last_reason_; }

 private:
  struct MembershipAtIndex {
    std::uint64_t index = 0;
    Membership membership;
  };

  bool Fail(std::string reason);
  bool AddToMemory(const LogEntry& entry);
  void DropBefore(std::uint64_t new_base_index);

  LogStorage* storage_;
  std::uint64_t storage_identity_ = 0;
  VoteState vote_;
  std::uint64_t base_index_ = 0;
  std::uint64_t base_term_ = 0;
  std::deque<LogEntry> entries_;
  std::vector<MembershipAtIndex> memberships_ = {{}};
  std::shared_ptr<const LogSnapshot> snapshot_;
  bool unsynced_ = false;
  std::uint64_t synced_index_ = 0;
  std::string last_reason_;
};

}  // namespace kumquat::Internal
