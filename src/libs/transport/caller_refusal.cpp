#include "transport/caller_refusal.h"

namespace kumquat {

std::string_view CallerRefusalName(CallerRefusal reason) {
  switch (reason) {
    case CallerRefusal::kHeaderTooLong:
      return "header_too_long";
    case CallerRefusal::kBodyTooLarge:
      return "body_too_large";
    case CallerRefusal::kMalformed:
      return "malformed";
    case CallerRefusal::kMemory:
      return "memory";
    case CallerRefusal::kSentAhead:
      return "sent_ahead";
    case CallerRefusal::kConnections:
      return "connections";
    case CallerRefusal::kTooSlow:
      return "too_slow";
    case CallerRefusal::kUnread:
      return "unread";
  }
  return "malformed";
}

}  // namespace kumquat
