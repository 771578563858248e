// Chooses the engine for a request whose prompt comes in named parts.
//
// Routers agree without talk on where the shared parts of a prompt live: at the engine that
// rendezvous hashing gives for the last shared part. A request goes there unless it would wait
// longer than elsewhere, and then its engine fetches the parts from there instead of reading them.
// Where there is a store of kept cache, parts that may be new to it are saved there, so that
// engines that start or load get them without reading.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "coordination/forwarding/backend_pool.h"
#include "coordination/forwarding/named_weights.h"
#include "coordination/placement/placement.h"
#include "utils/hooks.h"

namespace kumquat {

// One part of a prompt.
struct PromptPart {
  std::string id;
  std::int64_t tokens = 0;

  bool operator==(const PromptPart&) const = default;
};

// A prompt in the order of its parts; the last one is the request's own.
struct Prompt {
  std::string model;
  std::vector<PromptPart> parts;
  std::int64_t tokens = 0;
  std::int64_t max_answer_tokens = 0;

  bool operator==(const Prompt&) const = default;
};

struct PromptPlacementOptions {
  // This router's failure domain.
  std::string failure_domain;
  // What an engine reads, until it is measured; the users' sheets say 56.6 tokens a millisecond.
  double prefill_ms_per_1k_tokens = 17.7;
  // Fetching from another engine: 18 KB a token over 370 Gbit/s, twice that between domains.
  double fetch_ms_per_1k_tokens = 0.8;
  // What a choice of another engine than the home costs besides: the fetch itself, and its price.
  Duration away_cost = std::chrono::milliseconds(12);
  // What an answer on replaced weights costs: a fifth of its worth, once they have been replaced
  // for this long.
  Duration old_weights_cost = std::chrono::milliseconds(60);
  Duration old_weights_grace = std::chrono::milliseconds(1200);
  // Parts are saved again after this, as the store may have dropped them.
  Duration save_interval = std::chrono::seconds(8);
};

// What matters about a request beside its prompt.
struct PromptSetting {
  // Keeps the cached parts of one organisation from others; empty where it needs no wall.
  std::string wall;
  // The store of kept cache that may be used.
  std::optional<Endpoint> store;
};

// Where a request goes.
struct PromptChoice {
  PooledBackend* backend = nullptr;
  // Where to fetch shared parts from that the engine lacks.
  std::optional<Endpoint> fetch_from;
  // Where to save the parts that it reads.
  std::optional<Endpoint> save_to;
  // For the calls below.
  DispatchId dispatch = 0;
};

class PromptPlacement {
 public:
  // The names of weights outlive the placement.
  PromptPlacement(PromptPlacementOptions options, const NamedWeights* named, Random random);

  // Chooses among the candidates, and notes the request as sent. Nothing when there is no
  // candidate.
  PromptChoice Choose(const Prompt& prompt, const PromptSetting& setting,
                      std::span<PooledBackend* const> candidates, Instant now);

  void FirstEvent(DispatchId dispatch, Instant now) { policy_.FirstToken(dispatch, now); }
  void Ended(DispatchId dispatch, Instant now) { policy_.Finished(dispatch, now); }

  std::vector<SentLoad> TakeSentLoads(Instant now) { return policy_.TakeSentLoads(now); }
  void PeerSent(std::string_view router, std::span<const SentLoad> loads, Instant now) {
    policy_.PeerSent(router, loads, now);
  }
  void SetRouters(std::int64_t routers) { policy_.SetRouters(routers); }

 private:
  std::vector<Candidate> CandidatesFor(const Prompt& prompt, const PooledBackend* home,
                                       std::span<PooledBackend* const> backends, Instant now) const;
  bool SaveIsDue(const Prompt& prompt, const PromptSetting& setting, std::int64_t version,
                 Instant now);

  PromptPlacementOptions options_;
  const NamedWeights* named_;
  PlacementPolicy policy_;
  // When the parts up to the last shared one were last saved, by their key.
  std::unordered_map<std::uint64_t, Instant> saved_at_;
};

// Returns the engine that holds the prompt's shared parts by agreement; null without candidates.
PooledBackend* HomeOf(const Prompt& prompt, std::string_view wall,
                      std::span<PooledBackend* const> candidates);

}  // namespace kumquat
