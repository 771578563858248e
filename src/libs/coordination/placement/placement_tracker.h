// What one router knows of each engine's load: the last report, which lags, and its own dispatches.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "coordination/placement/placement.h"

namespace kumquat::Internal {

// An engine's load now, as estimated.
struct LoadEstimate {
  // Prompt tokens that wait for prefill, of replies and of all classes.
  double reply_tokens = 0;
  double tokens = 0;
  // Requests that run or wait, and the tokens of memory that they hold or will hold.
  double requests = 0;
  double held_tokens = 0;
};

// Corrects reported load by what this router sent and heard since.
class PlacementTracker {
 public:
  void SetRouters(std::int64_t routers) { routers_ = routers; }

  LoadEstimate Estimate(std::string_view backend_id, std::int64_t incarnation, Instant now) const;

  // Returns how long an answer takes from its first token to its end, on average.
  Duration mean_decode() const { return mean_decode_; }

  DispatchId Dispatched(const Candidate& candidate, const PlacementRequest& request,
                        const PlacementChoice& choice, Instant now);
  void FirstToken(DispatchId dispatch, Instant now);
  void Ended(DispatchId dispatch, Instant now);
  void Reported(std::string_view backend_id, std::int64_t incarnation, const BackendLoad& load,
                Instant measured_at);
  void Forget(std::string_view backend_id);

  std::vector<SentLoad> TakeSentLoads(Instant now);
  void PeerSent(std::string_view router, std::span<const SentLoad> loads, Instant now);

 private:
  // One of this router's own dispatches, kept until a report is newer than its end.
  struct Dispatch {
    DispatchId id = 0;
    double tokens = 0;
    double held_tokens = 0;
    bool is_reply = true;
    Instant sent_at{};
    std::optional<Instant> first_token_at;
    std::optional<Instant> ended_at;

    bool WaitsAt(Instant moment) const;
    bool RunsAt(Instant moment) const;
  };

  struct Engine {
    std::int64_t incarnation = 0;
    std::optional<Instant> measured_at;
    // What in the report this router did not send.
    double others_tokens = 0;
    double others_requests = 0;
    // Averages over reports of what other routers' requests made of them.
    double mean_others_tokens = 0;
    double mean_others_requests = 0;
    std::vector<Dispatch> dispatches;
    // What peers were told last, and when.
    SentLoad told;
    Instant told_at{};
  };

  struct StringHash {
    using is_transparent = void;  // NOLINT(readability-identifier-naming): named by the standard.
    std::size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>{}(text);
    }
  };

  template <typename Value>
  using ByName = std::unordered_map<std::string, Value, StringHash, std::equal_to<>>;

  // What another router told of an engine.
  struct ToldLoad {
    SentLoad load;
    Instant heard_at{};
  };

  // Another router, with what it told of its dispatches that wait for a first token.
  struct Peer {
    Instant heard_at{};
    ByName<ToldLoad> loads;

    bool IsHeard(Instant now) const;
  };

  // Returns what this router has at the engine now.
  static SentLoad LoadOf(const Engine& engine, Instant now);
  LoadEstimate ToldByPeers(std::string_view backend_id, std::int64_t incarnation,
                           Instant now) const;
  double UnheardShare(Instant now) const;
  Engine* EngineOf(std::string_view backend_id, std::int64_t incarnation);
  Dispatch* Find(DispatchId dispatch);

  ByName<Engine> engines_;
  ByName<Peer> peers_;
  // Which engine each dispatch under way went to.
  std::unordered_map<DispatchId, std::string> engine_of_dispatch_;
  DispatchId last_dispatch_ = 0;
  std::int64_t routers_ = 1;
  Duration mean_decode_ = std::chrono::seconds(2);
  // Share of the tokens sent that belonged to replies.
  double reply_share_ = 1;
};

}  // namespace kumquat::Internal
