// Settings of a router that forwards requests according to the routing table.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "coordination/forwarding/forward_admission.h"
#include "coordination/forwarding/repeat_budget.h"
#include "coordination/placement/engine_model.h"
#include "utils/endpoint.h"
#include "utils/hooks.h"

namespace kumquat {

struct ForwardSettings {
  std::string instance;
  std::string failure_domain;
  Endpoint listen;
  // Where the load balancer checks whether this router accepts requests.
  Endpoint ready_listen;
  Endpoint metrics_listen;
  // Addresses of the control replicas that are connected to first; they name the others.
  std::vector<Endpoint> control_seeds;
  RepeatAllowance repeats;
  ForwardAdmissionOptions admission;
  EngineModelOptions engine_model;
  // Memory that the process may use, in megabytes; requests that are kept may take a part of it.
  std::int64_t memory_mb = 256;
  // Descriptors that the process may have open; 0 for the limit that it was started with.
  std::int64_t max_descriptors = 0;
  // An engine gets no new requests for weights that were replaced longer ago than this.
  Duration weights_longest_lag = std::chrono::seconds(10);
  // Whether streams are moved off engines that load weights, and whether streams that can't be
  // resumed are backed up at a second engine. Under load only the first pays off, see
  // docs/MEASUREMENTS.md.
  bool moves_runs = true;
  bool backs_up_runs = false;
  // Longest duration of a graceful shutdown.
  Duration grace = std::chrono::seconds(8);
};

}  // namespace kumquat
