// Estimates each engine's load from its last report, which lags, from this router's own dispatches
// and from the loads that other routers sent.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "coordination/placement/placement.h"

namespace kumquat::Internal {

// The estimated current load of an engine.
struct LoadEstimate {
  // Prompt tokens that wait for prefill: of replies, and of all request classes.
  double reply_tokens = 0;
  double tokens = 0;
  // Requests that run or wait, and the memory that they hold or will hold, in tokens.
  double requests = 0;
  double held_tokens = 0;
};

// Estimates the load of each engine from its last report, this router's own dispatches, and the
// loads that other routers sent.
class PlacementTracker {
 public:
  void SetRouters(std::int64_t routers) { routers_ = routers; }

  LoadEstimate Estimate(std::string_view backend_id, std::int64_t incarnation, Instant now) const;

  // Returns the average time from the first token of an answer to its end.
  Duration mean_decode() const { return mean_decode_; }

  DispatchId Dispatched(const Candidate& candidate, const PlacementRequest& request,
                        const PlacementChoice& choice, Instant now);
  void FirstToken(DispatchId dispatch, Instant now);
  void Ended(DispatchId dispatch, Instant now);
  void Reported(std::string_view backend_id, std::int64_t incarnation, const BackendLoad& load,
                Instant measured_at);
  void RemoveEngine(std::string_view backend_id);

  std::vector<SentLoad> TakeSentLoads(Instant now);
  void PeersSent(std::string_view group, std::int64_t routers, std::span<const SentLoad> loads,
                 Instant now);

 private:
  // One of this router's own dispatches, kept until a report was measured after its end.
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
    // The part of the last report that this router's own dispatches don't explain.
    double others_tokens = 0;
    double others_requests = 0;
    // Running averages of the two values above over the reports.
    double mean_others_tokens = 0;
    double mean_others_requests = 0;
    std::vector<Dispatch> dispatches;
    // The load that was last sent to peers, and when.
    SentLoad last_sent_load;
    Instant last_sent_at{};
  };

  struct StringHash {
    using is_transparent = void;  // NOLINT(readability-identifier-naming): named by the standard.
    std::size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>{}(text);
    }
  };

  template <typename Value>
  using ByName = std::unordered_map<std::string, Value, StringHash, std::equal_to<>>;

  // A load that another router sent for an engine.
  struct PeerLoad {
    SentLoad load;
    Instant received_at{};
  };

  // Other routers, one or a group, with the loads that they last sent.
  struct Peer {
    std::int64_t routers = 1;
    Instant received_at{};
    ByName<PeerLoad> loads;

    bool IsActive(Instant now) const;
  };

  // Returns the load that this router has on the engine now.
  static SentLoad LoadOf(const Engine& engine, Instant now);
  LoadEstimate LoadFromPeers(std::string_view backend_id, std::int64_t incarnation,
                             Instant now) const;
  double UnknownRouterShare(Instant now) const;
  Engine* EngineOf(std::string_view backend_id, std::int64_t incarnation);
  Dispatch* Find(DispatchId dispatch);

  ByName<Engine> engines_;
  ByName<Peer> peers_;
  // The engine of each dispatch that has not ended.
  std::unordered_map<DispatchId, std::string> engine_of_dispatch_;
  DispatchId last_dispatch_ = 0;
  std::int64_t routers_ = 1;
  Duration mean_decode_ = std::chrono::seconds(2);
  // Running average of the share of replies among the dispatches.
  double reply_share_ = 1;
};

}  // namespace kumquat::Internal
