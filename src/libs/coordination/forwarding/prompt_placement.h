// Chooses the engine for a request whose prompt comes in named parts.
//
// Routers agree without talk on where the shared parts of a prompt live: at the engine that
// rendezvous hashing gives for the last shared part. A request goes there unless it would wait
// longer than elsewhere, and then its engine fetches the parts from there instead of reading them.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "coordination/forwarding/backend_pool.h"
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
};

// Where a request goes.
struct PromptChoice {
  PooledBackend* backend = nullptr;
  // The engine to fetch shared parts from; nothing where the chosen one should have them.
  std::optional<Endpoint> fetch_from;
  // For the calls below.
  DispatchId dispatch = 0;
};

class PromptPlacement {
 public:
  PromptPlacement(PromptPlacementOptions options, Random random);

  // Chooses among the candidates, and notes the request as sent. `salt` tells prompts apart that
  // share no cache. Nothing when there is no candidate.
  PromptChoice Choose(const Prompt& prompt, std::string_view salt,
                      std::span<PooledBackend* const> candidates, Instant now);

  void FirstEvent(DispatchId dispatch, Instant now) { policy_.FirstToken(dispatch, now); }
  void Ended(DispatchId dispatch, Instant now) { policy_.Finished(dispatch, now); }

  std::vector<SentLoad> TakeSentLoads(Instant now) { return policy_.TakeSentLoads(now); }
  void PeerSent(std::string_view router, std::span<const SentLoad> loads, Instant now) {
    policy_.PeerSent(router, loads, now);
  }
  void SetRouters(std::int64_t routers) { policy_.SetRouters(routers); }

 private:
  PromptPlacementOptions options_;
  PlacementPolicy policy_;
};

// Returns the engine that holds the prompt's shared parts by agreement; null without candidates.
PooledBackend* HomeOf(const Prompt& prompt, std::string_view salt,
                      std::span<PooledBackend* const> candidates);

}  // namespace kumquat
