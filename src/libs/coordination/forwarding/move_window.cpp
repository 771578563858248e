#include "coordination/forwarding/move_window.h"

#include <utility>

namespace kumquat {

void MoveWindow::OnAnswered(const std::string& replica, Instant greeted_at, Instant answered_at) {
  if (greeted_at != Instant(0)) answers_[replica] = {greeted_at, answered_at};
}

void MoveWindow::OnLost(const std::string& replica) { answers_.erase(replica); }

void MoveWindow::OnEngines(const std::string& replica, Instant unordered_until,
                           std::vector<std::string> targets) {
  leader_ = replica;
  unordered_until_ = unordered_until;
  targets_ = std::move(targets);
}

Instant MoveWindow::ToOwnTime(const std::string& replica, Instant replica_time) const {
  const auto answer = answers_.find(replica);
  if (answer == answers_.end() || replica_time == Instant(0)) return Instant(0);
  return answer->second.greeted_at + (replica_time - answer->second.answered_at);
}

Instant MoveWindow::closes_at() const { return ToOwnTime(leader_, unordered_until_); }

}  // namespace kumquat
