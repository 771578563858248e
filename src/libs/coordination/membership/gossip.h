// Gossip between processes (routers and control replicas) about members: changes are flooded over a
// sparse overlay network, and neighbours compare digests of their tables to recover from lost
// messages.
#pragma once

#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/membership/member_table.h"
#include "utils/hooks.h"

namespace kumquat {

// A message between two processes.
struct GossipMessage {
  // Records that the receiver merges.
  std::vector<MemberRecord> records;
  // Digest of the sender's table; 0 if the message carries none or the table is empty, and the
  // receiver then compares nothing.
  std::uint64_t digest = 0;
  // Whether the receiver should reply with its whole table. Processes of older versions ask so.
  bool wants_all = false;
  // Digests of the parts of the sender's table; empty if the message carries none. The receiver
  // replies with what it has in the parts that differ, and asks for the sender's.
  std::vector<std::uint64_t> buckets = {};
  // Parts of the receiver's table that the sender asks for.
  std::vector<std::size_t> wanted_buckets = {};

  bool operator==(const GossipMessage&) const = default;
};

QJsonObject ToJson(const GossipMessage& message);
// Returns nullopt if the message is malformed. A malformed record is left out, so that it doesn't
// keep the receiver from following all other members. Both set `reason`.
std::optional<GossipMessage> ParseGossipMessage(const QJsonObject& json, std::string* reason);
// Parses the message from JSON text.
std::optional<GossipMessage> ParseGossipMessage(std::string_view text, std::string* reason);

// Returns the routers that `self` keeps links to: all others if there are at most `max_neighbours`,
// else those at distance 1, 2, 4, 8, ... on a ring of hashed names, so that a flood takes few hops.
std::vector<std::string> GossipNeighbours(std::string_view self,
                                          std::span<const std::string> routers,
                                          std::size_t max_neighbours);

// Floods changes and repairs differences between tables. Does no I/O itself: messages are sent
// through the `send` hook. `table` must outlive the object.
class Gossip {
 public:
  using Send =
      std::function<void(std::span<const std::string> routers, const GossipMessage& message)>;

  Gossip(MemberTable* table, Send send, Random random);

  // Sets a hook that is called for each member with a change that others need to know, after the
  // change was forwarded.
  void OnChanged(std::function<void(const MemberRecord& record)> hook) {
    on_changed_ = std::move(hook);
  }

  // Sets the processes that this one has links to.
  void SetNeighbours(std::vector<std::string> neighbours) { neighbours_ = std::move(neighbours); }

  // Merges a record that came from a backend server or from this process itself. Returns true if
  // it changed something that others need to know and was therefore forwarded.
  bool Learn(const MemberRecord& record, Instant now);

  // Merges a message from a neighbour, forwards the changes and replies if needed.
  void Receive(const std::string& from, const GossipMessage& message, Instant now);

  // Sends the digest of the table to a random neighbour. Must be called at a fixed interval.
  void Tick();

  // Compares the parts of the tables with a neighbour's and exchanges those that differ; called
  // after a link came up or when digests differ.
  void SyncWith(const std::string& router);

  // Returns how many records have been sent so far, counted once per receiver.
  std::int64_t records_sent() const { return records_sent_; }

 private:
  void Flood(std::span<const MemberRecord> records, const std::string& except);
  void SendTo(const std::string& router, const GossipMessage& message);
  void SendTable(const std::string& router);
  // Sends what the table has in these parts, and asks for the router's if `wants_them`.
  void SendBuckets(const std::string& router, std::span<const std::size_t> buckets,
                   bool wants_them);
  std::vector<std::size_t> DifferingBuckets(std::span<const std::uint64_t> digests) const;

  std::string self_;
  MemberTable* table_;
  Send send_;
  Random random_;
  std::function<void(const MemberRecord& record)> on_changed_;
  std::vector<std::string> neighbours_;
  std::int64_t records_sent_ = 0;
};

}  // namespace kumquat
