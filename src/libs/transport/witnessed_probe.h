// Tells a server that is gone from one that this process merely can't reach quickly just now.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "transport/connect_probe.h"
#include "utils/endpoint.h"
#include "utils/hooks.h"

namespace kumquat {

// What a witnessed probe found.
enum class ProbeVerdict {
  kReachable,
  // Nothing listens there.
  kRefused,
  // No connection came about while one to the witness did.
  kGone,
  // The witness wasn't reached either, or failed: the cause may be on this side.
  kUnknown,
};

struct WitnessedProbeOptions {
  Endpoint suspect;
  // A server that is believed to be well; where there is none, silence alone decides.
  std::optional<Endpoint> witness;
  // How long the suspect may take before the witness is asked.
  Duration patience{};
  // How much longer than the witness it may take then.
  Duration grace{};
};

using ProbeStarter = std::function<std::unique_ptr<ConnectProbe>(
    const Endpoint& endpoint, Duration timeout, std::function<void(ConnectProbeResult)> on_result)>;

// Connects to the suspect; after silence, to it and to the witness at the same time. On a link that
// is choked both are slow. Calls the hook with the verdict, never before this returns and at most
// once; destroying the handle ends the probe without a call.
std::unique_ptr<ConnectProbe> StartWitnessedProbe(const WitnessedProbeOptions& options,
                                                  std::function<void(ProbeVerdict)> on_verdict,
                                                  const ProbeStarter& start = StartConnectProbe);

}  // namespace kumquat
