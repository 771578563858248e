// Keeps this router's picture of routers and backend servers up to date.
//
// A backend server announces itself to any router. What lasts of an announcement (who is there, in
// which state) is flooded by gossip when it changes; its load and that it was heard of go to the
// neighbours and to the backend server's two keepers, who probe it when it has gone silent.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "coordination/membership/gossip.h"
#include "coordination/membership/member_table.h"
#include "protocol/announcement.h"
#include "transport/backend_client.h"
#include "utils/hooks.h"

namespace kumquat {

class PeerNetwork;
struct RouterSettings;

class MembershipService {
 public:
  // Tells of a load report of an engine, which was true at the given moment.
  using OnLoad = std::function<void(const Announcement& engine, Instant measured_at)>;

  MembershipService(const RouterSettings& settings, PeerNetwork* network, BackendClient* client,
                    Clock clock, Random random);

  // Takes an announcement that a backend server sent to this router.
  void Announce(const Announcement& announcement);

  // Notes how a new connection to a backend server went, as seen by a request.
  void ConnectionFailed(const std::string& id, std::int64_t incarnation, bool by_silence);
  void ConnectionSucceeded(const std::string& id, std::int64_t incarnation);

  // Opens a new connection to the backend server to find out whether it is there.
  void ProbeBackend(const std::string& id);

  // Whether this incarnation is known to have ended: another one came, or a new connection was
  // refused or broken. Silence proves nothing.
  bool IsProvenDead(const std::string& id, std::int64_t incarnation) const;

  // Tells the others that this router takes no new work.
  void Leave();

  void OnLoadReported(OnLoad hook) { on_load_ = std::move(hook); }

  // Sets who is told that a backend server was found to be down, by whichever router.
  void OnBackendDown(std::function<void(const std::string& id, std::int64_t incarnation)> hook) {
    on_backend_down_ = std::move(hook);
  }

  // Whether this router is one of the backend server's two keepers.
  bool IsKeeperOf(const std::string& backend_id) const;

  // Whether this router is the first of the two, who follows the backend server's cache events.
  bool IsFirstKeeperOf(const std::string& backend_id) const;

  // Returns the first keeper; empty when no router is live.
  std::string FirstKeeperOf(const std::string& backend_id) const;

  const MemberTable& table() const { return table_; }

  // Returns the live routers, this one included.
  std::vector<std::string> live_routers() const;

  // Does what is due; called every kTickInterval.
  void Tick();

  static constexpr Duration kTickInterval = std::chrono::milliseconds(250);

 private:
  void AnnounceSelf();
  void ReceiveGossip(const std::string& from, const QJsonObject& body);
  void ProbeSilentBackends();
  void Probe(const MemberRecord& record);
  void SendLoads();
  void ReceiveLoads(const QJsonObject& body);
  void CheckRouters();
  std::vector<std::string> KeepersOf(const std::string& backend_id) const;

  const RouterSettings& settings_;
  PeerNetwork* network_;
  BackendClient* client_;
  Clock clock_;
  Random random_;
  MemberTable table_;
  Gossip gossip_;
  MemberRecord self_;
  OnLoad on_load_;
  std::function<void(const std::string&, std::int64_t)> on_backend_down_;
  // Probes under way, by backend server.
  std::map<std::string, std::unique_ptr<BackendCall>> probes_;
  // Backend servers whose load came in since the last digest was sent.
  std::set<std::string> fresh_loads_;
  std::int64_t ticks_ = 0;
};

}  // namespace kumquat
