// Chooses the engine for a request by the expected time to first token and by the cost of the
// choice to other requests. Uses no sockets and reads no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/announcement.h"
#include "protocol/lists.h"
#include "utils/hooks.h"

namespace kumquat {

namespace Internal {
class PlacementTracker;
struct ScoredCandidate;
}  // namespace Internal

// An engine that can run the request, with what the router assumes about it for this request.
struct Candidate {
  std::string_view backend_id;
  std::int64_t incarnation = 0;
  std::string_view failure_domain;
  // A leaving engine is never chosen.
  BackendState state = BackendState::kServing;
  std::int64_t concurrent_requests = 1;
  // Memory for runs and cached prefixes together, in tokens; 0 if unknown.
  std::int64_t memory_tokens = 0;
  // Fixed time until the engine's first token, besides prefill and queue.
  Duration fixed_time{0};
  // Prefill time for a thousand prompt tokens, in milliseconds.
  double prefill_ms_per_1k_tokens = 0;
  // Leading prompt tokens that the engine is assumed to have cached, or that were already sent to
  // it.
  std::int64_t cached_tokens = 0;
  // Leading prompt tokens that the engine could import from the cache store.
  std::int64_t importable_tokens = 0;
  // Import time for a thousand prompt tokens, in milliseconds.
  double import_ms_per_1k_tokens = 0;
  // Additional cost of the choice besides its time to first token.
  Duration penalty{0};
};

// The properties of a request that placement depends on.
struct PlacementRequest {
  std::int64_t prompt_tokens = 0;
  // Memory that the run holds exclusively until it ends, in tokens.
  std::int64_t held_tokens = 0;
  RequestClass request_class = RequestClass::kReply;
  // Low bits of the identity of the prompt's first piece, or of its organisation when the prompt is
  // shorter than a piece. Seeds the hash that breaks ties, so that all routers choose the same
  // engine for a prefix that no engine has cached.
  std::uint64_t prefix_hash_seed = 0;
};

// A chosen engine, with the work that is expected there.
struct PlacementChoice {
  // Index into the candidates.
  std::size_t index = 0;
  Duration expected_first_token{};
  // The part of it that passes before the engine begins with the request.
  Duration queue_time{};
  // Prompt tokens that the engine has to compute, after the import if there is one.
  std::int64_t missing_tokens = 0;
  // Prompt tokens to compute until the first token, with those of requests ahead; 0 if something
  // else is expected to take longer, such as a slot or memory that isn't free.
  double tokens_until_first = 0;
  // The time that the import takes.
  Duration import_time{};
  // Leading prompt tokens to import from the cache store, as far as the engine turns out not to
  // have them cached; 0 for no import.
  std::int64_t import_tokens = 0;
};

struct PlacementOptions {
  // Number of routers that share the engines, this one included. The load of routers that sent none
  // is estimated, in part from this router's own dispatches.
  std::int64_t routers = 1;
  // Cost of a missing token to other requests, relative to its own prefill time: the prefill delays
  // later requests, and the cache entries that it adds evict entries that they would have hit.
  double reply_recompute_weight = 0.7;
  double draft_recompute_weight = 0.4;
  // Most waiting draft tokens that are taken to delay a reply, half of them on average.
  double max_draft_tokens_ahead = 25'000;
  // Cost of an engine whose memory would be fully held by runs, besides waiting for memory: such
  // runs evict cached prefixes. It is scaled by the square of the held share.
  Duration memory_pressure = std::chrono::milliseconds(60);
  // Candidates whose cost is within this margin of the lowest count as equal. One of them is chosen
  // at random, or by hash if none of them has any of the prompt cached.
  Duration tie_margin = std::chrono::milliseconds(2);
};

// The load that one router has put on an engine. Routers exchange these, since the engines' own
// load reports lag.
struct SentLoad {
  std::string backend_id;
  std::int64_t incarnation = 0;
  // Prompt tokens to compute for requests that wait for their first token: of replies, and of all
  // request classes.
  std::int64_t reply_tokens = 0;
  std::int64_t tokens = 0;
  // Memory of the requests that wait or run, in tokens.
  std::int64_t held_tokens = 0;

  bool operator==(const SentLoad&) const = default;
};

// Handle of one request that was sent to an engine.
using DispatchId = std::uint64_t;

// Chooses engines for the requests of one router. For each engine it keeps the last reported load
// and this router's own dispatches, which correct the report for the time since it was measured.
class PlacementPolicy {
 public:
  PlacementPolicy(const PlacementOptions& options, Random random);
  PlacementPolicy(PlacementPolicy&&) noexcept;
  ~PlacementPolicy();

  // Returns the engine to use; nothing if no candidate is serving.
  std::optional<PlacementChoice> Choose(std::span<const Candidate> candidates,
                                        const PlacementRequest& request, Instant now);

  // The request was sent to this candidate. Returns the handle for the calls below.
  DispatchId Dispatched(const Candidate& candidate, const PlacementRequest& request,
                        const PlacementChoice& choice, Instant now);

  // The first token was received.
  void FirstToken(DispatchId dispatch, Instant now);

  // The answer is complete.
  void Finished(DispatchId dispatch, Instant now);

  // The attempt failed or was cancelled.
  void Failed(DispatchId dispatch, Instant now);

  // A load report was received, measured at `measured_at` by this router's clock. Reports that are
  // not newer than the last one, and those of older incarnations, are ignored.
  void Reported(std::string_view backend_id, std::int64_t incarnation, const BackendLoad& load,
                Instant measured_at);

  // Returns the loads to send to the other routers now: those of engines whose load from this
  // router changed considerably or became zero since it was last returned, and again every 500 ms
  // while it isn't zero. Send the result even if it is empty: the load of a router that sent
  // nothing for 1.5 s is estimated instead.
  std::vector<SentLoad> TakeSentLoads(Instant now);

  // Another router sent the result of its TakeSentLoads().
  void PeerSent(std::string_view router, std::span<const SentLoad> loads, Instant now) {
    PeersSent(router, 1, loads, now);
  }

  // The same for a group of `routers` other routers, whose loads are summed.
  void PeersSent(std::string_view group, std::int64_t routers, std::span<const SentLoad> loads,
                 Instant now);

  // Removes an engine that will not come back.
  void RemoveEngine(std::string_view backend_id);

  // Changes how many routers share the engines.
  void SetRouters(std::int64_t routers);

 private:
  void Score(const Candidate& candidate, const PlacementRequest& request, Instant now,
             Internal::ScoredCandidate& scored) const;
  std::size_t BreakTie(std::span<const Candidate> candidates, const PlacementRequest& request,
                       std::span<const Internal::ScoredCandidate> tied) const;

  PlacementOptions options_;
  Random random_;
  std::unique_ptr<Internal::PlacementTracker> tracker_;
};

}  // namespace kumquat
