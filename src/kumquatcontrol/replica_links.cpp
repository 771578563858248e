#include "replica_links.h"

#include <utility>

namespace kumquat {

ReplicaLinks::ReplicaLinks(std::vector<NamedEndpoint> peers, bool names_are_addresses,
                           Random random)
    : peers_(std::move(peers)),
      names_are_addresses_(names_are_addresses),
      random_(std::move(random)) {
  for (const NamedEndpoint& peer : peers_) LinkTo(peer.name);
}

std::optional<Endpoint> ReplicaLinks::EndpointOf(std::string_view name) const {
  for (const NamedEndpoint& peer : peers_) {
    if (peer.name == name) return peer.endpoint;
  }
  return names_are_addresses_ ? ParseEndpoint(name) : std::nullopt;
}

RpcClient* ReplicaLinks::LinkTo(std::string_view name) {
  const auto known = links_.find(name);
  if (known != links_.end()) return known->second.get();
  const auto endpoint = EndpointOf(name);
  if (!endpoint) return nullptr;
  auto& link = links_[std::string(name)];
  // What a peer announces to routers is of no use here.
  link = MakeRpcClient(*endpoint, random_);
  return link.get();
}

void ReplicaLinks::Connect(const std::vector<std::string>& names) {
  for (const std::string& name : names) LinkTo(name);
}

void ReplicaLinks::Send(const LogMessage& message) {
  Send(message.to.name, FrameKind::kCbor, Encode(message));
}

void ReplicaLinks::Send(std::string_view name, FrameKind kind, std::string_view payload) {
  // What can't be sent now is lost; the log and the gossip both make it good later.
  if (RpcClient* link = LinkTo(name)) link->Send(kind, payload);
}

void ReplicaLinks::Call(std::string_view name, std::string_view method, const QJsonObject& params,
                        Duration timeout,
                        std::function<void(const std::optional<QJsonObject>& result)> done) {
  RpcClient* link = LinkTo(name);
  if (!link) return done(std::nullopt);
  link->Call(method, params, timeout,
             [done = std::move(done)](const std::optional<QJsonObject>& result,
                                      RpcFailure /*failure*/) { done(result); });
}

std::vector<std::string> ReplicaLinks::Connected() const {
  std::vector<std::string> names;
  for (const auto& [name, link] : links_) {
    if (link->link().connected()) names.push_back(name);
  }
  return names;
}

std::string ReplicaLinks::AddressOf(std::string_view name) const {
  const auto endpoint = EndpointOf(name);
  return endpoint ? std::string(name) + "@" + endpoint->ToString() : std::string(name);
}

}  // namespace kumquat
