#include "forwarding/engines_of_run.h"

#include <algorithm>
#include <utility>

namespace kumquat {
namespace {

constexpr std::size_t kDrawnMoveTargets = 2;

bool Contains(std::span<const BackendChoice> choices, const BackendChoice& choice) {
  return std::find(choices.begin(), choices.end(), choice) != choices.end();
}

std::optional<BackendChoice> ChoiceOf(const PooledBackend* engine) {
  return engine ? std::optional(engine->choice()) : std::nullopt;
}

}  // namespace

EnginesOfRun::EnginesOfRun(ForwardServices& services, std::string service, std::string model,
                           const StreamVersion& version)
    : services_(services),
      service_(std::move(service)),
      model_(std::move(model)),
      version_(version) {}

std::vector<PooledBackend*> EnginesOfRun::MayBegin(std::vector<PooledBackend*> candidates) const {
  std::erase_if(candidates, [this](const PooledBackend* engine) {
    return !engine->weights.contains(model_) || BeginsTooLate(*engine, Duration(0));
  });
  return candidates;
}

bool EnginesOfRun::BeginsTooLate(const PooledBackend& engine, Duration expected_wait) const {
  return services_.weights_limit->BeginsTooLate(model_, engine.VersionOf(model_), expected_wait,
                                                services_.clock());
}

// A run that goes on at another engine counts as begun there.
bool EnginesOfRun::MayContinue(const PooledBackend& engine, std::int64_t weights) const {
  return !BeginsTooLate(engine, Duration(0)) && engine.VersionOf(model_) == weights &&
         version_.MayGoOn(engine.software_version);
}

std::vector<PooledBackend*> EnginesOfRun::MayContinue(std::span<const BackendChoice> avoid,
                                                      std::int64_t weights) const {
  const Instant now = services_.clock();
  std::vector<PooledBackend*> engines = services_.pool.Candidates(service_, avoid, now);
  std::erase_if(engines, [&](const PooledBackend* engine) {
    return !engine->is_usable(now) || !MayContinue(*engine, weights);
  });
  return engines;
}

PooledBackend* EnginesOfRun::ChooseToContinue(std::span<const BackendChoice> avoid,
                                              std::int64_t weights) const {
  return ChooseLeastBusy(MayContinue(avoid, weights), services_.failure_domain, services_.random);
}

std::optional<BackendChoice> EnginesOfRun::ChooseToResume(
    std::span<const BackendChoice> avoid, std::int64_t weights,
    const std::optional<BackendChoice>& source) const {
  const PooledBackend* moved_from =
      source && !Contains(avoid, *source) ? services_.pool.Find(*source) : nullptr;
  if (moved_from && services_.clock() < moved_from->unordered_until) return source;
  const PooledBackend* other = ChooseToContinue(avoid, weights);
  return ChoiceOf(other ? other : moved_from);
}

std::optional<BackendChoice> EnginesOfRun::StillThere(
    std::initializer_list<BackendChoice> engines) const {
  for (const BackendChoice& engine : engines) {
    if (services_.pool.Find(engine)) return engine;
  }
  return std::nullopt;
}

std::optional<BackendChoice> EnginesOfRun::ChooseMoveTarget(std::span<const BackendChoice> avoid,
                                                            std::int64_t weights) const {
  std::vector<PooledBackend*> engines = MayContinue(avoid, weights);
  const auto& targets = services_.move_window.targets();
  std::erase_if(engines, [&](const PooledBackend* engine) {
    return std::find(targets.begin(), targets.end(), engine->id) == targets.end();
  });
  const std::size_t drawn = std::min(kDrawnMoveTargets, engines.size());
  for (std::size_t i = 0; i < drawn; ++i) {
    std::swap(engines[i], engines[i + services_.random() % (engines.size() - i)]);
  }
  engines.resize(drawn);
  return ChoiceOf(ChooseLeastBusy(engines, services_.failure_domain, services_.random));
}

}  // namespace kumquat
