#include "coordination/forwarding/prompt_placement.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace kumquat {
namespace {

// Returns the shared parts: all but the request's own.
std::span<const PromptPart> SharedParts(const Prompt& prompt) {
  const std::span<const PromptPart> parts = prompt.parts;
  return parts.empty() ? parts : parts.first(parts.size() - 1);
}

std::int64_t SharedTokens(const Prompt& prompt) {
  std::int64_t tokens = 0;
  for (const PromptPart& part : SharedParts(prompt)) tokens += part.tokens;
  return tokens;
}

// Low bits of what routers agree by. Weights don't count: a session stays with its engine over a
// roll-out.
std::uint64_t RootOf(const Prompt& prompt, std::string_view wall) {
  const std::span<const PromptPart> shared = SharedParts(prompt);
  const std::string& key = shared.empty() ? prompt.model : shared.back().id;
  const std::uint64_t seed = XXH3_64bits(wall.data(), wall.size());
  return XXH3_64bits_withSeed(key.data(), key.size(), seed);
}

// Keys of saved parts are dropped, oldest versions and all, once there are more than this.
constexpr std::size_t kMostSaved = 20'000;

}  // namespace

PooledBackend* HomeOf(const Prompt& prompt, std::string_view wall,
                      std::span<PooledBackend* const> candidates) {
  const std::uint64_t root = RootOf(prompt, wall);
  PooledBackend* home = nullptr;
  std::uint64_t highest = 0;
  for (PooledBackend* candidate : candidates) {
    const std::string place = candidate->endpoint.ToString();
    const std::uint64_t weight = XXH3_64bits_withSeed(place.data(), place.size(), root);
    if (home && weight <= highest) continue;
    home = candidate;
    highest = weight;
  }
  return home;
}

PromptPlacement::PromptPlacement(PromptPlacementOptions options, const NamedWeights* named,
                                 Random random)
    : options_(std::move(options)), named_(named), policy_(PlacementOptions{}, std::move(random)) {}

std::vector<Candidate> PromptPlacement::CandidatesFor(const Prompt& prompt,
                                                      const PooledBackend* home,
                                                      std::span<PooledBackend* const> backends,
                                                      Instant now) const {
  const std::int64_t shared = SharedTokens(prompt);
  const double away_ms = std::chrono::duration<double, std::milli>(options_.away_cost).count();
  const double away_ms_per_1k =
      away_ms * 1000 / static_cast<double>(std::max<std::int64_t>(1, shared));
  std::vector<Candidate> candidates;
  candidates.reserve(backends.size());
  for (const PooledBackend* backend : backends) {
    Candidate candidate;
    candidate.backend_id = backend->id;
    candidate.incarnation = backend->incarnation;
    candidate.failure_domain = backend->failure_domain;
    candidate.concurrent_requests = backend->slots;
    candidate.prefill_ms_per_1k_tokens = options_.prefill_ms_per_1k_tokens;
    if (backend == home) {
      candidate.cached_tokens = shared;
    } else {
      candidate.importable_tokens = shared;
      candidate.import_ms_per_1k_tokens = options_.fetch_ms_per_1k_tokens + away_ms_per_1k;
    }
    const auto replaced = named_->ReplacedFor(prompt.model, backend->VersionOf(prompt.model), now);
    if (replaced && *replaced > options_.old_weights_grace) {
      candidate.penalty = options_.old_weights_cost;
    }
    candidates.push_back(candidate);
  }
  return candidates;
}

PromptChoice PromptPlacement::Choose(const Prompt& prompt, const PromptSetting& setting,
                                     std::span<PooledBackend* const> backends, Instant now) {
  const bool has_shared = SharedTokens(prompt) > 0;
  const PooledBackend* home = has_shared ? HomeOf(prompt, setting.wall, backends) : nullptr;
  const std::vector<Candidate> candidates = CandidatesFor(prompt, home, backends, now);
  PlacementRequest request;
  request.prompt_tokens = prompt.tokens;
  request.prefix_root = RootOf(prompt, setting.wall);
  const auto choice = policy_.Choose(candidates, request, now);
  if (!choice) return {};
  PromptChoice result;
  result.backend = backends[choice->index];
  result.dispatch = policy_.Dispatched(candidates[choice->index], request, *choice, now);
  if (!has_shared) return result;
  const std::int64_t version = result.backend->VersionOf(prompt.model);
  const bool home_helps = result.backend != home && home->VersionOf(prompt.model) == version;
  result.fetch_from = home_helps ? home->endpoint : setting.store;
  if (setting.store && SaveIsDue(prompt, setting, version, now)) result.save_to = setting.store;
  return result;
}

bool PromptPlacement::SaveIsDue(const Prompt& prompt, const PromptSetting& setting,
                                std::int64_t version, Instant now) {
  const std::uint64_t root = RootOf(prompt, setting.wall);
  const std::uint64_t key = XXH3_64bits_withSeed(&version, sizeof(version), root);
  if (saved_at_.size() > kMostSaved) saved_at_.clear();
  const auto [entry, is_new] = saved_at_.try_emplace(key, now);
  if (!is_new && now - entry->second < options_.save_interval) return false;
  entry->second = now;
  return true;
}

}  // namespace kumquat
