#include "crash_exchange.h"

#include <QByteArray>
#include <QJsonObject>
#include <optional>
#include <utility>
#include <variant>

#include "coordination/membership/member_table.h"
#include "membership_service.h"
#include "peer_network.h"
#include "utils/log.h"

namespace kumquat {
namespace {

constexpr Duration kSummaryInterval = std::chrono::seconds(1);
const QString kNewsField = QStringLiteral("news");

QJsonObject ToBody(const ControlNews& news) {
  const QByteArray encoded = QByteArray::fromStdString(Encode(news)).toBase64();
  return {{kNewsField, QString::fromLatin1(encoded)}};
}

std::optional<ControlNews> FromBody(const QJsonObject& body) {
  const QByteArray encoded = QByteArray::fromBase64(body[kNewsField].toString().toLatin1());
  return DecodeControlNews(encoded.toStdString());
}

}  // namespace

CrashExchange::CrashExchange(std::string self, PeerNetwork* network, MembershipService* membership,
                             Metrics* metrics, Clock clock, Random random)
    : network_(network),
      membership_(membership),
      clock_(std::move(clock)),
      random_(std::move(random)),
      watch_(std::move(self), Hooks(), metrics) {
  network_->SetHandler(
      PeerMessageType::kSuspects,
      [this](const std::string& from, const QJsonObject& body) { OnNews(from, FromBody(body)); });
}

void CrashExchange::OnNews(const std::string& from, const std::optional<ControlNews>& news) {
  if (const auto* suspects = news ? std::get_if<SuspectNews>(&*news) : nullptr) {
    const auto answer = watch_.Receive(*suspects);
    if (!answer) return;
    network_->Send(from, PeerMessageType::kSuspects, ToBody(*answer));
    network_->Send(from, PeerMessageType::kSuspects, ToBody(watch_.TrialSummary()));
  } else if (const auto* trials = news ? std::get_if<TrialNews>(&*news) : nullptr) {
    watch_.Receive(*trials);
  } else {
    LogEvent(LogLevel::kWarning, "peer_message_dropped", {{"from", from}});
  }
}

CrashWatchHooks CrashExchange::Hooks() {
  CrashWatchHooks hooks;
  hooks.clock = clock_;
  hooks.probe = [this](const BackendChoice& backend) {
    // It may have been found dead before the loss was noticed.
    if (membership_->IsProvenDead(backend.backend_id, backend.incarnation)) {
      OnBackendDown(backend);
    } else {
      membership_->ProbeBackend(backend.backend_id);
    }
  };
  hooks.latest_incarnation = [this](const std::string& id) -> std::optional<std::int64_t> {
    const Member* member = membership_->table().Find(id);
    return member ? std::optional(member->record.incarnation) : std::nullopt;
  };
  hooks.is_leaving = [this](const BackendChoice& backend) {
    return membership_->table().IsLeaving(backend.backend_id, backend.incarnation);
  };
  hooks.report = [this](const ControlNews& news) { SendToAll(news); };
  hooks.random = random_;
  // Not every router is linked to every other.
  hooks.relays_news = true;
  return hooks;
}

void CrashExchange::SendToAll(const ControlNews& news) {
  const QJsonObject body = ToBody(news);
  for (const std::string& peer : network_->connected_peers()) {
    network_->Send(peer, PeerMessageType::kSuspects, body);
  }
}

void CrashExchange::OnBackendDown(const BackendChoice& backend) {
  if (membership_->IsProvenDead(backend.backend_id, backend.incarnation)) watch_.OnRefused(backend);
}

void CrashExchange::Tick() {
  watch_.ProbeUnproven();
  watch_.ReportChanges();
  const Instant now = clock_();
  if (now - summary_sent_at_ < kSummaryInterval) return;
  summary_sent_at_ = now;
  SendToAll(watch_.Summary());
  const TrialNews trials = watch_.TrialSummary();
  if (!trials.trials.empty() || !trials.crashes.empty()) SendToAll(trials);
}

}  // namespace kumquat
