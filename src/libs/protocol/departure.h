// That one incarnation of a backend server leaves, as control records it.
#pragma once

#include <QJsonObject>
#include <cstdint>
#include <optional>
#include <string>

namespace kumquat {

struct Departure {
  std::string backend_id;
  std::int64_t incarnation = 0;

  bool operator==(const Departure&) const = default;
};

QJsonObject ToJson(const Departure& departure);

// Returns nothing when a field is missing or wrong, with the reason in `reason`.
std::optional<Departure> ParseDeparture(const QJsonObject& json, std::string* reason);

}  // namespace kumquat
