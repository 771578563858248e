#include "membership_service.h"

#include <QTimer>
#include <algorithm>
#include <chrono>

#include "peer_network.h"
#include "protocol/json_fields.h"
#include "router_settings.h"
#include "utils/log.h"
#include "utils/rendezvous.h"
#include "utils/wall_clock.h"

namespace kumquat {
namespace {

constexpr std::size_t kKeepers = 2;
constexpr std::size_t kMaxNeighbours = 9;
constexpr std::size_t kMaxLoads = 10'000;
constexpr std::int64_t kTicksBetweenLoads = 2;
constexpr std::int64_t kTicksBetweenDigests = 4;
constexpr std::int64_t kTicksBetweenForgetting = 40;
constexpr Duration kForgetAge = std::chrono::minutes(10);
constexpr Duration kProbeTimeout = std::chrono::milliseconds(700);
constexpr int kStatusOk = 200;

// What others need of an announcement that changed nothing but the load.
QJsonArray LoadRow(const MemberRecord& record) {
  const BackendLoad& load = record.backend->load;
  return {ToQString(record.id),
          static_cast<qint64>(record.incarnation),
          static_cast<qint64>(record.sequence),
          static_cast<qint64>(load.running_requests),
          static_cast<qint64>(load.queued_requests),
          static_cast<qint64>(load.queued_tokens)};
}

MemberRecord SelfRecord(const RouterSettings& settings) {
  MemberRecord self;
  self.id = settings.instance;
  self.incarnation = WallClockMillis();
  self.endpoint = settings.peer_listen;
  self.failure_domain = settings.failure_domain;
  return self;
}

}  // namespace

MembershipService::MembershipService(const RouterSettings& settings, PeerNetwork* network,
                                     BackendClient* client, Clock clock, Random random)
    : settings_(settings),
      network_(network),
      client_(client),
      clock_(std::move(clock)),
      random_(random),
      gossip_(
          &table_,
          [this](std::span<const std::string> routers, const GossipMessage& message) {
            const QJsonObject json = ToJson(message);
            for (const std::string& router : routers) {
              network_->Send(router, PeerMessageType::kGossip, json);
            }
          },
          std::move(random)),
      self_(SelfRecord(settings)) {
  network_->SetHandler(
      PeerMessageType::kGossip,
      [this](const std::string& from, const QJsonObject& body) { ReceiveGossip(from, body); });
  network_->SetHandler(
      PeerMessageType::kLoads,
      [this](const std::string& /*from*/, const QJsonObject& body) { ReceiveLoads(body); });
  network_->OnLinkChanged([this](const std::string& peer, bool connected) {
    LogEvent(LogLevel::kInfo, connected ? "peer_connected" : "peer_lost", {{"peer", peer}});
    if (connected) gossip_.SyncWith(peer);
  });
  std::vector<std::string> names;
  for (const NamedEndpoint& peer : settings_.peers) names.push_back(peer.name);
  const auto neighbours = GossipNeighbours(settings_.instance, names, kMaxNeighbours);
  gossip_.SetNeighbours(neighbours);
  for (const NamedEndpoint& peer : settings_.peers) {
    if (std::find(neighbours.begin(), neighbours.end(), peer.name) == neighbours.end()) continue;
    network_->AddPeer(peer);
  }
  AnnounceSelf();
}

void MembershipService::ReceiveGossip(const std::string& from, const QJsonObject& body) {
  std::string reason;
  const auto message = ParseGossipMessage(body, &reason);
  if (!reason.empty()) {
    LogEvent(LogLevel::kWarning, "gossip_dropped", {{"from", from}, {"reason", reason}});
  }
  if (!message) return;
  gossip_.Receive(from, *message, clock_());
  for (const MemberRecord& record : message->records) {
    const Member* member = table_.Find(record.id);
    const bool is_down = member && member->record.down && member->record.backend;
    if (is_down && on_backend_down_) on_backend_down_(record.id, member->record.incarnation);
  }
}

void MembershipService::Announce(const Announcement& announcement) {
  const MemberRecord record = RecordOf(announcement);
  const Member* known = table_.Find(record.id);
  const bool is_newer = !known || std::pair(record.incarnation, record.sequence) >
                                      std::pair(known->record.incarnation, known->record.sequence);
  gossip_.Learn(record, clock_());
  if (!is_newer) return;
  fresh_loads_.insert(record.id);
  if (on_load_) on_load_(announcement, clock_());
}

void MembershipService::ConnectionFailed(const std::string& id, std::int64_t incarnation,
                                         bool by_silence) {
  const Member* known = table_.Find(id);
  const bool was_down = known && known->record.down;
  const auto record = table_.ConnectionFailed(id, incarnation, by_silence, clock_());
  if (!record || was_down) return;
  LogEvent(LogLevel::kWarning, "member_down", {{"member", id}});
  if (record->backend && on_backend_down_) on_backend_down_(id, incarnation);
  GossipMessage message;
  message.records = {*record};
  for (const std::string& peer : network_->connected_peers()) {
    network_->Send(peer, PeerMessageType::kGossip, ToJson(message));
  }
}

void MembershipService::ConnectionSucceeded(const std::string& id, std::int64_t incarnation) {
  table_.ConnectionSucceeded(id, incarnation);
}

void MembershipService::ProbeBackend(const std::string& id) {
  const Member* member = table_.Find(id);
  if (member && !member->record.is_router() && probes_.count(id) == 0) Probe(member->record);
}

bool MembershipService::IsProvenDead(const std::string& id, std::int64_t incarnation) const {
  const Member* member = table_.Find(id);
  if (!member || member->record.incarnation > incarnation) return true;
  return member->record.down && !member->record.is_silent;
}

void MembershipService::Leave() {
  self_.leaving = true;
  AnnounceSelf();
}

bool MembershipService::IsKeeperOf(const std::string& backend_id) const {
  const auto keepers = KeepersOf(backend_id);
  return std::find(keepers.begin(), keepers.end(), settings_.instance) != keepers.end();
}

std::string MembershipService::FirstKeeperOf(const std::string& backend_id) const {
  const auto keepers = KeepersOf(backend_id);
  return keepers.empty() ? std::string() : keepers.front();
}

bool MembershipService::IsFirstKeeperOf(const std::string& backend_id) const {
  return FirstKeeperOf(backend_id) == settings_.instance;
}

std::vector<std::string> MembershipService::live_routers() const { return table_.LiveRouters(); }

void MembershipService::Tick() {
  ++ticks_;
  // Another router took this one for down or leaving: a newer record says that it isn't.
  const Member* self = table_.Find(self_.id);
  if (self && self->record.down) AnnounceSelf();
  if (ticks_ % kTicksBetweenLoads == 0) SendLoads();
  if (ticks_ % kTicksBetweenDigests == 0) gossip_.Tick();
  if (ticks_ % kTicksBetweenForgetting == 0) table_.Forget(kForgetAge, clock_());
  CheckRouters();
  ProbeSilentBackends();
}

void MembershipService::AnnounceSelf() {
  ++self_.sequence;
  gossip_.Learn(self_, clock_());
}

void MembershipService::CheckRouters() {
  std::vector<std::pair<std::string, std::int64_t>> refused;
  table_.ForEach([&](const Member& member) {
    const MemberRecord& record = member.record;
    if (!record.is_router() || record.down || record.id == settings_.instance) return;
    if (network_->was_refused(record.id)) refused.emplace_back(record.id, record.incarnation);
  });
  for (const auto& [id, incarnation] : refused) ConnectionFailed(id, incarnation, false);
}

void MembershipService::ProbeSilentBackends() {
  std::vector<MemberRecord> silent;
  const Instant now = clock_();
  table_.ForEach([&](const Member& member) {
    const MemberRecord& record = member.record;
    if (record.is_router() || record.down) return;
    if (now - member.heard_at < settings_.keeper_silence || now < member.retry_at) return;
    if (!IsKeeperOf(record.id) || probes_.count(record.id) > 0) return;
    silent.push_back(record);
  });
  for (const MemberRecord& record : silent) Probe(record);
}

void MembershipService::Probe(const MemberRecord& record) {
  BackendCallRequest request;
  request.endpoint = record.endpoint;
  request.method = "GET";
  request.target = "/healthz";
  request.timeouts = {kProbeTimeout, kProbeTimeout, kProbeTimeout};
  request.max_time = 2 * kProbeTimeout;
  request.new_connection = true;
  const auto done = [this, id = record.id] {
    // The call can't be destroyed from within its own hook.
    QTimer::singleShot(0, [this, id] { probes_.erase(id); });
  };
  BackendCallHooks hooks;
  hooks.on_headers = [this, record](int status, const HttpHeaders& /*headers*/) {
    if (status == kStatusOk) table_.ConnectionSucceeded(record.id, record.incarnation);
  };
  hooks.on_end = done;
  hooks.on_failure = [this, record, done](CallFailure failure, std::string_view /*reason*/) {
    ConnectionFailed(record.id, record.incarnation, failure == CallFailure::kSilent);
    done();
  };
  probes_[record.id] = client_->Start(request, std::move(hooks));
}

void MembershipService::SendLoads() {
  QJsonArray all_rows;
  // Rows for keepers that this router has no link to yet.
  std::map<std::string, QJsonArray> keeper_rows;
  const auto connected = network_->connected_peers();
  for (const std::string& id : std::exchange(fresh_loads_, {})) {
    const Member* member = table_.Find(id);
    if (!member || !member->record.backend) continue;
    const QJsonArray row = LoadRow(member->record);
    all_rows.append(row);
    for (const std::string& keeper : KeepersOf(id)) {
      if (std::find(connected.begin(), connected.end(), keeper) == connected.end()) {
        keeper_rows[keeper].append(row);
      }
    }
  }
  if (all_rows.isEmpty()) return;
  for (const std::string& peer : connected) {
    network_->Send(peer, PeerMessageType::kLoads, {{"loads", all_rows}});
  }
  for (const auto& [keeper, rows] : keeper_rows) {
    const Member* router = table_.Find(keeper);
    if (!router || keeper == settings_.instance) continue;
    network_->AddPeer({keeper, router->record.endpoint});
    network_->Send(keeper, PeerMessageType::kLoads, {{"loads", rows}});
  }
}

void MembershipService::ReceiveLoads(const QJsonObject& body) {
  constexpr int kFields = 6;
  JsonFields fields(body);
  for (const QJsonValue& item : fields.Array("loads", kMaxLoads)) {
    const QJsonArray values = item.toArray();
    if (values.size() != kFields) continue;
    const std::string id = values[0].toString().toStdString();
    const std::int64_t incarnation = values[1].toInteger();
    const BackendLoad load{values[3].toInteger(), values[4].toInteger(), values[5].toInteger()};
    if (!table_.MergeLoad(id, incarnation, values[2].toInteger(), load, clock_())) continue;
    if (on_load_) on_load_(*table_.Find(id)->record.backend, clock_());
  }
}

std::vector<std::string> MembershipService::KeepersOf(const std::string& backend_id) const {
  const auto routers = table_.LiveRouters();
  return RendezvousTop(backend_id, routers, kKeepers);
}

}  // namespace kumquat
