// Finds out whether anything listens at an address.
#pragma once

#include <functional>
#include <memory>

#include "utils/endpoint.h"
#include "utils/hooks.h"

namespace kumquat {

// What a probe found.
enum class ConnectProbeResult {
  // A connection came about; it was closed at once.
  kConnected,
  // The other instance refused: nothing listened there at that moment.
  kRefused,
  // No answer within the time limit, or another failure. It proves nothing.
  kSilent,
};

// Connects once and calls the hook with the result, never before this returns and at most once.
// Destroying the returned handle ends the probe without a call.
class ConnectProbe {
 public:
  virtual ~ConnectProbe() = default;
};

std::unique_ptr<ConnectProbe> StartConnectProbe(const Endpoint& endpoint, Duration timeout,
                                                std::function<void(ConnectProbeResult)> on_result);

}  // namespace kumquat
