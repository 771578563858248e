#include "state/control/control_state.h"

#include <QCborArray>
#include <algorithm>
#include <utility>

#include "protocol/json_fields.h"

namespace kumquat {
namespace {

QJsonObject Done(bool done) { return {{"done", done}}; }

}  // namespace

std::string ControlState::Apply(std::uint64_t /*index*/, std::string_view command) {
  std::string reason;
  const auto decoded = DecodeControlCommand(command, &reason);
  if (!decoded) {
    return ToJsonText({{"error", ToJson(Error{ErrorKind::kBadRequest, reason, std::nullopt})}});
  }
  time_ = std::max(time_, decoded->time);
  claims_.Expire(time_);
  departures_.Expire(time_);
  struct Visitor {
    QJsonObject operator()(const ListEdit& edit) const { return ToJson(state->lists_.Apply(edit)); }
    QJsonObject operator()(const ClaimRequest& request) const {
      return ToJson(state->claims_.Begin(request, state->time_));
    }
    QJsonObject operator()(const ClaimFinish& finish) const {
      return Done(state->claims_.Finish(finish));
    }
    QJsonObject operator()(const ClaimRelease& release) const {
      return Done(state->claims_.Release(release.id, state->time_));
    }
    QJsonObject operator()(const ClockMark&) const { return Done(true); }
    QJsonObject operator()(const Document& document) const {
      return {{"version", static_cast<qint64>(state->documents_.Put(document))}};
    }
    QJsonObject operator()(const Departure& departure) const {
      state->departures_.Record(departure, state->time_);
      return Done(true);
    }

    ControlState* state;
  };
  return ToJsonText(std::visit(Visitor{this}, decoded->body));
}

std::string ControlState::Snapshot() const {
  QCborArray items{static_cast<qint64>(time_.count()), lists_.Snapshot(), claims_.Snapshot(),
                   documents_.Snapshot()};
  // Replicas from before there were departures can read snapshots that hold none.
  if (departures_.size() > 0) items.append(departures_.Snapshot());
  return items.toCborValue().toCbor().toStdString();
}

bool ControlState::Restore(std::string_view snapshot) {
  // Snapshots from before there were documents have no fourth item.
  constexpr qsizetype kItemsWithoutDocuments = 3;
  constexpr qsizetype kItems = 4;
  constexpr qsizetype kItemsWithDepartures = 5;
  const QCborArray items =
      QCborValue::fromCbor(QByteArray(snapshot.data(), static_cast<qsizetype>(snapshot.size())))
          .toArray();
  if (items.size() < kItemsWithoutDocuments || items.size() > kItemsWithDepartures) return false;
  ControlState restored(*this);
  restored.time_ = LogicalTime(items.at(0).toInteger());
  if (!restored.lists_.Restore(items.at(1)) || !restored.claims_.Restore(items.at(2))) return false;
  if (items.size() >= kItems && !restored.documents_.Restore(items.at(3))) return false;
  restored.departures_ = {};
  if (items.size() == kItemsWithDepartures && !restored.departures_.Restore(items.at(4))) {
    return false;
  }
  *this = std::move(restored);
  return true;
}

}  // namespace kumquat
