// Every member that a router knows, merged from announcements, gossip and its own findings.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/membership/member_record.h"
#include "utils/hooks.h"

namespace kumquat {

// How a record changed the table.
enum class MergeOutcome {
  // Older than what is known, or the same.
  kStale,
  // Only the sequence or the load is newer; not worth telling others.
  kRefreshed,
  // Something that others need to know.
  kChanged,
};

// One member with what this router alone knows of it.
struct Member {
  MemberRecord record;
  // When a newer record last came in.
  Instant heard_at{0};
  // When the backend server's load was last reported.
  Instant load_at{0};
  // This router's own failed connections in a row, and when it may try again.
  int failed_connections = 0;
  Instant retry_at{0};
};

// Merges records: the order in which they come doesn't matter, and an old one revives nothing.
class MemberTable {
 public:
  MergeOutcome Merge(const MemberRecord& record, Instant now);

  // Notes that the backend server was heard of again, without any other change than its load. False
  // for another incarnation or an older sequence. It brings none back that is down: that takes a
  // whole record.
  bool MergeLoad(std::string_view id, std::int64_t incarnation, std::int64_t sequence,
                 const BackendLoad& load, Instant now);

  // Notes that a new connection to the member failed, by silence or not. Returns the record that
  // says so, for the others; nothing when the member's incarnation is another by now.
  std::optional<MemberRecord> ConnectionFailed(std::string_view id, std::int64_t incarnation,
                                               bool by_silence, Instant now);

  // Notes that the member answered on a connection.
  void ConnectionWorked(std::string_view id, std::int64_t incarnation);

  // Drops members that were down or leaving, and not heard of, for `age`.
  void Forget(Duration age, Instant now);

  // Returns the member; null when it isn't known.
  const Member* Find(std::string_view id) const;

  // Calls the hook for each member in the order of their ids.
  void ForEach(const std::function<void(const Member&)>& hook) const;

  // Returns the names of the routers that are neither leaving nor down.
  std::vector<std::string> LiveRouters() const;

  // Returns a hash of what others need to know; equal tables have equal digests.
  std::uint64_t digest() const;

  std::size_t size() const { return members_.size(); }

 private:
  void Changed(std::string_view id);

  std::map<std::string, Member, std::less<>> members_;
  // The hash of each member, for the digest; missing after a change that it covers.
  mutable std::map<std::string, std::uint64_t, std::less<>> hashes_;
  // Nothing after a change that it covers.
  mutable std::optional<std::uint64_t> digest_;
};

}  // namespace kumquat
