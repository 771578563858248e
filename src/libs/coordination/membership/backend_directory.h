// A process's table of backend servers, kept consistent across processes by gossip.
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
  // Called when a change to the member affects where requests can be placed.
  std::function<void(const MemberRecord& record)> on_changed;
};

// Owns the member table and its gossip, and marks servers as leaving whose address was taken over.
class BackendDirectory {
 public:
  explicit BackendDirectory(BackendDirectoryHooks hooks);

  // Merges a record made from a backend server's own announcement.
  void Learn(const MemberRecord& record);

  // Marks the backend server as leaving, on its own request. Returns false if it is unknown.
  bool Leave(std::string_view id);

  // Merges a gossip message from another process.
  void Receive(const std::string& from, const GossipMessage& message);

  // Sets the processes that changes are forwarded to.
  void SetNeighbours(std::vector<std::string> neighbours);

  // Requests the whole table of the process and sends it the whole table of this one.
  void SyncWith(const std::string& process) { gossip_.SyncWith(process); }

  // Sends the digest to one neighbour and removes members that have been gone for long. Must be
  // called at a fixed interval.
  void Tick();

  const MemberTable& table() const { return table_; }

 private:
  void OnMemberChanged(const MemberRecord& record);

  BackendDirectoryHooks hooks_;
  MemberTable table_;
  Gossip gossip_;
};

}  // namespace kumquat
