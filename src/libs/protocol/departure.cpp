#include "protocol/departure.h"

#include "protocol/json_fields.h"

namespace kumquat {

QJsonObject ToJson(const Departure& departure) {
  return {{"backend", ToQString(departure.backend_id)},
          {"incarnation", static_cast<qint64>(departure.incarnation)}};
}

std::optional<Departure> ParseDeparture(const QJsonObject& json, std::string* reason) {
  Departure departure;
  JsonFields fields(json);
  fields.Read("backend", &departure.backend_id).Read("incarnation", &departure.incarnation);
  if (fields.ok() && departure.backend_id.empty()) fields.Fail("backend", "is empty");
  *reason = fields.last_reason();
  if (!fields.ok()) return std::nullopt;
  return departure;
}

}  // namespace kumquat
