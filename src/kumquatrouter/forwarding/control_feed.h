// What this router learns from the control replicas.
#pragma once

#include <QTimer>
#include <functional>
#include <map>
#include <memory>
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
  // Replicas through which the others are found.
  std::vector<Endpoint> seeds;
};

struct ControlFeedHooks {
  Clock clock;
  Random random;
  // A document has a higher version than any before.
  std::function<void(const Document& document)> on_document;
  std::function<void(const MemberRecord& record)> on_member;
  // The number of routers, as control sees it.
  std::function<void(std::int64_t routers)> on_routers;
  // What a replica says of stores of kept cache.
  std::function<void(const std::map<std::string, bool>& alive)> on_stores;
  std::function<void(const EngineNews& news)> on_engines;
  // Returns false when all that the source holds is to be asked for.
  std::function<bool(const CacheNews& news)> on_cache;
  std::function<void(const RouterLoad& load)> on_load;
};

// Keeps a link to each control replica and merges what they tell: a replica that knows less than
// another takes nothing back.
class ControlFeed {
 public:
  ControlFeed(ControlFeedOptions options, ControlFeedHooks hooks);

  void Start();

  // Replaces the seeds.
  void SetSeeds(const std::vector<Endpoint>& seeds);

  const MemberTable& members() const { return directory_.table(); }

  // Returns the version held of a document; 0 when there is none.
  std::int64_t VersionOf(const std::string& document) const;

  // Tells the other routers, through one replica, what this one has sent to engines.
  void ReportLoad(const std::vector<EngineLoad>& engines);

  // Returns the number of replicas that this router is linked to now.
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
  FrameLink* LoadRelayLink();
  void DropUnknownReplicas();

  ControlFeedOptions options_;
  ControlFeedHooks hooks_;
  BackendDirectory directory_;
  std::map<std::string, std::int64_t> versions_;
  struct Replica {
    std::unique_ptr<FrameLink> link;
    // When another replica last named it, or it last spoke itself.
    Instant last_seen_at{0};
  };
  std::map<Endpoint, Replica> replicas_;
  QTimer hello_timer_;
};

}  // namespace kumquat
