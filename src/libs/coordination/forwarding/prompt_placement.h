// Chooses the engine for a request whose prompt consists of named parts.
//
// The index tells which engines and stores have which parts cached. An engine that lacks parts
// fetches them from the engine or store that holds most of them. By the defaults below, 6,000
// tokens take about 11 ms from an engine and 30 ms from a store, while computing them (prefill)
// takes about 106 ms. Parts that the cache store lacks are saved there, so that engines that
// start or load weights get them without prefill. When nobody holds any part, all routers choose
// the same engine by rendezvous hashing of the last shared part, or of the model's name if no part
// is shared.
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
#include "coordination/hints/wanted_parts.h"
#include "coordination/orders/named_weights.h"
#include "coordination/placement/placement.h"
#include "utils/hooks.h"

namespace kumquat {

// A named part of a prompt, with its length.
struct PromptPart {
  std::string id;
  std::int64_t tokens = 0;

  bool operator==(const PromptPart&) const = default;
};

// A prompt with its parts in order. All but the last part may be shared with other requests; the
// last one is the request's own.
struct Prompt {
  std::string model;
  std::vector<PromptPart> parts;
  std::int64_t tokens = 0;
  std::int64_t max_answer_tokens = 0;

  bool operator==(const Prompt&) const = default;
};

struct PromptPlacementOptions {
  // Prefill time of an engine. The users' data sheets give 56.6 tokens a millisecond.
  double prefill_ms_per_1k_tokens = 17.7;
  // Time to fetch from another engine, in the same or another failure domain. 18 KB a token over
  // 370 Gbit/s take 0.39 ms per 1,000 tokens, and between failure domains twice as long; the value
  // is close to the latter.
  double fetch_ms_per_1k_tokens = 0.8;
  // Time to fetch from a store, in the same or another failure domain. All engines share the
  // store's link of some 50 Gbit/s, over which 1,000 tokens take 2.9 ms, and between failure
  // domains twice as long; the value lies between the two.
  double store_fetch_ms_per_1k_tokens = 4.0;
  // Fixed time that each fetch takes in addition.
  Duration fetch_overhead = std::chrono::milliseconds(6);
  // Penalty, expressed as added delay, for an engine whose weights were replaced by a newer version
  // more than old_weights_grace ago. An answer on such weights is worth a fifth less than one on
  // newer weights.
  Duration old_weights_cost = std::chrono::milliseconds(200);
  // For how long replaced weights are used without this penalty.
  Duration old_weights_grace = std::chrono::milliseconds(1200);
  // Minimum time between two saves of the same parts. The store's events arrive late, so parts that
  // were just saved still seem to be missing.
  Duration save_interval = std::chrono::seconds(2);
};

// What placement needs to know about a request besides its prompt.
struct PromptContext {
  // The organisation whose cached parts are kept apart from those of others; empty when they may be
  // shared.
  std::string cache_scope;
  // The cache store that may be used; nullopt for none.
  std::optional<Endpoint> store;
  // The memory of an engine in tokens, shared by its runs and its cached parts; 0 when unknown.
  std::int64_t memory_tokens = 0;
};

// The outcome of a placement.
struct PromptChoice {
  // The chosen engine, owned by the pool; null when there was no candidate.
  PooledBackend* backend = nullptr;
  // Where the engine fetches the shared parts that it lacks; nullopt for no fetch.
  std::optional<Endpoint> fetch_from;
  // Where the engine saves the parts that it computes; nullopt for no save.
  std::optional<Endpoint> save_to;
  // The number of tokens in the shared parts, and how many of the leading ones the engine is
  // believed to hold.
  std::int64_t shared_tokens = 0;
  std::int64_t cached_tokens = 0;

  // Input for Sent.
  PlacementChoice placement;
  PlacementRequest request;
  std::vector<KeyedPart> shared_parts;
  std::int64_t weights = 0;
};

class PromptPlacement {
 public:
  // `named_weights` and `index` are not owned and must outlive this object.
  PromptPlacement(PromptPlacementOptions options, const NamedWeights* named_weights,
                  PartIndex* index, Random random);

  // Chooses one of the candidates; the result has no backend when there is none. Doesn't change
  // the estimates of load and cache contents; call Sent when the request is sent.
  PromptChoice Choose(const Prompt& prompt, const PromptContext& setting,
                      std::span<PooledBackend* const> candidates, Instant now);

  // Records that the request is sent as chosen. Returns the id for FirstEvent and Ended.
  DispatchId Sent(const PromptChoice& choice, Instant now);

  // Returns the keys of parts that requests are placed by and that the replicas have to be told
  // now.
  std::vector<std::uint64_t> TakeInterest() { return interest_.Take(); }

  void FirstEvent(DispatchId dispatch, Instant now) { policy_.FirstToken(dispatch, now); }
  void Ended(DispatchId dispatch, Instant now) { policy_.Finished(dispatch, now); }

  // Returns what to report to the other routers now (PlacementPolicy::TakeSentLoads). Must be
  // reported even if it is empty.
  std::vector<SentLoad> TakeSentLoads(Instant now) { return policy_.TakeSentLoads(now); }
  // Applies a report of the loads that a group of other routers has sent to engines.
  void PeersSent(std::string_view group, std::int64_t routers, std::span<const SentLoad> loads,
                 Instant now) {
    policy_.PeersSent(group, routers, loads, now);
  }
  // Sets the number of routers that share the engines.
  void SetRouters(std::int64_t routers) { policy_.SetRouters(routers); }

 private:
  // Who holds the shared parts under one version of the weights.
  struct Holdings {
    std::vector<KeyedPart> parts;
    std::int64_t store_tokens = 0;
    // The engine that holds most of their leading tokens, and how many.
    const PooledBackend* best = nullptr;
    std::int64_t best_tokens = 0;
  };

  using HoldingsByVersion = std::map<std::int64_t, Holdings>;

  HoldingsByVersion FindHoldings(const Prompt& prompt, const PromptContext& setting,
                                 std::span<PooledBackend* const> backends, Instant now) const;
  Candidate CandidateFor(const Prompt& prompt, const PromptContext& setting,
                         const PooledBackend& backend, const Holdings& holdings, Instant now) const;
  bool SaveIsDue(std::uint64_t placement_key, std::int64_t version, Instant now) const;

  PromptPlacementOptions options_;
  const NamedWeights* named_weights_;
  PartIndex* index_;
  PartInterest interest_;
  PlacementPolicy policy_;
  // When the shared parts of a prompt were last saved, by SaveKey.
  std::unordered_map<std::uint64_t, Instant> saved_at_;
};

// Returns the salt under which engines cache parts. It differs by version of the weights and by
// `cache_scope`, so that parts are never reused across either.
std::string CacheSaltOf(std::int64_t version, std::string_view cache_scope);

}  // namespace kumquat
