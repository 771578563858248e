// How routers tell each other of members: changes are flooded over a sparse overlay, and
// neighbours compare digests of their tables so that a lost message is made good.
#pragma once

#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/membership/member_table.h"
#include "utils/hooks.h"

namespace kumquat {

// What travels between two routers.
struct GossipMessage {
  // Records that the receiver merges.
  std::vector<MemberRecord> records;
  // Digest of the sender's table; 0 when the message carries none.
  std::uint64_t digest = 0;
  // Whether the receiver is asked for its whole table.
  bool wants_all = false;

  bool operator==(const GossipMessage&) const = default;
};

QJsonObject ToJson(const GossipMessage& message);
std::optional<GossipMessage> ParseGossipMessage(const QJsonObject& json, std::string* reason);
// The same for a message in its text form.
std::optional<GossipMessage> ParseGossipMessage(std::string_view text, std::string* reason);

// Returns the routers that `self` keeps links to: all others up to `max_neighbours`, else those at
// distance 1, 2, 4, 8, ... on a ring of hashed names, so that a flood takes few hops.
std::vector<std::string> GossipNeighbours(std::string_view self,
                                          std::span<const std::string> routers,
                                          std::size_t max_neighbours);

// Floods changes and repairs differences. Free of sockets: messages go out by the hook.
class Gossip {
 public:
  using Send =
      std::function<void(std::span<const std::string> routers, const GossipMessage& message)>;

  Gossip(MemberTable* table, Send send, Random random);

  // Sets a hook that is run for each member about which something changed that others need to know,
  // after it was passed on.
  void OnChanged(std::function<void(const MemberRecord& record)> hook) {
    on_changed_ = std::move(hook);
  }

  // Sets the routers that there are links to.
  void SetNeighbours(std::vector<std::string> neighbours) { neighbours_ = std::move(neighbours); }

  // Takes a record that came from a backend server or from this router itself. True when it
  // changed what others need to know, and has been passed on.
  bool Learn(const MemberRecord& record, Instant now);

  // Takes a message of a neighbour.
  void Receive(const std::string& from, const GossipMessage& message, Instant now);

  // Sends the table's digest to one neighbour; called at a fixed interval.
  void Tick();

  // Asks a neighbour for its whole table, after a link came up.
  void Greet(const std::string& router);

  // Returns the records sent so far.
  std::int64_t records_sent() const { return records_sent_; }

 private:
  void Flood(std::span<const MemberRecord> records, const std::string& except);
  void SendTo(const std::string& router, const GossipMessage& message);
  void SendAll(const std::string& router);

  std::string self_;
  MemberTable* table_;
  Send send_;
  Random random_;
  std::function<void(const MemberRecord& record)> on_changed_;
  std::vector<std::string> neighbours_;
  std::int64_t records_sent_ = 0;
};

}  // namespace kumquat
