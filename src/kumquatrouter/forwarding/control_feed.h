// Receives configuration, membership, engine, cache and load updates from the control replicas.
#pragma once

#include <QTimer>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/membership/backend_directory.h"
#include "protocol/control_news.h"
#include "protocol/document.h"
#include "transport/frame_link.h"
#include "utils/endpoint.h"
#include "utils/hooks.h"

namespace kumquat {

struct ControlFeedOptions {
  std::string router;
  std::string failure_domain;
  std::int64_t incarnation = 0;
  // Addresses of the replicas that are connected to first; they name the others.
  std::vector<Endpoint> seeds;
};

struct ControlFeedHooks {
  Clock clock;
  Random random;
  // Called with each document whose version is higher than any received before.
  std::function<void(const Document& document)> on_document;
  std::function<void(const MemberRecord& record)> on_member;
  // Called with the number of routers that a replica knows, and with how many replicas there are.
  std::function<void(const std::string& replica, std::int64_t routers, std::size_t replicas)>
      on_routers;
  std::function<void(const std::string& replica)> on_replica_lost;
  // Called with the clock that a replica's answer to a greeting shows, and with that of this router
  // when it sent the greeting.
  std::function<void(const std::string& replica, Instant greeted_at, Instant answered_at)>
      on_answered;
  // Called with the cache stores that a replica knows, and whether each is alive.
  std::function<void(const std::map<std::string, bool>& alive)> on_stores;
  std::function<void(const std::string& replica, const EngineNews& news)> on_engines;
  // Returns false if the update can't be applied and the whole contents of its source have to be
  // requested.
  std::function<bool(const CacheNews& news)> on_cache;
  // Called with what other routers have sent to engines, summed over the `routers` routers that
  // tell one replica their loads.
  std::function<void(const RouterLoad& load, std::int64_t routers)> on_load;
  // Returns the summary that is sent to each replica when a link comes up, and every second.
  std::function<SuspectNews()> suspect_summary;
  // Returns what to answer the replica; nullopt for nothing.
  std::function<std::optional<SuspectNews>(const SuspectNews& news)> on_suspects;
  std::function<void(const QuotaGranted& granted)> on_quota;
  // The same as suspect_summary, and on_suspects without an answer, for trials of suspects.
  std::function<TrialNews()> trial_summary;
  std::function<void(const TrialNews& news)> on_trials;
  // Returns all streams that this router knows the origin of.
  std::function<std::vector<StreamRecord>()> streams;
  std::function<void(const StreamTold& told)> on_stream;
};

// Keeps a connection to each control replica and merges their updates. A replica with older state
// than another doesn't undo newer state.
class ControlFeed {
 public:
  ControlFeed(ControlFeedOptions options, ControlFeedHooks hooks);

  void Start();

  // Replaces the seeds and connects to the new ones. A replica that is no longer a seed is dropped
  // once it is neither named by others nor heard from.
  void SetSeeds(const std::vector<Endpoint>& seeds);

  const MemberTable& members() const { return directory_.table(); }

  // Returns the latest received version of a document; 0 if there is none.
  std::int64_t VersionOf(const std::string& document) const;

  // Reports to the other routers, through one replica, the load that this one has sent to engines.
  // Dropped if no replica is connected.
  void ReportLoad(const std::vector<EngineLoad>& engines);

  // Reports to all connected replicas the keys of parts that requests are placed by.
  void ReportInterest(const std::vector<std::uint64_t>& keys);

  // Reports suspects or their trials to all connected replicas, which pass them on to the other
  // routers.
  void ReportSuspects(const ControlNews& news);

  // Reports streams to three of the connected replicas, the same ones as long as these don't
  // change.
  void ReportStreams(const std::vector<StreamRecord>& streams);

  // Asks all connected replicas where a stream began; returns how many.
  std::size_t AskStream(std::int64_t number, const std::string& key);

  // Asks the leader for units of quotas: through the replica that answered last, or all replicas if
  // that one has been silent.
  void AskQuota(const QuotaAsked& asked);

  // Returns the number of replicas with an established connection.
  std::int64_t connected_replicas() const;

 private:
  void LinkTo(const Endpoint& replica);
  void SendGossip(std::span<const std::string> to, const GossipMessage& message);
  void SendHello(FrameLink& link) const;
  void OnFrame(const Endpoint& replica, FrameKind kind, std::string_view payload);
  void Receive(const Endpoint& replica, const RouterHello& news);
  void Receive(const Endpoint& replica, const DocumentNews& news);
  void Receive(const Endpoint& replica, const MemberNews& news);
  void Receive(const Endpoint& replica, const FleetNews& news);
  void Receive(const Endpoint& replica, const EngineNews& news);
  void Receive(const Endpoint& replica, const CacheNews& news);
  void Receive(const Endpoint& replica, const CacheWanted& news);
  void Receive(const Endpoint& replica, const LoadNews& news);
  void Receive(const Endpoint& replica, const SuspectNews& news);
  void Receive(const Endpoint& replica, const HintNews& news);
  void Receive(const Endpoint& replica, const PartsWanted& news);
  void Receive(const Endpoint& replica, const QuotaAsked& news);
  void Receive(const Endpoint& replica, const QuotaGranted& news);
  void Receive(const Endpoint& replica, const TrialNews& news);
  void Receive(const Endpoint& replica, const StreamNews& news);
  void Receive(const Endpoint& replica, const StreamAsked& news);
  void Receive(const Endpoint& replica, const StreamTold& news);
  void SendToAll(const ControlNews& news);
  std::vector<std::string> ConnectedReplicas() const;
  FrameLink* LoadRelayLink();
  void DropUnknownReplicas();

  ControlFeedOptions options_;
  ControlFeedHooks hooks_;
  BackendDirectory directory_;
  std::map<std::string, std::int64_t> versions_;
  struct Replica {
    std::unique_ptr<FrameLink> link;
    // When it was last named by a replica or the seeds, or last sent a message itself.
    Instant last_seen_at{0};
    // What the replica's next sums of loads contain of this router's own, by engine; nullopt if
    // this router's loads go to another replica.
    std::optional<std::map<std::string, EngineLoad>> own_loads;
  };
  std::map<Endpoint, Replica> replicas_;
  // The replica that answered about quotas last, and when.
  std::optional<Endpoint> quota_leader_;
  // When the first message since the last answer was sent.
  std::optional<Instant> quota_unanswered_since_;
  QTimer hello_timer_;
};

}  // namespace kumquat
