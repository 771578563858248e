// The strikes that routers share, so that a request which kills its backend servers is refused by
// each of them.
#pragma once

#include <QJsonObject>
#include <functional>
#include <string>

#include "coordination/admission/strike_table.h"
#include "utils/hooks.h"

namespace kumquat {

class PeerNetwork;

class StrikeExchange {
 public:
  StrikeExchange(PeerNetwork* network, StrikeTable::OwnsBackend owns_backend, Clock clock);

  StrikeTable& table() { return table_; }

  RequestStanding StandingOf(const std::string& digest) const {
    return table_.StandingOf(digest, clock_());
  }
  bool MayPlace(const std::string& digest, const std::string& backend_id) const {
    return table_.MayPlace(digest, backend_id, clock_());
  }

  // Each notes an event and tells the other routers when it changed a standing.
  void AddStrike(const std::string& digest, const Strike& strike);
  void OnSuccess(const std::string& digest);

  void OnStarted(const std::string& digest, const std::string& backend_id);
  void OnStopped(const std::string& digest, const std::string& backend_id);

  // Tells the other routers what changed of late; called at a fixed interval, so that a lost
  // message is made good.
  void Tick();

 private:
  void Receive(const QJsonObject& body);
  void SendChangedSince(Instant moment);

  PeerNetwork* network_;
  Clock clock_;
  StrikeTable table_;
};

}  // namespace kumquat
