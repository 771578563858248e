#include "coordination/membership/member_table.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

#include "protocol/json_fields.h"
#include "utils/durations.h"

namespace kumquat {
namespace {

constexpr Duration kMinRetryDelay = std::chrono::milliseconds(200);
constexpr Duration kMaxRetryDelay = std::chrono::seconds(5);

// Returns a key that is higher for the record that takes precedence; see MemberRecord.
auto PrecedenceOf(const MemberRecord& record) {
  const bool is_proven_down = record.down && !record.is_silent;
  return std::tuple(record.incarnation, record.sequence, record.down, is_proven_down);
}

// Returns the record without the fields that change with each announcement.
MemberRecord WithoutVolatileFields(MemberRecord record) {
  record.sequence = 0;
  record.is_silent = record.is_silent && record.down;
  if (record.backend) {
    record.backend->sequence = 0;
    record.backend->load = {};
  }
  return record;
}

}  // namespace

MergeOutcome MemberTable::Merge(const MemberRecord& record, Instant now) {
  const auto [entry, is_new] = members_.try_emplace(record.id);
  Member& member = entry->second;
  MemberRecord merged = record;
  if (record.leaving) merged.MarkLeaving();
  if (is_new) {
    InvalidateDigest(record.id);
    member.record = std::move(merged);
    member.heard_at = now;
    member.load_reported_at = now;
    return MergeOutcome::kChanged;
  }
  const bool same_incarnation = record.incarnation == member.record.incarnation;
  if (PrecedenceOf(record) <= PrecedenceOf(member.record)) {
    // Leaving applies to the whole incarnation, so it is merged from an older record too.
    if (!same_incarnation || !record.leaving || member.record.leaving) return MergeOutcome::kStale;
    member.record.MarkLeaving();
    InvalidateDigest(record.id);
    return MergeOutcome::kChanged;
  }
  if (same_incarnation && member.record.leaving) merged.MarkLeaving();
  const bool changed = WithoutVolatileFields(merged) != WithoutVolatileFields(member.record);
  if (changed) InvalidateDigest(record.id);
  member.record = std::move(merged);
  member.heard_at = now;
  if (!record.down) member.load_reported_at = now;
  if (!same_incarnation) member.failed_connections = 0;
  return changed ? MergeOutcome::kChanged : MergeOutcome::kRefreshed;
}

bool MemberTable::MergeLoad(std::string_view id, std::int64_t incarnation, std::int64_t sequence,
                            const BackendLoad& load, Instant now) {
  const auto entry = members_.find(id);
  if (entry == members_.end() || !entry->second.record.backend) return false;
  Member& member = entry->second;
  MemberRecord& record = member.record;
  if (record.incarnation != incarnation || record.down || sequence <= record.sequence) return false;
  record.sequence = sequence;
  record.backend->sequence = sequence;
  record.backend->load = load;
  member.heard_at = now;
  member.load_reported_at = now;
  return true;
}

std::optional<MemberRecord> MemberTable::ConnectionFailed(std::string_view id,
                                                          std::int64_t incarnation, bool by_silence,
                                                          Instant now) {
  const auto entry = members_.find(id);
  if (entry == members_.end() || entry->second.record.incarnation != incarnation) {
    return std::nullopt;
  }
  Member& member = entry->second;
  ++member.failed_connections;
  member.retry_at =
      now + DoubledPause(kMinRetryDelay, kMaxRetryDelay, member.failed_connections - 1);
  member.record.is_silent = by_silence && (member.record.is_silent || !member.record.down);
  member.record.down = true;
  InvalidateDigest(id);
  return member.record;
}

void MemberTable::ConnectionSucceeded(std::string_view id, std::int64_t incarnation) {
  const auto entry = members_.find(id);
  if (entry == members_.end() || entry->second.record.incarnation != incarnation) return;
  entry->second.failed_connections = 0;
}

void MemberTable::Forget(Duration age, Instant now) {
  std::erase_if(members_, [&](const auto& entry) {
    const Member& member = entry.second;
    const bool is_gone = member.record.down || member.record.leaving;
    const bool is_forgotten = is_gone && now - member.heard_at > age;
    if (is_forgotten) InvalidateDigest(entry.first);
    return is_forgotten;
  });
}

void MemberTable::InvalidateDigest(std::string_view id) {
  const auto hash = hashes_.find(id);
  if (hash != hashes_.end()) hashes_.erase(hash);
  digest_.reset();
}

const Member* MemberTable::Find(std::string_view id) const {
  const auto entry = members_.find(id);
  return entry == members_.end() ? nullptr : &entry->second;
}

bool MemberTable::IsLeaving(std::string_view id, std::int64_t incarnation) const {
  const Member* member = Find(id);
  return member && member->record.incarnation == incarnation && member->record.leaving;
}

void MemberTable::ForEach(const std::function<void(const Member&)>& hook) const {
  for (const auto& [id, member] : members_) hook(member);
}

std::vector<std::string> MemberTable::LiveRouters() const {
  std::vector<std::string> names;
  for (const auto& [id, member] : members_) {
    const MemberRecord& record = member.record;
    if (record.is_router() && !record.leaving && !record.down) names.push_back(id);
  }
  return names;
}

std::uint64_t MemberTable::digest() const {
  if (digest_) return *digest_;
  std::uint64_t digest = 0;
  for (const auto& [id, member] : members_) digest ^= HashOf(id, member);
  digest_ = digest;
  return digest;
}

std::uint64_t MemberTable::HashOf(const std::string& id, const Member& member) const {
  const auto [hash, is_missing] = hashes_.try_emplace(id);
  if (is_missing) {
    const std::string text = id + ToJsonText(ToJson(WithoutVolatileFields(member.record)));
    hash->second = XXH3_64bits(text.data(), text.size());
  }
  return hash->second;
}

std::vector<std::uint64_t> MemberTable::BucketDigests() const {
  std::vector<std::uint64_t> digests(kMemberBuckets);
  for (const auto& [id, member] : members_) digests[BucketOf(id)] ^= HashOf(id, member);
  return digests;
}

std::size_t MemberTable::BucketOf(std::string_view id) {
  return XXH3_64bits(id.data(), id.size()) % kMemberBuckets;
}

}  // namespace kumquat
