#include "state/control/claim_table.h"

#include <QCborArray>
#include <utility>

namespace kumquat {
namespace {

QCborValue Bytes(std::string_view text) {
  return QByteArray(text.data(), static_cast<qsizetype>(text.size()));
}

std::string Text(const QCborValue& value) { return value.toByteArray().toStdString(); }

QCborValue ToCbor(const std::optional<RecordedAnswer>& answer) {
  if (!answer) return {};
  return QCborArray{static_cast<qint64>(answer->status), Bytes(answer->content_type),
                    Bytes(answer->body)};
}

std::optional<RecordedAnswer> RecordedFromCbor(const QCborValue& value) {
  if (!value.isArray()) return std::nullopt;
  const QCborArray items = value.toArray();
  return RecordedAnswer{items.at(0).toInteger(), Text(items.at(1)), Text(items.at(2))};
}

}  // namespace

void ClaimTable::Expire(LogicalTime now) {
  while (!by_age_.empty() && by_age_.begin()->first + limits_.lifetime <= now) {
    const Key oldest = by_age_.begin()->second;
    Erase(oldest);
  }
  // A router's start is newer than the claims that it ends, so it is kept as long as they are.
  std::erase_if(routers_,
                [&](const auto& entry) { return entry.second.seen + limits_.lifetime <= now; });
}

ClaimAnswer ClaimTable::Begin(const ClaimRequest& request, LogicalTime now) {
  NoteRouter(request, now);
  const Key key = KeyOf(request.id);
  const auto found = claims_.find(key);
  if (found == claims_.end()) return Grant(request, now);
  const Claim& claim = found->second;
  const bool own = claim.claimant == request.id.claimant;
  const State state = StateAt(claim, now);
  if (state == State::kReleased) {
    if (own) return {ClaimVerdict::kRunning, std::nullopt};
    Erase(key);
    return Grant(request, now);
  }
  if (claim.digest != request.digest) return {ClaimVerdict::kConflict, std::nullopt};
  if (state == State::kRecorded) return {ClaimVerdict::kRecorded, claim.recorded};
  if (state == State::kUnknown) return {ClaimVerdict::kOutcomeUnknown, claim.recorded};
  return {own ? ClaimVerdict::kGranted : ClaimVerdict::kRunning, std::nullopt};
}

bool ClaimTable::Finish(const ClaimFinish& finish) {
  Claim* claim = ClaimOf(finish.id);
  if (!claim || claim->state == State::kReleased) return false;
  if (claim->state == State::kRecorded || claim->recorded) return true;
  if (finish.recorded) {
    Record(KeyOf(finish.id), claim, *finish.recorded);
  } else {
    claim->state = State::kUnknown;
  }
  return true;
}

bool ClaimTable::Release(const ClaimId& id, LogicalTime now) {
  Claim* claim = ClaimOf(id);
  if (!claim) return false;
  if (claim->state == State::kReleased) return true;
  if (StateAt(*claim, now) != State::kRunning) return false;
  claim->state = State::kReleased;
  return true;
}

void ClaimTable::NoteRouter(const ClaimRequest& request, LogicalTime now) {
  Router& router = routers_[request.router_id];
  router.incarnation = std::max(router.incarnation, request.router_incarnation);
  router.seen = now;
}

ClaimTable::State ClaimTable::StateAt(const Claim& claim, LogicalTime now) const {
  if (claim.state != State::kRunning) return claim.state;
  if (claim.begun + limits_.longest_run <= now) return State::kUnknown;
  const auto router = routers_.find(claim.router_id);
  const bool restarted =
      router != routers_.end() && router->second.incarnation > claim.router_incarnation;
  return restarted ? State::kUnknown : State::kRunning;
}

ClaimAnswer ClaimTable::Grant(const ClaimRequest& request, LogicalTime now) {
  const auto usage = usage_.find(request.id.organisation);
  if (usage != usage_.end() && usage->second.claims >= limits_.claims_per_organisation) {
    return {ClaimVerdict::kFull, std::nullopt};
  }
  // A call of an earlier start of the router can't run any more; this is a late copy.
  if (routers_[request.router_id].incarnation > request.router_incarnation) {
    return {ClaimVerdict::kOutcomeUnknown, std::nullopt};
  }
  Insert(KeyOf(request.id), {request.id.claimant, request.digest, request.router_id,
                             request.router_incarnation, now, State::kRunning, std::nullopt});
  return {ClaimVerdict::kGranted, std::nullopt};
}

void ClaimTable::Insert(const Key& key, Claim claim) {
  Usage& usage = usage_[key.first];
  ++usage.claims;
  if (claim.recorded) usage.body_bytes += static_cast<std::int64_t>(claim.recorded->body.size());
  by_age_.emplace(claim.begun, key);
  claims_.emplace(key, std::move(claim));
}

void ClaimTable::Erase(const Key& key) {
  const auto claim = claims_.find(key);
  const auto usage = usage_.find(key.first);
  if (const auto& recorded = claim->second.recorded) {
    usage->second.body_bytes -= static_cast<std::int64_t>(recorded->body.size());
  }
  if (--usage->second.claims == 0) usage_.erase(usage);
  by_age_.erase({claim->second.begun, key});
  claims_.erase(claim);
}

void ClaimTable::Record(const Key& key, Claim* claim, RecordedAnswer answer) {
  const auto bytes = static_cast<std::int64_t>(answer.body.size());
  Usage& usage = usage_[key.first];
  const bool kept = bytes <= limits_.largest_body_bytes &&
                    usage.body_bytes + bytes <= limits_.body_bytes_per_organisation;
  if (kept) {
    usage.body_bytes += bytes;
  } else {
    answer.body.clear();
  }
  claim->state = kept ? State::kRecorded : State::kUnknown;
  claim->recorded = std::move(answer);
}

ClaimTable::Claim* ClaimTable::ClaimOf(const ClaimId& id) {
  const auto claim = claims_.find(KeyOf(id));
  if (claim == claims_.end() || claim->second.claimant != id.claimant) return nullptr;
  return &claim->second;
}

QCborValue ClaimTable::Snapshot() const {
  QCborArray claims;
  for (const auto& [key, claim] : claims_) {
    claims.append(QCborArray{Bytes(key.first), Bytes(key.second), Bytes(claim.claimant),
                             Bytes(claim.digest), Bytes(claim.router_id),
                             static_cast<qint64>(claim.router_incarnation),
                             static_cast<qint64>(claim.begun.count()),
                             static_cast<qint64>(claim.state), ToCbor(claim.recorded)});
  }
  QCborArray routers;
  for (const auto& [id, router] : routers_) {
    routers.append(QCborArray{Bytes(id), static_cast<qint64>(router.incarnation),
                              static_cast<qint64>(router.seen.count())});
  }
  return QCborArray{claims, routers};
}

bool ClaimTable::Restore(const QCborValue& snapshot) {
  constexpr qsizetype kClaimItems = 9;
  constexpr qsizetype kRouterItems = 3;
  *this = ClaimTable(limits_);
  if (snapshot.toArray().size() != 2) return false;
  for (const auto& value : snapshot.toArray().at(0).toArray()) {
    const QCborArray items = value.toArray();
    if (items.size() != kClaimItems) return false;
    Insert({Text(items.at(0)), Text(items.at(1))},
           {Text(items.at(2)), Text(items.at(3)), Text(items.at(4)), items.at(5).toInteger(),
            LogicalTime(items.at(6).toInteger()), static_cast<State>(items.at(7).toInteger()),
            RecordedFromCbor(items.at(8))});
  }
  for (const auto& value : snapshot.toArray().at(1).toArray()) {
    const QCborArray items = value.toArray();
    if (items.size() != kRouterItems) return false;
    routers_[Text(items.at(0))] = {items.at(1).toInteger(), LogicalTime(items.at(2).toInteger())};
  }
  return true;
}

}  // namespace kumquat
