// The commands of the control state, as they stand in the replicated log.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "protocol/control_messages.h"
#include "protocol/departure.h"
#include "protocol/document.h"

namespace kumquat {

// A moment on the cluster's logical clock. A leader takes the clock of the state it begins with
// and adds its own steady clock, so a wrong wall clock can't age anything; while there is no
// leader the clock stands still.
using LogicalTime = std::chrono::milliseconds;

// Gives back a claim for which no byte was sent.
struct ClaimRelease {
  ClaimId id;

  bool operator==(const ClaimRelease&) const = default;
};

// Moves the logical clock on and changes nothing else.
struct ClockMark {
  bool operator==(const ClockMark&) const = default;
};

struct ControlCommand {
  using Body = std::variant<ListEdit, ClaimRequest, ClaimFinish, ClaimRelease, ClockMark, Document,
                            Departure>;

  LogicalTime time{0};
  Body body;

  bool operator==(const ControlCommand&) const = default;
};

// Encodes the command in CBOR.
std::string Encode(const ControlCommand& command);

// Returns nothing when the bytes aren't a command, with the reason in `reason`.
std::optional<ControlCommand> DecodeControlCommand(std::string_view bytes, std::string* reason);

}  // namespace kumquat
