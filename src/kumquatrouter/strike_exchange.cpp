#include "strike_exchange.h"

#include <utility>

#include "peer_network.h"
#include "protocol/json_fields.h"

namespace kumquat {
namespace {

constexpr std::size_t kMaxEntries = 4096;
constexpr std::size_t kMaxStrikes = 16;
// Changes are told again for this long.
constexpr Duration kToldAgain = std::chrono::seconds(3);

QJsonObject ToJson(const StrikeEntry& entry) {
  QJsonArray strikes;
  for (const Strike& strike : entry.strikes) {
    strikes.append(
        QJsonArray{ToQString(strike.backend_id), static_cast<qint64>(strike.incarnation)});
  }
  return {{"digest", ToQString(entry.digest)},
          {"strikes", strikes},
          {"cleared", static_cast<qint64>(entry.cleared)},
          {"age_us", static_cast<qint64>(entry.age.count())}};
}

std::optional<StrikeEntry> ParseStrikeEntry(const QJsonObject& json) {
  StrikeEntry entry;
  std::int64_t age = 0;
  JsonFields fields(json);
  fields.Read("digest", &entry.digest).Read("cleared", &entry.cleared).Read("age_us", &age);
  for (const QJsonValue& item : fields.Array("strikes", kMaxStrikes)) {
    const QJsonArray values = item.toArray();
    entry.strikes.push_back({values[0].toString().toStdString(), values[1].toInteger()});
  }
  entry.age = Duration(age);
  if (!fields.ok()) return std::nullopt;
  return entry;
}

}  // namespace

StrikeExchange::StrikeExchange(PeerNetwork* network, StrikeTable::OwnsBackend owns_backend,
                               Clock clock)
    : network_(network), clock_(std::move(clock)), table_({}, std::move(owns_backend)) {
  network_->SetHandler(
      PeerMessageType::kStrikes,
      [this](const std::string& /*from*/, const QJsonObject& body) { Receive(body); });
}

void StrikeExchange::AddStrike(const std::string& digest, const Strike& strike) {
  const Instant now = clock_();
  table_.AddStrike(digest, strike, now);
  SendChangedSince(now);
}

void StrikeExchange::OnSuccess(const std::string& digest) {
  const Instant now = clock_();
  const bool was_clean = table_.StandingOf(digest, now) == RequestStanding::kClean;
  table_.OnSuccess(digest, now);
  if (!was_clean) SendChangedSince(now);
}

void StrikeExchange::OnStarted(const std::string& digest, const std::string& backend_id) {
  table_.OnStarted(digest, backend_id);
}

void StrikeExchange::OnStopped(const std::string& digest, const std::string& backend_id) {
  table_.OnStopped(digest, backend_id);
}

void StrikeExchange::Tick() { SendChangedSince(clock_() - kToldAgain); }

void StrikeExchange::Receive(const QJsonObject& body) {
  JsonFields fields(body);
  for (const QJsonValue& item : fields.Array("entries", kMaxEntries)) {
    const auto entry = ParseStrikeEntry(item.toObject());
    if (entry) table_.Merge(*entry, clock_());
  }
}

void StrikeExchange::SendChangedSince(Instant moment) {
  QJsonArray entries;
  for (const StrikeEntry& entry : table_.ChangedSince(moment, clock_())) {
    entries.append(ToJson(entry));
  }
  if (entries.isEmpty()) return;
  for (const std::string& peer : network_->connected_peers()) {
    network_->Send(peer, PeerMessageType::kStrikes, {{"entries", entries}});
  }
}

}  // namespace kumquat
