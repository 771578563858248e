// All members that a process knows, merged from announcements, gossip and its own connections.
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
  // Not newer than the known record.
  kStale,
  // Only the sequence or the load is newer; not forwarded to others.
  kRefreshed,
  // Changed something that others need to know.
  kChanged,
};

// A member, with state that is local to this process.
struct Member {
  MemberRecord record;
  // When a newer record or load was last received.
  Instant heard_at{0};
  // When the backend server's load was last reported.
  Instant load_reported_at{0};
  // This process's consecutive failed connections to the member, and when it may try again.
  int failed_connections = 0;
  Instant retry_at{0};
};

// Processes that know each other's tables divide them alike.
inline constexpr std::size_t kMemberBuckets = 64;

// Merges member records. The result doesn't depend on the order of arrival. A record that isn't
// newer never clears `down`, and only a newer incarnation clears `leaving`.
class MemberTable {
 public:
  MergeOutcome Merge(const MemberRecord& record, Instant now);

  // Records a newer load and sequence of a backend server, with no other change. Returns false for
  // an unknown server, another incarnation or a sequence that is not newer, and for a server that
  // is down: only Merge() of a newer record clears `down`.
  bool MergeLoad(std::string_view id, std::int64_t incarnation, std::int64_t sequence,
                 const BackendLoad& load, Instant now);

  // Marks the member as down after a new connection to it failed; `by_silence` tells whether it got
  // no reply rather than being refused or broken. Returns the changed record for the other
  // processes; nullopt if the member is unknown or has another incarnation by now.
  std::optional<MemberRecord> ConnectionFailed(std::string_view id, std::int64_t incarnation,
                                               bool by_silence, Instant now);

  // Resets the count of failed connections after the member answered on a connection.
  void ConnectionSucceeded(std::string_view id, std::int64_t incarnation);

  // Removes members that are down or leaving and have not been heard of for longer than `age`.
  void Forget(Duration age, Instant now);

  // Returns the member, or null if it is unknown. The table keeps ownership.
  const Member* Find(std::string_view id) const;

  // Returns whether this incarnation is the latest known one and announced that it is leaving.
  bool IsLeaving(std::string_view id, std::int64_t incarnation) const;

  // Calls the hook for each member in order of the ids.
  void ForEach(const std::function<void(const Member&)>& hook) const;

  // Returns the ids of the routers that are neither leaving nor down.
  std::vector<std::string> LiveRouters() const;

  // Returns a hash of what others need to know. Tables that agree on it have equal digests.
  std::uint64_t digest() const;

  // Returns such a hash for each of kMemberBuckets parts of the table, so that two tables that
  // differ find out where.
  std::vector<std::uint64_t> BucketDigests() const;

  // Returns the part of the table, below kMemberBuckets, in which all tables have this member.
  static std::size_t BucketOf(std::string_view id);

  std::size_t size() const { return members_.size(); }

 private:
  std::uint64_t HashOf(const std::string& id, const Member& member) const;
  // Drops the cached hash of the member and the cached digest.
  void InvalidateDigest(std::string_view id);

  std::map<std::string, Member, std::less<>> members_;
  // Cached hash of each member, for the digest; missing after a change to what it covers.
  mutable std::map<std::string, std::uint64_t, std::less<>> hashes_;
  // Cached digest; nullopt after a change to what it covers.
  mutable std::optional<std::uint64_t> digest_;
};

}  // namespace kumquat
