// What the replicated log drives: a deterministic state machine.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace kumquat {

// Applies committed commands in order. The same commands give the same state and the same answers
// on every replica: no clock, no randomness, no input besides the arguments.
class StateMachine {
 public:
  virtual ~StateMachine() = default;

  // Applies the command at this index of the log, and returns its answer.
  virtual std::string Apply(std::uint64_t index, std::string_view command) = 0;

  // Returns the whole state, for a snapshot.
  virtual std::string Snapshot() const = 0;

  // Replaces the state by a snapshot's; false when the bytes are not one.
  virtual bool Restore(std::string_view snapshot) = 0;
};

}  // namespace kumquat
