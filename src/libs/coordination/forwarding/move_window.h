// Tells a router until when engines surely get no order to load, so that a run may be stopped at
// one of them to go on at another.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "utils/hooks.h"

namespace kumquat {

// The leading control replica tells these moments by its own clock. Its clock is bounded by the
// answers to this router's greetings: the replica answered after the greeting was sent, so that
// news which come late, or a router that stood still, make the window shorter and never longer.
class MoveWindow {
 public:
  // A replica, whose clock showed `answered_at`, answered the greeting that was sent at
  // `greeted_at` by this router's clock.
  void OnAnswered(const std::string& replica, Instant greeted_at, Instant answered_at);

  // The link to a replica broke; its clock may start anew.
  void OnLost(const std::string& replica);

  // The leading replica told which engines take moved runs best, and until when, by its clock, the
  // engines that it doesn't name as loading get no order.
  void OnEngines(const std::string& replica, Instant unordered_until,
                 std::vector<std::string> targets);

  // Returns a moment of this router's clock at which that of the replica hasn't passed
  // `replica_time` yet; 0, which has always passed, when that isn't known.
  Instant ToOwnTime(const std::string& replica, Instant replica_time) const;

  // Returns until when the engines that aren't loading get no order; 0 if that isn't known.
  Instant closes_at() const;

  // Returns the engines, by id, that moved runs are sent to.
  const std::vector<std::string>& targets() const { return targets_; }

 private:
  struct Answer {
    Instant greeted_at{0};
    Instant answered_at{0};
  };

  std::map<std::string, Answer> answers_;
  std::string leader_;
  Instant unordered_until_{0};
  std::vector<std::string> targets_;
};

}  // namespace kumquat
