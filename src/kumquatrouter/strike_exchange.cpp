#include "strike_exchange.h"

#include <utility>

#include "peer_network.h"
#include "protocol/json_fields.h"
#include "utils/log.h"

namespace kumquat {
namespace {

constexpr std::size_t kMaxEntries = 4096;
constexpr std::size_t kMaxStrikes = 16;
// Changes are told again for this long.
constexpr Duration kToldAgain = std::chrono::seconds(3);

// Digits of a digest that stand in the log.
constexpr std::size_t kLoggedDigits = 12;
// A slot is leased for this much longer than a request may run.
constexpr Duration kLeaseMargin = std::chrono::seconds(30);

QJsonObject ToJson(const SlotMessage& message) {
  return {{"kind", static_cast<int>(message.kind)},
          {"backend", ToQString(message.backend_id)},
          {"digest", ToQString(message.digest)},
          {"number", static_cast<qint64>(message.number)}};
}

std::optional<SlotMessage> ParseSlotMessage(const QJsonObject& json) {
  SlotMessage message;
  std::int64_t kind = 0;
  JsonFields fields(json);
  fields.Read("kind", &kind, 0, static_cast<std::int64_t>(SlotMessageKind::kRelease))
      .Read("backend", &message.backend_id)
      .Read("digest", &message.digest)
      .Read("number", &message.number);
  message.kind = static_cast<SlotMessageKind>(kind);
  if (!fields.ok()) return std::nullopt;
  return message;
}

QJsonObject ToJson(const StrikeEntry& entry) {
  QJsonArray strikes;
  for (const Strike& strike : entry.strikes) {
    strikes.append(QJsonArray{ToQString(strike.backend_id), static_cast<qint64>(strike.incarnation),
                              strike.is_isolated, strike.made_progress});
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
    entry.strikes.push_back({values[0].toString().toStdString(), values[1].toInteger(),
                             values[2].toBool(), values[3].toBool()});
  }
  entry.age = Duration(age);
  if (!fields.ok()) return std::nullopt;
  return entry;
}

}  // namespace

StrikeExchange::StrikeExchange(std::string self, PeerNetwork* network, OwnerOf owner_of,
                               Duration longest_run, Clock clock)
    : network_(network),
      clock_(std::move(clock)),
      slots_(std::move(self), longest_run + kLeaseMargin, SlotHooks(std::move(owner_of))) {
  network_->SetHandler(PeerMessageType::kSuspectSlot,
                       [this](const std::string& from, const QJsonObject& body) {
                         const auto message = ParseSlotMessage(body);
                         if (message) slots_.Receive(from, *message, clock_());
                       });
  network_->SetHandler(
      PeerMessageType::kStrikes,
      [this](const std::string& /*from*/, const QJsonObject& body) { Receive(body); });
}

SuspectSlotsHooks StrikeExchange::SlotHooks(OwnerOf owner_of) {
  SuspectSlotsHooks hooks;
  hooks.owner_of = std::move(owner_of);
  hooks.is_free = [this](const std::string& backend_id) {
    return table_.IsFreeOfSuspects(backend_id, clock_());
  };
  hooks.send = [this](const std::string& router, const SlotMessage& message) {
    network_->Send(router, PeerMessageType::kSuspectSlot, ToJson(message));
  };
  return hooks;
}

bool StrikeExchange::MayPlace(const std::string& digest, const std::string& backend_id,
                              std::span<const std::string> backend_ids) const {
  const Instant now = clock_();
  if (!table_.MayPlace(digest, backend_id, now, backend_ids)) return false;
  const bool is_suspect = table_.StandingOf(digest, now) == RequestStanding::kSuspect;
  return !is_suspect || slots_.Holds(digest, backend_id, now);
}

bool StrikeExchange::RequestSlots(const std::string& digest,
                                  std::span<const std::string> backend_ids) {
  const Instant now = clock_();
  bool has_any = false;
  for (const std::string& backend_id : backend_ids) {
    if (!table_.MayTry(digest, backend_id, backend_ids, now)) continue;
    slots_.Request(digest, backend_id, now);
    has_any = true;
  }
  return has_any;
}

void StrikeExchange::AddStrike(const std::string& digest, std::string_view request_id,
                               const Strike& strike) {
  const Instant now = clock_();
  const RequestStanding standing = table_.AddStrike(digest, strike, now);
  LogEvent(LogLevel::kError, "request_struck",
           {{"request", request_id},
            {"digest", digest.substr(0, kLoggedDigits)},
            {"backend", strike.backend_id},
            {"incarnation", strike.incarnation},
            {"isolated", strike.is_isolated ? "yes" : "no"},
            {"made_progress", strike.made_progress ? "yes" : "no"},
            {"condemned", standing == RequestStanding::kCondemned ? "yes" : "no"}});
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
  slots_.OnStarted(digest, backend_id);
}

void StrikeExchange::OnStopped(const std::string& digest, const std::string& backend_id) {
  table_.OnStopped(digest, backend_id);
  slots_.OnStopped(digest, backend_id);
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
