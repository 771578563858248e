// The reasons for which a server refuses a caller.
#pragma once

#include <string_view>

namespace kumquat {

// Why a server refused a request, or closed the connection of a caller.
enum class CallerRefusal {
  kHeaderTooLong,
  kBodyTooLarge,
  kMalformed,
  // The process keeps too much of requests or of frames that haven't come whole; a request is
  // answered 503.
  kMemory,
  // Too much was sent ahead of an answer.
  kSentAhead,
  kConnections,
  // The rest of a request, or any request, didn't come in time.
  kTooSlow,
  // Too much waits for peers that take nothing of it.
  kUnread,
};

// Returns the name of the reason in metrics and logs.
std::string_view CallerRefusalName(CallerRefusal reason);

}  // namespace kumquat
