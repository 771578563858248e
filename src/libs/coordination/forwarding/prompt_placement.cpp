#include "coordination/forwarding/prompt_placement.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace kumquat {
namespace {

// Bounds the memory for save times: all of them are dropped once there are more than this.
constexpr std::size_t kMaxSaveTimes = 20'000;

// A first event tells the engine's speed if at most so many times the request's own tokens were
// ahead.
constexpr double kMaxAheadRatio = 1;

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

// Engines compute prompts in pieces, and may be at one of a less urgent request.
PlacementOptions EnginePlacementOptions() {
  constexpr double kPieceTokens = 4096;
  PlacementOptions options;
  options.max_draft_tokens_ahead = kPieceTokens;
  options.draft_recompute_weight = options.reply_recompute_weight;
  return options;
}

}  // namespace

double TransferTime(std::int64_t bytes_per_token, std::int64_t link_mbps, double unknown) {
  constexpr double kBitsPerByte = 8;
  if (bytes_per_token <= 0 || link_mbps <= 0) return unknown;
  // Bits over Mbit/s are microseconds.
  return static_cast<double>(bytes_per_token) * kBitsPerByte / static_cast<double>(link_mbps);
}

std::string CacheSaltOf(std::int64_t version, std::string_view cache_scope) {
  return std::to_string(version) + "." + std::string(cache_scope);
}

PromptPlacement::PromptPlacement(PromptPlacementOptions options, const NamedWeights* named_weights,
                                 PartIndex* index, Random random)
    : options_(options),
      named_weights_(named_weights),
      index_(index),
      policy_(EnginePlacementOptions(), std::move(random)),
      engine_model_(options.engine_model) {}

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

double PromptPlacement::FetchUsPerToken(const PromptContext& setting, const PooledBackend& backend,
                                        const Holdings& holdings) const {
  constexpr double kBetweenDomains = 2;
  const bool from_engine = holdings.best_tokens >= holdings.store_tokens;
  const std::string& source = from_engine ? holdings.best->failure_domain : setting.store_domain;
  const double within =
      from_engine ? setting.fetch.engine_us_per_token : setting.fetch.store_us_per_token;
  return source == backend.failure_domain ? within : within * kBetweenDomains;
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
  const EngineEstimate estimate =
      engine_model_.Estimate(prompt.model, backend.id, backend.incarnation, now);
  candidate.fixed_time = Duration(static_cast<std::int64_t>(estimate.fixed_us));
  candidate.prefill_ms_per_1k_tokens = estimate.us_per_token;
  candidate.cached_tokens = index_->LeadingTokens(backend.id, holdings.parts, now);
  const std::int64_t most_held = std::max(holdings.best_tokens, holdings.store_tokens);
  if (most_held > candidate.cached_tokens) {
    const double fixed_ms =
        std::chrono::duration<double, std::milli>(options_.fetch_overhead).count();
    candidate.importable_tokens = most_held;
    candidate.import_ms_per_1k_tokens =
        FetchUsPerToken(setting, backend, holdings) +
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
  request.request_class = setting.is_urgent ? RequestClass::kReply : RequestClass::kDraft;
  request.prefix_hash_seed = PlacementKeyOf(prompt, setting.cache_scope);
  const auto choice = policy_.Choose(candidates, request, now);
  if (!choice) return {};
  PromptChoice result;
  result.backend = backends[choice->index];
  result.placement = *choice;
  result.request = request;
  result.model = prompt.model;
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
  const DispatchId dispatch = policy_.Dispatched(candidate, choice.request, choice.placement, now);
  // What is ahead is known less well than the request itself.
  const auto own_tokens = static_cast<double>(choice.placement.missing_tokens);
  const double ahead = choice.placement.tokens_until_first - own_tokens;
  const bool shows_speed =
      choice.placement.tokens_until_first > 0 && ahead <= kMaxAheadRatio * own_tokens;
  awaited_[dispatch] = {choice.backend->id,
                        choice.backend->incarnation,
                        choice.model,
                        shows_speed ? choice.placement.tokens_until_first : 0,
                        choice.placement.import_time,
                        now};
  return dispatch;
}

void PromptPlacement::FirstEvent(DispatchId dispatch, bool is_measured, Instant now) {
  policy_.FirstToken(dispatch, now);
  const auto found = awaited_.find(dispatch);
  if (found == awaited_.end()) return;
  const Awaited awaited = std::move(found->second);
  awaited_.erase(found);
  if (!is_measured || awaited.tokens <= 0) return engine_model_.OnAnswer(awaited.model, now);
  engine_model_.Observe({awaited.backend_id, awaited.incarnation, awaited.model, awaited.tokens,
                         now - awaited.sent_at - awaited.import_time},
                        now);
}

void PromptPlacement::Ended(DispatchId dispatch, Instant now) {
  policy_.Finished(dispatch, now);
  awaited_.erase(dispatch);
}

bool PromptPlacement::SaveIsDue(std::uint64_t placement_key, std::int64_t version,
                                Instant now) const {
  const auto saved = saved_at_.find(SaveKey(placement_key, version));
  return saved == saved_at_.end() || now - saved->second >= options_.save_interval;
}

}  // namespace kumquat
