// In-memory copy of one replica's entries, vote and snapshot; every change is also written to its
// storage.
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

  // Loads the storage. Returns false when it can't be read or its contents are inconsistent;
  // last_reason() says why.
  bool Load();

  std::uint64_t storage_identity() const { return storage_identity_; }
  const VoteState& vote() const { return vote_; }
  void SetVote(const VoteState& vote);

  // The index before the first entry in memory; entries up to it are no longer available.
  std::uint64_t base_index() const { return base_index_; }
  std::uint64_t last_index() const { return base_index_ + entries_.size(); }
  std::uint64_t last_term() const { return entries_.empty() ? base_term_ : entries_.back().term; }
  bool empty() const { return last_index() == 0; }

  // Returns the term of the entry at `index`, or std::nullopt outside base_index() to last_index().
  std::optional<std::uint64_t> TermAt(std::uint64_t index) const;

  // The index must lie between base_index() + 1 and last_index().
  const LogEntry& At(std::uint64_t index) const { return entries_[index - base_index_ - 1]; }

  // Returns entries from `first` on within both limits, but at least one if there is one.
  std::vector<LogEntry> Slice(std::uint64_t first, std::uint64_t max_entries,
                              std::uint64_t max_bytes) const;

  // Returns the payload bytes of the entries in memory after `after` and up to `last`.
  std::uint64_t BytesBetween(std::uint64_t after, std::uint64_t last) const;

  // Appends entries, whose indices must follow last_index() without gaps.
  void Append(std::span<const LogEntry> entries);

  void TruncateFrom(std::uint64_t index);

  // Return the newest membership in the log, committed or not, and the index of its entry.
  const Membership& membership() const { return memberships_.back().membership; }
  std::uint64_t membership_index() const { return memberships_.back().index; }

  // Returns the membership in force at this index.
  const Membership& MembershipAt(std::uint64_t index) const;

  // Returns the newest snapshot, or null when there is none yet.
  std::shared_ptr<const LogSnapshot> snapshot() const { return snapshot_; }

  // Replaces the entries up to the snapshot's index, which must be applied, by the snapshot. The
  // last of them stay in memory, within both limits.
  void Compact(LogSnapshot snapshot, std::uint64_t trailing_entries, std::uint64_t trailing_bytes);

  // Installs a snapshot from the leader that covers more than what is committed on this replica.
  // The entries after it are kept if the log holds an entry of the snapshot's index and term.
  void Install(LogSnapshot snapshot);

  // Returns whether there are writes that Sync() hasn't made durable yet.
  bool unsynced() const { return unsynced_; }

  // Makes all writes durable. Returns false when the storage failed; last_reason() says why.
  bool Sync();

  // Index of the last entry that is durable.
  std::uint64_t synced_index() const { return synced_index_; }

  const std::string& last_reason() const { return last_reason_; }

 private:
  struct MembershipAtIndex {
    std::uint64_t index = 0;
    Membership membership;
  };

  bool Fail(std::string reason);
  bool AddToMemory(LogEntry entry);
  // Returns the payload bytes of all entries up to this index, counted from an arbitrary start.
  std::uint64_t BytesUpTo(std::uint64_t index) const;
  void DropBefore(std::uint64_t new_base_index);

  LogStorage* storage_;
  std::uint64_t storage_identity_ = 0;
  VoteState vote_;
  std::uint64_t base_index_ = 0;
  std::uint64_t base_term_ = 0;
  std::deque<LogEntry> entries_;
  // For each entry, the payload bytes up to its end; the first begins at base_bytes_.
  std::deque<std::uint64_t> bytes_up_to_;
  std::uint64_t base_bytes_ = 0;
  std::vector<MembershipAtIndex> memberships_ = {{}};
  std::shared_ptr<const LogSnapshot> snapshot_;
  bool unsynced_ = false;
  std::uint64_t synced_index_ = 0;
  std::string last_reason_;
};

}  // namespace kumquat::Internal
