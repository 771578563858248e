// What is known about one member, which is a router or a backend server.
#pragma once

#include <QJsonObject>
#include <cstdint>
#include <optional>
#include <string>

#include "protocol/announcement.h"
#include "utils/endpoint.h"

namespace kumquat {

// The state of a member as exchanged between processes by gossip. Records of a member are ordered
// by (incarnation, sequence). Among records with the same numbers, `down` takes precedence over not
// down, and proven down over silent.
struct MemberRecord {
  std::string id;
  std::int64_t incarnation = 0;
  std::int64_t sequence = 0;
  Endpoint endpoint;
  std::string failure_domain;
  // The member announced that it is leaving. Stays true for the rest of its incarnation.
  bool leaving = false;
  // A new connection to the member failed, and nothing newer than `sequence` has been received from
  // the member since.
  bool down = false;
  // The failed connection got no reply. It was neither refused nor broken, so the member may still
  // be running.
  bool is_silent = false;
  // The announcement of a backend server; nullopt for a router.
  std::optional<Announcement> backend;

  bool operator==(const MemberRecord&) const = default;

  bool is_router() const { return !backend.has_value(); }

  // Marks the member as leaving, both here and in its announcement, so that equal states compare
  // equal regardless of how the leaving became known.
  void MarkLeaving();
};

// Returns the record for an announcement of a backend server.
MemberRecord RecordOf(const Announcement& announcement);

QJsonObject ToJson(const MemberRecord& record);
// Returns nullopt and sets `reason` if the record is malformed.
std::optional<MemberRecord> ParseMemberRecord(const QJsonObject& json, std::string* reason);

}  // namespace kumquat
