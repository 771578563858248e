// The departures of backend servers that the control replicas keep by their log.
#pragma once

#include <QCborValue>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "protocol/departure.h"
#include "state/control/control_command.h"

namespace kumquat {

// An announcement of a server from before its departure may come late, when all processes that saw
// it leave have lost their memory. A departure is kept for longer than announcements can be late.
class DepartureTable {
 public:
  // Records the departure, at this time of the log.
  void Record(const Departure& departure, LogicalTime now);

  // Drops the departures that are older than kLifetime.
  void Expire(LogicalTime now);

  // Returns whether this incarnation, or a later one, is recorded to have left.
  bool HasLeft(std::string_view backend_id, std::int64_t incarnation) const;

  void ForEach(const std::function<void(const Departure& departure)>& visit) const;

  std::size_t size() const { return departures_.size(); }

  QCborValue Snapshot() const;
  // False when the value is not a snapshot; nothing has changed then.
  bool Restore(const QCborValue& snapshot);

  static constexpr LogicalTime kLifetime = std::chrono::minutes(10);
  // Departures that are kept, the latest ones.
  static constexpr std::size_t kMaxDepartures = 4096;

 private:
  struct Entry {
    std::int64_t incarnation = 0;
    LogicalTime recorded_at{0};
  };

  std::map<std::string, Entry, std::less<>> departures_;
};

}  // namespace kumquat
