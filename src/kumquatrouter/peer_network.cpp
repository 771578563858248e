#include "peer_network.h"

#include <QCborMap>
#include <QCborValue>

#include "protocol/json_fields.h"
#include "utils/log.h"

namespace kumquat {
namespace {

constexpr qint64 kTypeKey = 0;
constexpr qint64 kFromKey = 1;
constexpr qint64 kBodyKey = 2;

}  // namespace

PeerNetwork::PeerNetwork(std::string self, Random random)
    : self_(std::move(self)), random_(std::move(random)) {
  server_ = MakeFrameServer([this](const std::shared_ptr<FrameConnection>& /*connection*/,
                                   FrameKind kind, std::string_view payload) {
    if (kind == FrameKind::kCbor) Receive(payload);
  });
}

bool PeerNetwork::Listen(const Endpoint& endpoint) { return server_->Listen(endpoint); }

void PeerNetwork::AddPeer(const NamedEndpoint& peer) {
  if (peer.name == self_) return;
  const auto known = peers_.find(peer.name);
  if (known != peers_.end() && known->second.endpoint == peer.endpoint) return;
  Peer& entry = peers_[peer.name];
  entry.endpoint = peer.endpoint;
  entry.link = MakeFrameLink(
      peer.endpoint,
      [this](FrameKind kind, std::string_view payload) {
        if (kind == FrameKind::kCbor) Receive(payload);
      },
      random_);
  entry.link->OnConnectedChanged([this, name = peer.name](bool connected) {
    if (on_link_changed_) on_link_changed_(name, connected);
  });
}

void PeerNetwork::SetHandler(PeerMessageType type, OnMessage handler) {
  handlers_[type] = std::move(handler);
}

void PeerNetwork::OnLinkChanged(std::function<void(const std::string&, bool)> hook) {
  on_link_changed_ = std::move(hook);
}

bool PeerNetwork::Send(const std::string& peer, PeerMessageType type, const QJsonObject& body) {
  const auto entry = peers_.find(peer);
  if (entry == peers_.end()) return false;
  QCborMap message;
  message[kTypeKey] = static_cast<qint64>(type);
  message[kFromKey] = ToQString(self_);
  message[kBodyKey] = QCborValue::fromJsonValue(body);
  const QByteArray bytes = QCborValue(message).toCbor();
  return entry->second.link->Send(
      FrameKind::kCbor,
      std::string_view(bytes.constData(), static_cast<std::size_t>(bytes.size())));
}

std::vector<std::string> PeerNetwork::connected_peers() const {
  std::vector<std::string> names;
  for (const auto& [name, peer] : peers_) {
    if (peer.link->connected()) names.push_back(name);
  }
  return names;
}

bool PeerNetwork::was_refused(const std::string& peer) const {
  const auto entry = peers_.find(peer);
  return entry != peers_.end() && entry->second.link->last_outcome() == ConnectOutcome::kRefused;
}

std::int64_t PeerNetwork::bytes_transferred() const {
  std::int64_t bytes = 0;
  for (const auto& [name, peer] : peers_) bytes += peer.link->bytes_transferred();
  return bytes;
}

void PeerNetwork::Receive(std::string_view payload) {
  const auto message = QCborValue::fromCbor(
      QByteArray::fromRawData(payload.data(), static_cast<qsizetype>(payload.size())));
  const QCborMap fields = message.toMap();
  const std::string from = fields[kFromKey].toString().toStdString();
  const auto type = static_cast<PeerMessageType>(fields[kTypeKey].toInteger(-1));
  const auto handler = handlers_.find(type);
  if (from.empty() || handler == handlers_.end()) {
    LogEvent(LogLevel::kWarning, "peer_message_dropped", {{"from", from}});
    return;
  }
  handler->second(from, fields[kBodyKey].toMap().toJsonObject());
}

}  // namespace kumquat
