// Puts the chunks of a leader's snapshot together.
#pragma once

#include <cstdint>
#include <optional>
#include <utility>

#include "coordination/log/log_messages.h"

namespace kumquat::Internal {

class SnapshotAssembler {
 public:
  // Takes a chunk in and returns the snapshot when it is whole. A chunk that doesn't continue the
  // snapshot at hand is dropped, unless it starts another one.
  std::optional<LogSnapshot> Add(const InstallSnapshot& message) {
    const LogSnapshot& chunk = message.chunk;
    const bool same = chunk.index == snapshot_.index && chunk.term == snapshot_.term;
    if (!same) {
      snapshot_ = chunk;
      snapshot_.state.clear();
    }
    if (message.offset == next_offset()) snapshot_.state += chunk.state;
    if (next_offset() < message.total_bytes) return std::nullopt;
    return std::exchange(snapshot_, {});
  }

  // The offset of the chunk that is wanted next.
  std::uint64_t next_offset() const { return snapshot_.state.size(); }

 private:
  LogSnapshot snapshot_;
};

}  // namespace kumquat::Internal
