// Interface of a replica's durable storage.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "coordination/log/log_entry.h"

namespace kumquat {

// The highest term that a replica has seen, and the candidate it voted for in that term.
struct VoteState {
  std::uint64_t term = 0;
  std::optional<ReplicaId> voted_for;

  bool operator==(const VoteState&) const = default;
};

// The contents of a replica's storage at its start.
struct StoredLog {
  std::uint64_t storage_identity = 0;
  VoteState vote;
  std::optional<LogSnapshot> snapshot;

  // The entries after the snapshot, without gaps.
  std::vector<LogEntry> entries;
};

// Durable storage of one replica. Writes are queued in order; after a crash before Sync() returns,
// any prefix of them may be stored. After a failed call the storage refuses all further calls.
class LogStorage {
 public:
  virtual ~LogStorage() = default;

  // Reads the whole contents; initialises empty storage with a new storage identity. Returns
  // std::nullopt when the storage is damaged or can't be read; last_reason() says why.
  virtual std::optional<StoredLog> Load() = 0;

  virtual void SaveVote(const VoteState& vote) = 0;

  // Appends entries, whose indices follow the last stored one.
  virtual void Append(std::span<const LogEntry> entries) = 0;

  // Removes the entry at `index` and all entries after it.
  virtual void TruncateFrom(std::uint64_t index) = 0;

  // Replaces all entries up to the snapshot's index. The entries after it are kept if the log holds
  // an entry of the snapshot's index and term, and removed otherwise.
  virtual void SaveSnapshot(const LogSnapshot& snapshot) = 0;

  // Makes all queued writes durable. Returns false on failure; then none of them may be
  // acknowledged and the replica must stop.
  virtual bool Sync() = 0;

  virtual const std::string& last_reason() const = 0;
};

}  // namespace kumquat
