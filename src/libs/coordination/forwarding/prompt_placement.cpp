#include "coordination/forwarding/prompt_placement.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace kumquat {
namespace {

// Bounds the memory for save times: all of them are dropped once there are more than this.
constexpr std::size_t kMaxSaveTimes = 20'000;

// Returns the shared parts: all but the last one, which is the request's own.
std::span<const PromptPart> SharedParts(const Prompt& prompt) {
  const std::span<const PromptPart> parts = prompt.parts;
  return parts.empty() ? parts : parts.first(parts.size() - 1);
}

std::int64_t TokensOf(std::span<const KeyedPart> parts) {
  std::int64_t tokens = 0;
  for (const KeyedPart& part : parts) tokens += part.tokens;
  return tokens;
}

// Returns how many tokens a run is estimated to add to an engine's memory in use: its prompt and
// its longest answer, without the first part if that is shared, since most runs share it.
std::int64_t HeldTokens(const Prompt& prompt) {
  const bool shares = prompt.parts.size() > 1;
  return prompt.tokens + prompt.max_answer_tokens - (shares ? prompt.parts.front().tokens : 0);
}

std::uint64_t SaveKey(std::uint64_t placement_key, std::int64_t version) {
  return XXH3_64bits_withSeed(&version, sizeof(version), placement_key);
}

// Returns the key of the rendezvous hashing by which all routers choose the same engine. It doesn't
// depend on the version of the weights, so that a session stays with its engine during a roll-out.
std::uint64_t PlacementKeyOf(const Prompt& prompt, std::string_view cache_scope) {
  const std::span<const PromptPart> shared = SharedParts(prompt);
  return PartKey(cache_scope, shared.empty() ? prompt.model : shared.back().id);
}

}  // namespace

std::string CacheSaltOf(std::int64_t version, std::string_view cache_scope) {
  return std::to_string(version) + "." + std::string(cache_scope);
}

PromptPlacement::PromptPlacement(PromptPlacementOptions options, const NamedWeights* named_weights,
                                 PartIndex* index, Random random)
    : options_(options),
      named_weights_(named_weights),
      index_(index),
      policy_(PlacementOptions{}, std::move(random)) {}

PromptPlacement::HoldingsByVersion PromptPlacement::FindHoldings(
    const Prompt& prompt, const PromptContext& setting, std::span<PooledBackend* const> backends,
    Instant now) const {
  HoldingsByVersion by_version;
  for (const PooledBackend* backend : backends) {
    const std::int64_t version = backend->VersionOf(prompt.model);
    const auto [entry, is_new] = by_version.try_emplace(version);
    Holdings& holdings = entry->second;
    if (is_new) {
      const std::string salt = CacheSaltOf(version, setting.cache_scope);
      for (const PromptPart& part : SharedParts(prompt)) {
        holdings.parts.push_back({PartKey(salt, part.id), part.tokens});
      }
      if (setting.store) {
        holdings.store_tokens =
            index_->LeadingTokens(setting.store->ToString(), holdings.parts, now);
      }
    }
    const std::int64_t tokens = index_->LeadingTokens(backend->id, holdings.parts, now);
    if (tokens <= holdings.best_tokens) continue;
    holdings.best = backend;
    holdings.best_tokens = tokens;
  }
  return by_version;
}

Candidate PromptPlacement::CandidateFor(const Prompt& prompt, const PromptContext& setting,
                                        const PooledBackend& backend, const Holdings& holdings,
                                        Instant now) const {
  Candidate candidate;
  candidate.backend_id = backend.id;
  candidate.incarnation = backend.incarnation;
  candidate.failure_domain = backend.failure_domain;
  candidate.concurrent_requests = backend.slots;
  candidate.memory_tokens = setting.memory_tokens;
  candidate.prefill_ms_per_1k_tokens = options_.prefill_ms_per_1k_tokens;
  candidate.cached_tokens = index_->LeadingTokens(backend.id, holdings.parts, now);
  const std::int64_t most_held = std::max(holdings.best_tokens, holdings.store_tokens);
  if (most_held > candidate.cached_tokens) {
    const bool from_engine = holdings.best_tokens >= holdings.store_tokens;
    const double fixed_ms =
        std::chrono::duration<double, std::milli>(options_.fetch_overhead).count();
    candidate.importable_tokens = most_held;
    candidate.import_ms_per_1k_tokens =
        (from_engine ? options_.fetch_ms_per_1k_tokens : options_.store_fetch_ms_per_1k_tokens) +
        fixed_ms * 1000 / static_cast<double>(most_held - candidate.cached_tokens);
  }
  const auto replaced =
      named_weights_->TimeSinceReplaced(prompt.model, backend.VersionOf(prompt.model), now);
  if (replaced && *replaced > options_.old_weights_grace) {
    candidate.penalty = options_.old_weights_cost;
  }
  return candidate;
}

PromptChoice PromptPlacement::Choose(const Prompt& prompt, const PromptContext& setting,
                                     std::span<PooledBackend* const> backends, Instant now) {
  const HoldingsByVersion by_version = FindHoldings(prompt, setting, backends, now);
  for (const auto& [version, holdings] : by_version) {
    for (const KeyedPart& part : holdings.parts) interest_.Use(part.key, now);
  }
  std::vector<Candidate> candidates;
  candidates.reserve(backends.size());
  for (const PooledBackend* backend : backends) {
    const Holdings& holdings = by_version.at(backend->VersionOf(prompt.model));
    candidates.push_back(CandidateFor(prompt, setting, *backend, holdings, now));
  }
  PlacementRequest request;
  request.prompt_tokens = prompt.tokens;
  request.held_tokens = HeldTokens(prompt);
  request.prefix_hash_seed = PlacementKeyOf(prompt, setting.cache_scope);
  const auto choice = policy_.Choose(candidates, request, now);
  if (!choice) return {};
  PromptChoice result;
  result.backend = backends[choice->index];
  result.placement = *choice;
  result.request = request;
  result.weights = result.backend->VersionOf(prompt.model);
  const Candidate& chosen = candidates[choice->index];
  const Holdings& holdings = by_version.at(result.weights);
  result.cached_tokens = chosen.cached_tokens;
  result.shared_tokens = TokensOf(holdings.parts);
  if (holdings.parts.empty()) return result;
  result.shared_parts = holdings.parts;
  if (chosen.importable_tokens > 0) {
    const bool from_engine = holdings.best_tokens >= holdings.store_tokens;
    result.fetch_from = from_engine ? holdings.best->endpoint : setting.store;
  }
  const bool store_lacks = setting.store && holdings.store_tokens < result.shared_tokens;
  if (store_lacks && SaveIsDue(request.prefix_hash_seed, result.weights, now)) {
    result.save_to = setting.store;
  }
  return result;
}

DispatchId PromptPlacement::Sent(const PromptChoice& choice, Instant now) {
  if (!choice.shared_parts.empty()) index_->Expect(choice.backend->id, choice.shared_parts, now);
  if (choice.save_to) {
    if (saved_at_.size() > kMaxSaveTimes) saved_at_.clear();
    saved_at_[SaveKey(choice.request.prefix_hash_seed, choice.weights)] = now;
  }
  Candidate candidate;
  candidate.backend_id = choice.backend->id;
  candidate.incarnation = choice.backend->incarnation;
  return policy_.Dispatched(candidate, choice.request, choice.placement, now);
}

bool PromptPlacement::SaveIsDue(std::uint64_t placement_key, std::int64_t version,
                                Instant now) const {
  const auto saved = saved_at_.find(SaveKey(placement_key, version));
  return saved == saved_at_.end() || now - saved->second >= options_.save_interval;
}

}  // namespace kumquat
