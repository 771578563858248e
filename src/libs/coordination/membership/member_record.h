// What the routers know of one member: a router or a backend server.
#pragma once

#include <QJsonObject>
#include <cstdint>
#include <optional>
#include <string>

#include "protocol/announcement.h"
#include "utils/endpoint.h"

namespace kumquat {

// A member as it travels between routers. Records of a member are ordered by (incarnation,
// sequence); a record that says `down` goes before one with the same numbers that doesn't, and a
// proof that it is down before mere silence.
struct MemberRecord {
  std::string id;
  std::int64_t incarnation = 0;
  std::int64_t sequence = 0;
  Endpoint endpoint;
  std::string failure_domain;
  // The member said that it is leaving; holds for the rest of its incarnation.
  bool leaving = false;
  // A new connection to the member failed after it was last heard of, at `sequence`.
  bool down = false;
  // That connection was silent; it was neither refused nor broken, so the member may live.
  bool is_silent = false;
  // What a backend server announced; nothing for a router.
  std::optional<Announcement> backend;

  bool operator==(const MemberRecord&) const = default;

  bool is_router() const { return !backend.has_value(); }

  // Notes that the member is leaving, in its announcement too, so that records which say the same
  // are equal whichever way the word came.
  void MarkLeaving();
};

// Returns the record that an announcement stands for.
MemberRecord RecordOf(const Announcement& announcement);

QJsonObject ToJson(const MemberRecord& record);
std::optional<MemberRecord> ParseMemberRecord(const QJsonObject& json, std::string* reason);

}  // namespace kumquat
