#include "coordination/placement/placement.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "coordination/placement/placement_tracker.h"

namespace kumquat {

namespace Internal {

// A candidate with the cost of choosing it, in microseconds.
struct ScoredCandidate {
  PlacementChoice choice;
  double score_us = 0;
};

std::uint64_t RendezvousScore(std::string_view backend_id, std::uint64_t seed) {
  return XXH3_64bits_withSeed(backend_id.data(), backend_id.size(), seed);
}

// Returns microseconds: milliseconds per thousand tokens equal microseconds per token.
double ComputeUs(double tokens, double ms_per_1k_tokens) { return tokens * ms_per_1k_tokens; }

// Imports cached tokens if that is cheaper than computing them. Importable tokens are included even
// if the engine is assumed to have them cached, since that assumption may be wrong.
void SetImportAndMissingTokens(const Candidate& candidate, const PlacementRequest& request,
                               PlacementChoice& choice) {
  const bool is_cheaper = candidate.import_ms_per_1k_tokens < candidate.prefill_ms_per_1k_tokens;
  choice.import_tokens =
      is_cheaper ? std::min(candidate.importable_tokens, request.prompt_tokens) : 0;
  const std::int64_t cached = std::min(candidate.cached_tokens, request.prompt_tokens);
  choice.missing_tokens = request.prompt_tokens - std::max(cached, choice.import_tokens);
}

double ImportUs(const Candidate& candidate, const PlacementChoice& choice) {
  const auto imported = static_cast<double>(
      std::max<std::int64_t>(0, choice.import_tokens - candidate.cached_tokens));
  return ComputeUs(imported, candidate.import_ms_per_1k_tokens);
}

// Returns the time that the engine spends on importing and prefill for the request.
double PrefillUs(const Candidate& candidate, const PlacementChoice& choice) {
  return ComputeUs(static_cast<double>(choice.missing_tokens), candidate.prefill_ms_per_1k_tokens) +
         ImportUs(candidate, choice);
}

// Returns the prompt tokens of requests whose prefill comes before that of this one.
double TokensAhead(const LoadEstimate& load, const PlacementRequest& request,
                   double max_draft_tokens) {
  if (request.request_class != RequestClass::kReply) return load.tokens;
  // Replies have priority, but the prefill of a draft that has started is not interrupted.
  const double drafts = std::min(load.tokens - load.reply_tokens, max_draft_tokens);
  return load.reply_tokens + drafts / 2;
}

// Returns how long the run waits until other runs have freed the memory that it needs.
double MemoryWaitUs(const Candidate& candidate, const LoadEstimate& load,
                    const PlacementRequest& request, Duration mean_decode) {
  if (candidate.memory_tokens == 0 || load.held_tokens == 0) return 0;
  const double over = load.held_tokens + static_cast<double>(request.held_tokens) -
                      static_cast<double>(candidate.memory_tokens);
  return std::max(0.0, over) / load.held_tokens * static_cast<double>(mean_decode.count());
}

// Returns how long the request waits before its prefill: for a slot, for memory, or for the prefill
// of the tokens ahead of it, whichever takes longest.
double QueueUs(const Candidate& candidate, const LoadEstimate& load,
               const PlacementRequest& request, double tokens_ahead, Duration mean_decode) {
  const double slots =
      static_cast<double>(std::max<std::int64_t>(1, candidate.concurrent_requests));
  const double over = std::max(0.0, load.requests + 1 - slots);
  const double slot_us = over * static_cast<double>(mean_decode.count()) / slots;
  return std::max({slot_us, MemoryWaitUs(candidate, load, request, mean_decode),
                   ComputeUs(tokens_ahead, candidate.prefill_ms_per_1k_tokens)});
}

// Returns the share of the memory that runs would hold, from 0 to 1.
double HeldMemoryShare(const Candidate& candidate, const LoadEstimate& load,
                       const PlacementRequest& request) {
  if (candidate.memory_tokens == 0) return 0;
  const double held = load.held_tokens + static_cast<double>(request.held_tokens);
  return std::min(1.0, held / static_cast<double>(candidate.memory_tokens));
}

}  // namespace Internal

PlacementPolicy::PlacementPolicy(const PlacementOptions& options, Random random)
    : options_(options),
      random_(std::move(random)),
      tracker_(std::make_unique<Internal::PlacementTracker>()) {
  tracker_->SetRouters(options.routers);
}

PlacementPolicy::PlacementPolicy(PlacementPolicy&&) noexcept = default;

PlacementPolicy::~PlacementPolicy() = default;

std::optional<PlacementChoice> PlacementPolicy::Choose(std::span<const Candidate> candidates,
                                                       const PlacementRequest& request,
                                                       Instant now) {
  std::vector<Internal::ScoredCandidate> scored;
  scored.reserve(candidates.size());
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    const Candidate& candidate = candidates[index];
    if (candidate.state != BackendState::kServing) continue;
    scored.push_back({.choice = {.index = index}});
    Score(candidate, request, now, scored.back());
  }
  if (scored.empty()) return std::nullopt;
  const auto by_score = [](const auto& left, const auto& right) {
    return left.score_us < right.score_us;
  };
  const double best = std::min_element(scored.begin(), scored.end(), by_score)->score_us;
  const double limit = best + static_cast<double>(options_.tie_margin.count());
  std::erase_if(scored, [&](const auto& candidate) { return candidate.score_us > limit; });
  return scored[BreakTie(candidates, request, scored)].choice;
}

void PlacementPolicy::Score(const Candidate& candidate, const PlacementRequest& request,
                            Instant now, Internal::ScoredCandidate& scored) const {
  const auto load = tracker_->Estimate(candidate.backend_id, candidate.incarnation, now);
  Internal::SetImportAndMissingTokens(candidate, request, scored.choice);
  const double ahead = Internal::TokensAhead(load, request, options_.max_draft_tokens_ahead);
  const double queue_us =
      Internal::QueueUs(candidate, load, request, ahead, tracker_->mean_decode());
  const double prefill_us = Internal::PrefillUs(candidate, scored.choice);
  const bool waits_for_prefill =
      queue_us <= Internal::ComputeUs(ahead, candidate.prefill_ms_per_1k_tokens);
  scored.choice.tokens_until_first =
      waits_for_prefill ? ahead + static_cast<double>(scored.choice.missing_tokens) : 0;
  scored.choice.queue_time = Duration(static_cast<std::int64_t>(queue_us));
  scored.choice.import_time =
      Duration(static_cast<std::int64_t>(Internal::ImportUs(candidate, scored.choice)));
  const auto fixed_us = static_cast<double>(candidate.fixed_time.count());
  scored.choice.expected_first_token =
      Duration(static_cast<std::int64_t>(queue_us + prefill_us + fixed_us));
  const double weight = request.request_class == RequestClass::kReply
                            ? options_.reply_recompute_weight
                            : options_.draft_recompute_weight;
  const double held_share = Internal::HeldMemoryShare(candidate, load, request);
  scored.score_us = queue_us + prefill_us * (1 + weight) + fixed_us +
                    static_cast<double>(candidate.penalty.count()) +
                    held_share * held_share * static_cast<double>(options_.memory_pressure.count());
}

// If no tied engine has any of the prompt cached, routers that decide at the same time should
// choose the same engine, so that the prompt is computed once. Otherwise they should choose
// different ones, so that they don't overload one engine.
std::size_t PlacementPolicy::BreakTie(std::span<const Candidate> candidates,
                                      const PlacementRequest& request,
                                      std::span<const Internal::ScoredCandidate> tied) const {
  const auto is_cold = [&](const Internal::ScoredCandidate& scored) {
    return candidates[scored.choice.index].cached_tokens == 0;
  };
  if (!std::all_of(tied.begin(), tied.end(), is_cold)) return random_() % tied.size();
  std::size_t best = 0;
  std::uint64_t best_score = 0;
  for (std::size_t at = 0; at < tied.size(); ++at) {
    const auto backend_id = candidates[tied[at].choice.index].backend_id;
    const auto score = Internal::RendezvousScore(backend_id, request.prefix_hash_seed);
    if (score < best_score) continue;
    best = at;
    best_score = score;
  }
  return best;
}

DispatchId PlacementPolicy::Dispatched(const Candidate& candidate, const PlacementRequest& request,
                                       const PlacementChoice& choice, Instant now) {
  return tracker_->Dispatched(candidate, request, choice, now);
}

void PlacementPolicy::FirstToken(DispatchId dispatch, Instant now) {
  tracker_->FirstToken(dispatch, now);
}

void PlacementPolicy::Finished(DispatchId dispatch, Instant now) { tracker_->Ended(dispatch, now); }

void PlacementPolicy::Failed(DispatchId dispatch, Instant now) { tracker_->Ended(dispatch, now); }

void PlacementPolicy::Reported(std::string_view backend_id, std::int64_t incarnation,
                               const BackendLoad& load, Instant measured_at) {
  tracker_->Reported(backend_id, incarnation, load, measured_at);
}

std::vector<SentLoad> PlacementPolicy::TakeSentLoads(Instant now) {
  return tracker_->TakeSentLoads(now);
}

void PlacementPolicy::PeersSent(std::string_view group, std::int64_t routers,
                                std::span<const SentLoad> loads, Instant now) {
  tracker_->PeersSent(group, routers, loads, now);
}

void PlacementPolicy::RemoveEngine(std::string_view backend_id) {
  tracker_->RemoveEngine(backend_id);
}

void PlacementPolicy::SetRouters(std::int64_t routers) { tracker_->SetRouters(routers); }

}  // namespace kumquat
