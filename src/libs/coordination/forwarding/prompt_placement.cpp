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
std::uint64_t RootOf(const Prompt& prompt, std::string_view salt) {
  const std::span<const PromptPart> shared = SharedParts(prompt);
  const std::string& key = shared.empty() ? prompt.model : shared.back().id;
  const std::uint64_t seed = XXH3_64bits(salt.data(), salt.size());
  return XXH3_64bits_withSeed(key.data(), key.size(), seed);
}

}  // namespace

PooledBackend* HomeOf(const Prompt& prompt, std::string_view salt,
                      std::span<PooledBackend* const> candidates) {
  const std::uint64_t root = RootOf(prompt, salt);
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

PromptPlacement::PromptPlacement(PromptPlacementOptions options, Random random)
    : options_(std::move(options)), policy_(PlacementOptions{}, std::move(random)) {}

PromptChoice PromptPlacement::Choose(const Prompt& prompt, std::string_view salt,
                                     std::span<PooledBackend* const> candidates, Instant now) {
  const std::int64_t shared = SharedTokens(prompt);
  const bool has_shared = shared > 0;
  PooledBackend* home = has_shared ? HomeOf(prompt, salt, candidates) : nullptr;
  std::vector<Candidate> scored;
  scored.reserve(candidates.size());
  const double away_ms_per_1k =
      has_shared ? std::chrono::duration<double, std::milli>(options_.away_cost).count() * 1000 /
                       static_cast<double>(shared)
                 : 0;
  for (PooledBackend* backend : candidates) {
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
    scored.push_back(candidate);
  }
  PlacementRequest request;
  request.prompt_tokens = prompt.tokens;
  request.prefix_root = RootOf(prompt, salt);
  const auto choice = policy_.Choose(scored, request, now);
  if (!choice) return {};
  PromptChoice result;
  result.backend = candidates[choice->index];
  result.dispatch = policy_.Dispatched(scored[choice->index], request, *choice, now);
  if (home && result.backend != home) result.fetch_from = home->endpoint;
  return result;
}

}  // namespace kumquat
