// The backend servers that a process knows of, kept alike on all processes by gossip.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/membership/gossip.h"
#include "coordination/membership/member_table.h"
#include "utils/hooks.h"

namespace kumquat {

struct BackendDirectoryHooks {
  Clock clock;
  Random random;
  // Sends a message to another process that has a directory.
  Gossip::Send send;
  // Something that matters to the placing of requests has changed about the member.
  std::function<void(const MemberRecord& record)> on_changed;
};

class BackendDirectory {
 public:
  explicit BackendDirectory(BackendDirectoryHooks hooks);

  // Takes in what a backend server said of itself.
  void Learn(const MemberRecord& record);

  // The backend server said that it goes. False when it isn't known.
  bool Leave(std::string_view id);

  void Receive(const std::string& from, const GossipMessage& message);

  // Sets the processes that changes are passed on to.
  void SetNeighbours(std::vector<std::string> neighbours);

  // Asks the process for all that it knows, and tells it all that is known here.
  void Exchange(const std::string& process) { gossip_.Greet(process); }

  // Compares digests with one neighbour and forgets what is long gone; called at a fixed interval.
  void Tick();

  const MemberTable& table() const { return table_; }

 private:
  void NoteChanged(const MemberRecord& record);

  BackendDirectoryHooks hooks_;
  MemberTable table_;
  Gossip gossip_;
};

}  // namespace kumquat
