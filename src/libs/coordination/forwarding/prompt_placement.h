// Chooses the engine for a request whose prompt comes in named parts.
//
// The index tells which engine and store holds which parts. An engine that lacks parts fetches them
// from whoever holds most of them, which costs it a few milliseconds where reading them would cost
// a hundred and more. Parts that the store of kept cache lacks are saved there, so that engines
// that start or load get them without reading. Where nobody holds anything, routers agree on an
// engine by rendezvous hashing of the last shared part.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "coordination/forwarding/backend_pool.h"
#include "coordination/forwarding/part_index.h"
#include "coordination/orders/named_weights.h"
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
  // What an engine reads; the users' sheets say 56.6 tokens a millisecond.
  double prefill_ms_per_1k_tokens = 17.7;
  // Fetching from another engine: 18 KB a token over 370 Gbit/s, twice that between domains.
  double fetch_ms_per_1k_tokens = 0.8;
  // Fetching from a store, whose link all engines share: some 50 Gbit/s, twice that between
  // domains.
  double store_fetch_ms_per_1k_tokens = 4.0;
  // What any fetch costs besides.
  Duration fetch_overhead = std::chrono::milliseconds(6);
  // What an answer on replaced weights costs: a fifth of its worth, once they have been replaced
  // for this long.
  Duration old_weights_cost = std::chrono::milliseconds(200);
  Duration old_weights_grace = std::chrono::milliseconds(1200);
  // Parts that the store lacks are saved again after this: its events come late.
  Duration save_interval = std::chrono::seconds(2);
};

// What matters about a request beside its prompt.
struct PromptSetting {
  // Keeps the cached parts of one organisation from others; empty where it needs no wall.
  std::string cache_scope;
  // The store of kept cache that may be used.
  std::optional<Endpoint> store;
  // Tokens that an engine's runs and cached parts share; 0 where it isn't known.
  std::int64_t memory_tokens = 0;
};

// Where a request goes.
struct PromptChoice {
  PooledBackend* backend = nullptr;
  // Where to fetch shared parts from that the engine lacks.
  std::optional<Endpoint> fetch_from;
  // Where to save the parts that it reads.
  std::optional<Endpoint> save_to;
  // The tokens of the shared parts, and how many leading ones the engine is believed to hold.
  std::int64_t shared_tokens = 0;
  std::int64_t cached_tokens = 0;

  // For Sent.
  PlacementChoice placement;
  PlacementRequest request;
  std::vector<KeyedPart> shared_parts;
  std::int64_t weights = 0;
};

class PromptPlacement {
 public:
  // The names of weights and the index outlive the placement.
  PromptPlacement(PromptPlacementOptions options, const NamedWeights* named_weights,
                  PartIndex* index, Random random);

  // Chooses among the candidates. Nothing when there is no candidate. Only Sent changes what is
  // believed of engines.
  PromptChoice Choose(const Prompt& prompt, const PromptSetting& setting,
                      std::span<PooledBackend* const> candidates, Instant now);

  // The request goes out as chosen. Returns the handle for the calls below.
  DispatchId Sent(const PromptChoice& choice, Instant now);

  void FirstEvent(DispatchId dispatch, Instant now) { policy_.FirstToken(dispatch, now); }
  void Ended(DispatchId dispatch, Instant now) { policy_.Finished(dispatch, now); }

  std::vector<SentLoad> TakeSentLoads(Instant now) { return policy_.TakeSentLoads(now); }
  void PeerSent(std::string_view router, std::span<const SentLoad> loads, Instant now) {
    policy_.PeerSent(router, loads, now);
  }
  void SetRouters(std::int64_t routers) { policy_.SetRouters(routers); }

 private:
  // What is known of the shared parts under one version of the weights.
  struct Holdings {
    std::vector<KeyedPart> parts;
    std::int64_t store_tokens = 0;
    // The engine that holds most of them, and how much.
    const PooledBackend* best = nullptr;
    std::int64_t best_tokens = 0;
  };

  using HoldingsByVersion = std::map<std::int64_t, Holdings>;

  HoldingsByVersion FindHoldings(const Prompt& prompt, const PromptSetting& setting,
                                 std::span<PooledBackend* const> backends, Instant now) const;
  Candidate CandidateFor(const Prompt& prompt, const PromptSetting& setting,
                         const PooledBackend& backend, const Holdings& holdings, Instant now) const;
  bool SaveIsDue(std::uint64_t root, std::int64_t version, Instant now) const;

  PromptPlacementOptions options_;
  const NamedWeights* named_weights_;
  PartIndex* index_;
  PlacementPolicy policy_;
  // When the parts up to the last shared one were last saved, by SaveKey.
  std::unordered_map<std::uint64_t, Instant> saved_at_;
};

// Returns the salt under which engines cache parts: by the version of the weights, and behind a
// wall by the organisation.
std::string CacheSaltOf(std::int64_t version, std::string_view cache_scope);

}  // namespace kumquat
