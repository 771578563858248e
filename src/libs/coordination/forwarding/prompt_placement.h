// Chooses the engine for a request whose prompt consists of named parts.
//
// The index tells which engines and stores have which parts cached. An engine that lacks parts
// fetches them from the engine or store that holds most of them if that takes less time than
// computing them (prefill). How long computing takes is learnt (EngineModel); how long fetching
// takes follows from the bytes of a token and the speed of the links. Parts that the cache store
// lacks are saved there, so that engines that start or load weights get them without prefill. When
// nobody holds any part, all routers choose the same engine by rendezvous hashing of the last
// shared part, or of the model's name if no part is shared.
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
#include "coordination/placement/engine_model.h"
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
  EngineModelOptions engine_model;
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

// Times to fetch a token within a failure domain, in microseconds. Between failure domains it takes
// twice as long. The defaults apply where the configuration tells neither bytes nor links.
struct FetchTimes {
  double engine_us_per_token = 0.4;
  double store_us_per_token = 2.0;
};

// Returns the time for a token of so many bytes over a link of so many Mbit/s, in microseconds;
// `unknown` if either is 0.
double TransferTime(std::int64_t bytes_per_token, std::int64_t link_mbps, double unknown);

// What placement needs to know about a request besides its prompt.
struct PromptContext {
  // The scope within which cached parts may be used; see RouteIndex::CacheScopeOf.
  std::string cache_scope;
  // The cache store that may be used; nullopt for none.
  std::optional<Endpoint> store;
  // The memory of an engine in tokens, shared by its runs and its cached parts; 0 when unknown.
  std::int64_t memory_tokens = 0;
  // Where the store is; empty when unknown.
  std::string store_domain;
  FetchTimes fetch;
  // Whether engines admit the request before others that are less urgent.
  bool is_urgent = true;
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
  std::string model;
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

  // `is_measured` tells whether the time until the event shows the engine's speed.
  void FirstEvent(DispatchId dispatch, bool is_measured, Instant now);
  void Ended(DispatchId dispatch, Instant now);

  // Returns how many answers the estimate of the speed of a model's engines rests on.
  std::int64_t answers(std::string_view model) const { return engine_model_.answers(model); }

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
  double FetchUsPerToken(const PromptContext& setting, const PooledBackend& backend,
                         const Holdings& holdings) const;
  Candidate CandidateFor(const Prompt& prompt, const PromptContext& setting,
                         const PooledBackend& backend, const Holdings& holdings, Instant now) const;
  bool SaveIsDue(std::uint64_t placement_key, std::int64_t version, Instant now) const;

  PromptPlacementOptions options_;
  const NamedWeights* named_weights_;
  PartIndex* index_;
  PartInterest interest_;
  PlacementPolicy policy_;
  EngineModel engine_model_;
  // A request whose first event hasn't come.
  struct Awaited {
    std::string backend_id;
    std::int64_t incarnation = 0;
    std::string model;
    // Prompt tokens to compute until the event; 0 if its time doesn't show the engine's speed.
    double tokens = 0;
    Duration import_time{0};
    Instant sent_at{0};
  };
  std::unordered_map<DispatchId, Awaited> awaited_;
  // When the shared parts of a prompt were last saved, by SaveKey.
  std::unordered_map<std::uint64_t, Instant> saved_at_;
};

// Returns the salt under which engines cache parts. It differs by version of the weights and by
// `cache_scope`, so that parts are never reused across either.
std::string CacheSaltOf(std::int64_t version, std::string_view cache_scope);

}  // namespace kumquat
