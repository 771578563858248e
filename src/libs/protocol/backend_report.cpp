#include "protocol/backend_report.h"

#include <QJsonArray>
#include <utility>

#include "protocol/json_fields.h"

namespace kumquat {
namespace {

constexpr std::size_t kMaxAnnouncements = 10'000;
constexpr std::size_t kMaxModels = 10'000;

}  // namespace

QJsonObject ToJson(const BackendReport& report) {
  QJsonArray announcements;
  for (const Announcement& announcement : report.announcements) {
    announcements.append(ToJson(announcement));
  }
  QJsonArray demand;
  for (const ModelRequests& entry : report.demand) {
    QJsonObject json = ToJson(entry.model);
    json["requests"] = static_cast<qint64>(entry.requests);
    demand.append(json);
  }
  return {{"router_id", ToQString(report.router_id)},
          {"announcements", announcements},
          {"demand", demand}};
}

std::optional<BackendReport> ParseBackendReport(const QJsonObject& json, std::string* reason) {
  BackendReport report;
  JsonFields fields(json);
  fields.Read("router_id", &report.router_id);
  for (const QJsonValue& item : fields.Array("announcements", kMaxAnnouncements)) {
    auto announcement = ParseAnnouncement(item.toObject(), reason);
    if (!announcement) return std::nullopt;
    report.announcements.push_back(std::move(*announcement));
  }
  for (const QJsonValue& item : fields.Array("demand", kMaxModels)) {
    auto model = ParseModelVersion(item.toObject(), reason);
    if (!model) return std::nullopt;
    ModelRequests entry{std::move(*model), 0};
    JsonFields entry_fields(item.toObject());
    entry_fields.Read("requests", &entry.requests);
    if (!entry_fields.ok()) fields.Fail("demand", entry_fields.last_reason());
    report.demand.push_back(std::move(entry));
  }
  *reason = fields.last_reason();
  if (!fields.ok()) return std::nullopt;
  return report;
}

}  // namespace kumquat
