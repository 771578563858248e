// The settings of a router that forwards requests by the routing table.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "coordination/forwarding/forward_admission.h"
#include "coordination/forwarding/repeat_budget.h"
#include "utils/endpoint.h"
#include "utils/hooks.h"

namespace kumquat {

struct ForwardSettings {
  std::string instance;
  std::string failure_domain;
  Endpoint listen;
  // Where the balancer asks whether this router takes requests.
  Endpoint ready_listen;
  Endpoint metrics_listen;
  // Control replicas through which the others are found.
  std::vector<Endpoint> control_seeds;
  RepeatAllowance repeats;
  ForwardAdmissionOptions admission;
  // Memory that the process may use, in megabytes; bodies in progress get a part of it.
  std::int64_t memory_mb = 256;
  // An engine whose weights have been replaced for longer gets no requests.
  Duration weights_longest_lag = std::chrono::seconds(10);
  // Whether streams are moved off engines that load weights, and whether those that can't resume
  // are backed up at a second engine. Only the first pays on loaded days: docs/MEASUREMENTS.md.
  bool moves_runs = true;
  bool backs_up_runs = false;
  // How long a graceful stop may take.
  Duration grace = std::chrono::seconds(8);
};

}  // namespace kumquat
