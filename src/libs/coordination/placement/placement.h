// Chooses the engine for a request: the one with the least expected time to first token, weighed
// against the work that the choice costs other requests. Free of sockets and clocks.
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

// An engine that can run the request, with what is believed of it for this request.
struct Candidate {
  std::string_view backend_id;
  std::int64_t incarnation = 0;
  std::string_view failure_domain;
  // A leaving engine is never chosen.
  BackendState state = BackendState::kServing;
  std::int64_t concurrent_requests = 1;
  // Tokens that runs and cached prefixes share; 0 where it isn't known.
  std::int64_t memory_tokens = 0;
  // Milliseconds of prefill for a thousand prompt tokens.
  double prefill_ms_per_1k_tokens = 0;
  // Leading prompt tokens that the engine is believed to hold, or to have been sent already.
  std::int64_t cached_tokens = 0;
  // Leading prompt tokens that the engine could import from the store of kept cache.
  std::int64_t importable_tokens = 0;
  double import_ms_per_1k_tokens = 0;
  // What the choice costs besides its time to first token.
  Duration penalty{0};
};

// What placement needs to know of a request.
struct PlacementRequest {
  std::int64_t prompt_tokens = 0;
  // Tokens of memory that the run holds for itself until it ends.
  std::int64_t held_tokens = 0;
  RequestClass request_class = RequestClass::kReply;
  // Low bits of the identity of the prompt's first piece, or of its organisation when it has none:
  // routers agree by it on where a prefix that nobody holds goes.
  std::uint64_t prefix_root = 0;
};

// The outcome of a choice.
struct PlacementChoice {
  // Into the candidates.
  std::size_t index = 0;
  Duration expected_first_token{};
  // Prompt tokens that the engine will have to compute, after the import if there is one.
  std::int64_t missing_tokens = 0;
  // Leading prompt tokens to import from the store of kept cache, as far as the engine turns out
  // not to hold them; 0 for no import.
  std::int64_t import_tokens = 0;
};

struct PlacementOptions {
  // Routers that share the engines, this one included: its own dispatches are a sample of theirs.
  std::int64_t routers = 1;
  // Weight of a missing token's cost to other requests, in units of its own prefill time: the
  // prefill delays those that come after, and what it stores evicts what they would have hit.
  double reply_recompute_weight = 0.7;
  double draft_recompute_weight = 0.4;
  // What the last token of memory costs besides waiting for it: runs that hold it evict cached
  // prefixes. Grows with the square of the part that is held.
  Duration memory_pressure = std::chrono::milliseconds(60);
  // Choices within this much of the best one are equal, and are told apart at random.
  Duration tie = std::chrono::milliseconds(2);
};

// What one router has sent to an engine. Routers tell each other, since engines' own reports lag.
struct SentLoad {
  std::string backend_id;
  std::int64_t incarnation = 0;
  // Prompt tokens to compute of what waits for its first token, of replies and of all classes.
  std::int64_t reply_tokens = 0;
  std::int64_t tokens = 0;
  // Tokens of memory of what waits or runs.
  std::int64_t held_tokens = 0;

  bool operator==(const SentLoad&) const = default;
};

// One dispatch under way.
using DispatchId = std::uint64_t;

// Places the requests of one router. Keeps, for each engine, its last reported load and this
// router's own dispatches, so that the lagging report is corrected by what happened since.
class PlacementPolicy {
 public:
  PlacementPolicy(const PlacementOptions& options, Random random);
  PlacementPolicy(PlacementPolicy&&) noexcept;
  ~PlacementPolicy();

  // Returns the engine to use; nothing when no candidate is serving.
  std::optional<PlacementChoice> Choose(std::span<const Candidate> candidates,
                                        const PlacementRequest& request, Instant now);

  // The request went out to this candidate. Returns the handle for the calls below.
  DispatchId Dispatched(const Candidate& candidate, const PlacementRequest& request,
                        const PlacementChoice& choice, Instant now);

  // The first token came back.
  void FirstToken(DispatchId dispatch, Instant now);

  // The answer is whole.
  void Finished(DispatchId dispatch, Instant now);

  // The attempt failed or was cancelled.
  void Failed(DispatchId dispatch, Instant now);

  // A load report came in that was true at `measured_at`, by this router's clock. Older reports
  // than the last one, and those of older incarnations, are ignored.
  void Reported(std::string_view backend_id, std::int64_t incarnation, const BackendLoad& load,
                Instant measured_at);

  // Returns what to tell the other routers now: the engines whose load from this router changed
  // since the last call, and from time to time those where it waits long. Tell even if it is empty:
  // a router that is not heard from for 1.5 s is guessed again.
  std::vector<SentLoad> TakeSentLoads(Instant now);

  // Another router told what it sent.
  void PeerSent(std::string_view router, std::span<const SentLoad> loads, Instant now);

  // The engine is gone for good.
  void Forget(std::string_view backend_id);

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
