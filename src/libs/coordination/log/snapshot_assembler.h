// Reassembles a leader's snapshot from its chunks.
#pragma once

#include <cstdint>
#include <optional>
#include <utility>

#include "coordination/log/log_messages.h"

namespace kumquat::Internal {

class SnapshotAssembler {
 public:
  // Adds a chunk and returns the snapshot once it is complete. A chunk of another snapshot discards
  // the current one. A chunk that doesn't start at next_offset() is ignored.
  std::optional<LogSnapshot> Add(const InstallSnapshot& message) {
    const LogSnapshot& chunk = message.chunk;
    const bool is_same_snapshot = chunk.index == snapshot_.index && chunk.term == snapshot_.term;
    if (!is_same_snapshot) {
      snapshot_ = chunk;
      snapshot_.state.clear();
    }
    if (message.offset == next_offset()) snapshot_.state += chunk.state;
    if (next_offset() < message.total_bytes) return std::nullopt;
    return std::exchange(snapshot_, {});
  }

  // The offset in bytes of the next chunk that is needed.
  std::uint64_t next_offset() const { return snapshot_.state.size(); }

 private:
  LogSnapshot snapshot_;
};

}  // namespace kumquat::Internal
