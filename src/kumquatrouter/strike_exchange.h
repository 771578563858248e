// The strikes that routers share, so that a request which kills its backend servers is refused by
// each of them.
#pragma once

#include <QJsonObject>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>

#include "coordination/admission/strike_table.h"
#include "coordination/admission/suspect_slots.h"
#include "utils/hooks.h"

namespace kumquat {

class PeerNetwork;

class StrikeExchange {
 public:
  // Returns the router that lets suspects onto a backend server, one at a time.
  using OwnerOf = std::function<std::string(std::string_view backend_id)>;

  // `longest_run` bounds how long a suspect may hold a backend server.
  StrikeExchange(std::string self, PeerNetwork* network, OwnerOf owner_of, Duration longest_run,
                 Clock clock);

  RequestStanding StandingOf(const std::string& digest) const {
    return table_.StandingOf(digest, clock_());
  }

  // Whether the request may go to the backend server now, one of those that are up and could run
  // it. A suspect needs the slot for suspects.
  bool MayPlace(const std::string& digest, const std::string& backend_id,
                std::span<const std::string> backend_ids) const;

  // Asks for the slots of those of these backend servers that a suspect may be tried on. Returns
  // false if there are none.
  bool RequestSlots(const std::string& digest, std::span<const std::string> backend_ids);

  // The request has ended, in whichever way.
  void Abandon(const std::string& digest) { slots_.Abandon(digest); }

  // Sets the live routers and the run of each.
  void SetRouters(const std::map<std::string, std::int64_t>& runs) { slots_.SetRouters(runs); }

  // Each notes an event and tells the other routers when it changed a standing. `request_id` is for
  // the log.
  void AddStrike(const std::string& digest, std::string_view request_id, const Strike& strike);
  void OnSuccess(const std::string& digest);

  void OnStarted(const std::string& digest, const std::string& backend_id);
  void OnStopped(const std::string& digest, const std::string& backend_id);

  // Tells the other routers what changed of late; called at a fixed interval, so that a lost
  // message is made good.
  void Tick();

 private:
  void Receive(const QJsonObject& body);
  SuspectSlotsHooks SlotHooks(OwnerOf owner_of);
  void SendChangedSince(Instant moment);

  PeerNetwork* network_;
  Clock clock_;
  StrikeTable table_;
  SuspectSlots slots_;
};

}  // namespace kumquat
