#include "state/control/departure_table.h"

#include <QCborArray>
#include <algorithm>
#include <utility>

namespace kumquat {

void DepartureTable::Record(const Departure& departure, LogicalTime now) {
  const auto [entry, is_new] = departures_.try_emplace(departure.backend_id);
  if (!is_new && entry->second.incarnation > departure.incarnation) return;
  entry->second = {departure.incarnation, now};
  if (departures_.size() <= kMaxDepartures) return;
  departures_.erase(std::min_element(departures_.begin(), departures_.end(),
                                     [](const auto& one, const auto& other) {
                                       return one.second.recorded_at < other.second.recorded_at;
                                     }));
}

void DepartureTable::Expire(LogicalTime now) {
  std::erase_if(departures_,
                [now](const auto& entry) { return now - entry.second.recorded_at >= kLifetime; });
}

bool DepartureTable::HasLeft(std::string_view backend_id, std::int64_t incarnation) const {
  const auto found = departures_.find(backend_id);
  return found != departures_.end() && incarnation <= found->second.incarnation;
}

void DepartureTable::ForEach(const std::function<void(const Departure& departure)>& visit) const {
  for (const auto& [id, entry] : departures_) visit({id, entry.incarnation});
}

QCborValue DepartureTable::Snapshot() const {
  QCborArray items;
  for (const auto& [id, entry] : departures_) {
    items.append(QCborArray{QByteArray::fromStdString(id), static_cast<qint64>(entry.incarnation),
                            static_cast<qint64>(entry.recorded_at.count())});
  }
  return items;
}

bool DepartureTable::Restore(const QCborValue& snapshot) {
  constexpr qsizetype kItems = 3;
  if (!snapshot.isArray()) return false;
  std::map<std::string, Entry, std::less<>> departures;
  for (const QCborValue value : snapshot.toArray()) {
    const QCborArray items = value.toArray();
    if (items.size() != kItems || !items.at(1).isInteger() || !items.at(2).isInteger()) {
      return false;
    }
    departures[items.at(0).toByteArray().toStdString()] = {items.at(1).toInteger(),
                                                           LogicalTime(items.at(2).toInteger())};
  }
  departures_ = std::move(departures);
  return true;
}

}  // namespace kumquat
