// Where a replica keeps what it must not forget.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "coordination/log/log_entry.h"

namespace kumquat {

// The highest term a replica has seen, and whom it voted for in it.
struct VoteState {
  std::uint64_t term = 0;
  std::optional<ReplicaId> voted_for;

  bool operator==(const VoteState&) const = default;
};

// Everything a replica finds when it starts.
struct StoredLog {
  std::uint64_t storage_identity = 0;
  VoteState vote;
  std::optional<LogSnapshot> snapshot;

  // The entries after the snapshot, without gaps.
  std::vector<LogEntry> entries;
};

// Durable storage of one replica. Writes are queued in order; a crash before Sync() returns may
// keep any leading part of them. After a failed call the storage refuses all further ones.
class LogStorage {
 public:
  virtual ~LogStorage() = default;

  // Reads all there is, and initialises empty storage with a new storage identity. Nothing when
  // the storage is damaged or can't be read; last_reason() tells why.
  virtual std::optional<StoredLog> Load() = 0;

  virtual void SaveVote(const VoteState& vote) = 0;

  // Adds entries after the last one.
  virtual void Append(std::span<const LogEntry> entries) = 0;

  // Drops the entry at `index` and all after it.
  virtual void TruncateFrom(std::uint64_t index) = 0;

  // Replaces all entries up to the snapshot's. The entries after it are kept if the log holds an
  // entry of the snapshot's index and term, and dropped otherwise.
  virtual void SaveSnapshot(const LogSnapshot& snapshot) = 0;

  // Makes all queued writes durable at once. False when that failed: nothing of them may be
  // acknowledged then, and the replica has to stop.
  virtual bool Sync() = 0;

  virtual const std::string& last_reason() const = 0;
};

}  // namespace kumquat
