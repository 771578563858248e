#include "coordination/membership/member_record.h"

#include "protocol/json_fields.h"

namespace kumquat {

MemberRecord RecordOf(const Announcement& announcement) {
  MemberRecord record;
  record.id = announcement.backend_id;
  record.incarnation = announcement.incarnation;
  record.sequence = announcement.sequence;
  record.endpoint = announcement.endpoint;
  record.failure_domain = announcement.failure_domain;
  record.leaving = announcement.state == BackendState::kLeaving;
  record.backend = announcement;
  return record;
}

void MemberRecord::MarkLeaving() {
  leaving = true;
  if (backend) backend->state = BackendState::kLeaving;
}

QJsonObject ToJson(const MemberRecord& record) {
  QJsonObject json{
      {"down", record.down}, {"leaving", record.leaving}, {"silent", record.is_silent}};
  if (record.backend) {
    json["backend"] = ToJson(*record.backend);
    return json;
  }
  json["id"] = ToQString(record.id);
  json["incarnation"] = static_cast<qint64>(record.incarnation);
  json["sequence"] = static_cast<qint64>(record.sequence);
  json["address"] = ToQString(record.endpoint.ToString());
  json["failure_domain"] = ToQString(record.failure_domain);
  return json;
}

std::optional<MemberRecord> ParseMemberRecord(const QJsonObject& json, std::string* reason) {
  MemberRecord record;
  JsonFields fields(json);
  if (fields.Has("backend")) {
    const auto announcement = ParseAnnouncement(fields.Object("backend"), reason);
    if (!announcement) return std::nullopt;
    record = RecordOf(*announcement);
  } else {
    std::string address;
    fields.Read("id", &record.id)
        .Read("incarnation", &record.incarnation)
        .Read("sequence", &record.sequence)
        .Read("address", &address)
        .Read("failure_domain", &record.failure_domain);
    const auto endpoint = ParseEndpoint(address);
    if (!endpoint) fields.Fail("address", "an IP number with a port is needed.");
    record.endpoint = endpoint.value_or(Endpoint{});
  }
  fields.Read("down", &record.down)
      .Read("leaving", &record.leaving)
      .Read("silent", &record.is_silent);
  *reason = fields.last_reason();
  if (!fields.ok()) return std::nullopt;
  return record;
}

}  // namespace kumquat
