// Interface of the deterministic state machine that the replicated log drives.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace kumquat {

// Applies committed commands in order. The same commands must give the same state and the same
// answers on every replica, so implementations must not use a clock, randomness or any input
// besides the arguments.
class StateMachine {
 public:
  virtual ~StateMachine() = default;

  // Applies the command at this index of the log and returns its answer.
  virtual std::string Apply(std::uint64_t index, std::string_view command) = 0;

  // Returns the complete state, serialised for a snapshot.
  virtual std::string Snapshot() const = 0;

  // Replaces the state by that of a snapshot. Returns false if the bytes are not a valid snapshot.
  virtual bool Restore(std::string_view snapshot) = 0;
};

}  // namespace kumquat
