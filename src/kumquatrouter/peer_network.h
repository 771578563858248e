// The links between routers, over which typed messages travel as CBOR.
#pragma once

#include <QJsonObject>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "transport/frame_link.h"
#include "utils/endpoint.h"
#include "utils/hooks.h"

namespace kumquat {

// What a message between routers is about.
enum class PeerMessageType {
  kGossip,
  kLoads,
  kStrikes,
  kCacheEvents,
  kIndexNote,
  kResync,
  kSentLoads,
  kSuspectSlot,
  kLookup,
  kLookupAnswer,
  kSuspects,
};

// Keeps a link to each peer and serves theirs. A message to a peer that can't be reached now is
// lost; whoever sends it must be able to bear that.
class PeerNetwork {
 public:
  using OnMessage = std::function<void(const std::string& from, const QJsonObject& body)>;

  PeerNetwork(std::string self, Random random);

  // Starts to serve the other routers; false when the address can't be had.
  bool Listen(const Endpoint& endpoint);

  // Connects to a peer, unless there is a link to this address already.
  void AddPeer(const NamedEndpoint& peer);

  // Sets who takes messages of this type.
  void SetHandler(PeerMessageType type, OnMessage handler);

  // Sets who is told that a link to a peer came up or went down.
  void OnLinkChanged(std::function<void(const std::string& peer, bool connected)> hook);

  // Sends a message; false when there is no connection to the peer now.
  bool Send(const std::string& peer, PeerMessageType type, const QJsonObject& body);

  // Returns the peers that are connected now.
  std::vector<std::string> connected_peers() const;

  // Returns whether the last attempt to connect to the peer was refused.
  bool was_refused(const std::string& peer) const;

  // Returns the bytes of all links this router opened, both ways.
  std::int64_t bytes_transferred() const;

  const std::string& last_reason() const { return server_->last_reason(); }

 private:
  struct Peer {
    Endpoint endpoint;
    std::unique_ptr<FrameLink> link;
  };

  void Receive(std::string_view payload);

  std::string self_;
  Random random_;
  std::unique_ptr<FrameServer> server_;
  std::map<std::string, Peer> peers_;
  std::map<PeerMessageType, OnMessage> handlers_;
  std::function<void(const std::string&, bool)> on_link_changed_;
};

}  // namespace kumquat
