// The crash watch of a router that shares what it learns with its peers instead of through control.
#pragma once

#include <optional>
#include <string>

#include "crash_watch.h"
#include "protocol/control_news.h"
#include "utils/histogram.h"
#include "utils/hooks.h"

namespace kumquat {

class MembershipService;
class PeerNetwork;

class CrashExchange {
 public:
  // The raw pointers aren't owned.
  CrashExchange(std::string self, PeerNetwork* network, MembershipService* membership,
                Metrics* metrics, Clock clock, Random random);

  CrashWatch& watch() { return watch_; }

  // A backend server was found to be down, by whichever router.
  void OnBackendDown(const BackendChoice& backend);

  // Reports changes, and a summary each kSummaryInterval; call it at short intervals.
  void Tick();

 private:
  CrashWatchHooks Hooks();
  void SendToAll(const ControlNews& news);
  // Takes a message of another router; nullopt if it can't be read.
  void OnNews(const std::string& from, const std::optional<ControlNews>& news);

  PeerNetwork* network_;
  MembershipService* membership_;
  Clock clock_;
  Random random_;
  CrashWatch watch_;
  Instant summary_sent_at_{0};
};

}  // namespace kumquat
