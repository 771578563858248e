// Tells routers of changed backend servers, at a bounded number of messages a second.
//
// A single change goes out at once. When many servers start, leave or load weights together, the
// changes of some 100 ms go out in one message for each router instead of one message for each
// server and router.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "coordination/hints/send_allowance.h"
#include "coordination/membership/gossip.h"
#include "utils/hooks.h"

namespace kumquat {

class MemberFlood {
 public:
  using Send = std::function<void(std::span<const std::string> routers, const GossipMessage&)>;

  // Sends at most this many messages a second, over all routers.
  MemberFlood(std::int64_t messages_per_second, Send send);

  // These records changed; they are sent now or with a later Flush.
  void Add(std::span<const MemberRecord> records, std::span<const std::string> routers,
           Instant now);

  // Sends to these routers what waits, if the allowance permits.
  void Flush(std::span<const std::string> routers, Instant now);

 private:
  Send send_;
  SendAllowance allowance_;
  // The newest record of each server whose change waits.
  std::map<std::string, MemberRecord> waiting_;
};

}  // namespace kumquat
