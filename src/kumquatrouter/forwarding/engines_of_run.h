// Chooses the engines that a request with a prompt can begin or go on at.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "coordination/forwarding/backend_pool.h"
#include "coordination/forwarding/stream_version.h"
#include "coordination/requests/backend_choice.h"
#include "forwarding/forward_services.h"

namespace kumquat {

class EnginesOfRun {
 public:
  // For a request to this service with this model; the services and the version outlive the object.
  EnginesOfRun(ForwardServices& services, std::string service, std::string model,
               const StreamVersion& version);

  // Removes the candidates that don't have the model with weights recent enough for a new request.
  std::vector<PooledBackend*> MayBegin(std::vector<PooledBackend*> candidates) const;

  // Returns whether a request that waits for `expected_wait` at this engine would begin on weights
  // that were replaced longer ago than the configured maximum lag.
  bool BeginsTooLate(const PooledBackend& engine, Duration expected_wait) const;

  // Returns whether the engine has these weights, recent enough for a run that goes on there, and
  // the software that goes on with it.
  bool MayContinue(const PooledBackend& engine, std::int64_t weights) const;

  // Chooses the least busy engine that could go on with a run on these weights; null if there is
  // none.
  PooledBackend* ChooseToContinue(std::span<const BackendChoice> avoid, std::int64_t weights) const;

  // The same for a run that was stopped at `source` to be moved: first of all that engine itself as
  // long as it surely takes the run back, and last of all even if it may not.
  std::optional<BackendChoice> ChooseToResume(std::span<const BackendChoice> avoid,
                                              std::int64_t weights,
                                              const std::optional<BackendChoice>& source) const;

  // Returns the first of these engines that still exists.
  std::optional<BackendChoice> StillThere(std::initializer_list<BackendChoice> engines) const;

  // The same for a run that is to be moved: one of the engines that load last, of two drawn by lot
  // the less busy one, so that not all routers choose the same at the same moment.
  std::optional<BackendChoice> ChooseMoveTarget(std::span<const BackendChoice> avoid,
                                                std::int64_t weights) const;

 private:
  std::vector<PooledBackend*> MayContinue(std::span<const BackendChoice> avoid,
                                          std::int64_t weights) const;

  ForwardServices& services_;
  std::string service_;
  std::string model_;
  const StreamVersion& version_;
};

}  // namespace kumquat
