// The policies that the benchmark compares.
#pragma once

#include <memory>

#include "coordination/placement/placement.h"
#include "placement/simulation.h"

namespace kumquat::bench {

// The project's own: each router with its own state, one prefix index with late events. Routers
// tell each other what waits at this interval; never for 0.
std::unique_ptr<Policy> MakeKumquat(Fleet& fleet, const Deployment& deployment,
                                    const PlacementOptions& options, Duration tell_interval);

std::unique_ptr<Policy> MakeRoundRobin(Fleet& fleet, const Deployment& deployment);
std::unique_ptr<Policy> MakeLeastLoad(Fleet& fleet, const Deployment& deployment);
std::unique_ptr<Policy> MakeTwoChoices(Fleet& fleet, const Deployment& deployment);

// Rendezvous hashing on the first pieces, past engines with more than 1.25 times the average of
// the router's own requests under way.
std::unique_ptr<Policy> MakeBoundedHashing(Fleet& fleet, const Deployment& deployment);

// Sees every engine's true cache and queue at the moment of its choice, and takes the engine with
// the least time to first token.
std::unique_ptr<Policy> MakeClairvoyant(Fleet& fleet, const Deployment& deployment);

}  // namespace kumquat::bench
