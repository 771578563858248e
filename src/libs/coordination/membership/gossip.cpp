#include "coordination/membership/gossip.h"

#include <xxhash.h>

#include <algorithm>
#include <set>

#include "protocol/json_fields.h"

namespace kumquat {
namespace {

constexpr std::size_t kMaxRecords = 10'000;
constexpr int kHexadecimal = 16;

// Reads the digests of a table's parts. Anything but one for each part counts as none.
std::vector<std::uint64_t> BucketsFrom(const QJsonArray& json) {
  std::vector<std::uint64_t> buckets;
  if (json.size() != static_cast<qsizetype>(kMemberBuckets)) return buckets;
  for (const QJsonValue digest : json) {
    buckets.push_back(digest.toString().toULongLong(nullptr, kHexadecimal));
  }
  return buckets;
}

std::vector<std::size_t> WantedBucketsFrom(const QJsonArray& json) {
  std::vector<std::size_t> wanted;
  for (const QJsonValue item : json) {
    const auto bucket = static_cast<std::size_t>(item.toInt(-1));
    if (bucket < kMemberBuckets && wanted.size() < kMemberBuckets) wanted.push_back(bucket);
  }
  return wanted;
}

std::uint64_t RingPosition(std::string_view name) { return XXH3_64bits(name.data(), name.size()); }

}  // namespace

QJsonObject ToJson(const GossipMessage& message) {
  QJsonArray records;
  for (const MemberRecord& record : message.records) records.append(ToJson(record));
  QJsonArray buckets;
  for (const std::uint64_t digest : message.buckets) {
    buckets.append(QString::number(digest, kHexadecimal));
  }
  QJsonArray wanted_buckets;
  for (const std::size_t bucket : message.wanted_buckets) {
    wanted_buckets.append(static_cast<qint64>(bucket));
  }
  QJsonObject json{{"records", records},
                   {"digest", QString::number(message.digest, kHexadecimal)},
                   {"wants_all", message.wants_all}};
  if (!buckets.isEmpty()) json["buckets"] = buckets;
  if (!wanted_buckets.isEmpty()) json["wanted_buckets"] = wanted_buckets;
  return json;
}

std::optional<GossipMessage> ParseGossipMessage(const QJsonObject& json, std::string* reason) {
  GossipMessage message;
  std::string digest;
  JsonFields fields(json);
  fields.Read("digest", &digest).Read("wants_all", &message.wants_all);
  for (const QJsonValue& item : fields.Array("records", kMaxRecords)) {
    std::string record_reason;
    auto record = ParseMemberRecord(item.toObject(), &record_reason);
    if (record) {
      message.records.push_back(std::move(*record));
    } else {
      *reason = record_reason;
    }
  }
  message.digest = ToQString(digest).toULongLong(nullptr, kHexadecimal);
  message.buckets = BucketsFrom(json["buckets"].toArray());
  message.wanted_buckets = WantedBucketsFrom(json["wanted_buckets"].toArray());
  if (fields.ok()) return message;
  *reason = fields.last_reason();
  return std::nullopt;
}

std::optional<GossipMessage> ParseGossipMessage(std::string_view text, std::string* reason) {
  const auto json = ParseJsonObject(text);
  if (json) return ParseGossipMessage(*json, reason);
  *reason = "It is not JSON.";
  return std::nullopt;
}

std::vector<std::string> GossipNeighbours(std::string_view self,
                                          std::span<const std::string> routers,
                                          std::size_t max_neighbours) {
  std::vector<std::string> ring(routers.begin(), routers.end());
  if (std::find(ring.begin(), ring.end(), self) == ring.end()) ring.emplace_back(self);
  std::sort(ring.begin(), ring.end(), [](const std::string& left, const std::string& right) {
    return RingPosition(left) < RingPosition(right);
  });
  const auto position =
      static_cast<std::size_t>(std::find(ring.begin(), ring.end(), self) - ring.begin());
  const bool is_full_mesh = ring.size() <= max_neighbours + 1;
  std::vector<std::string> neighbours;
  for (std::size_t distance = 1; distance < ring.size() && neighbours.size() < max_neighbours;
       distance = is_full_mesh ? distance + 1 : distance * 2) {
    neighbours.push_back(ring[(position + distance) % ring.size()]);
  }
  return neighbours;
}

Gossip::Gossip(MemberTable* table, Send send, Random random)
    : table_(table), send_(std::move(send)), random_(std::move(random)) {}

bool Gossip::Learn(const MemberRecord& record, Instant now) {
  if (table_->Merge(record, now) != MergeOutcome::kChanged) return false;
  const std::vector<MemberRecord> records = {table_->Find(record.id)->record};
  Flood(records, "");
  if (on_changed_) on_changed_(records.front());
  return true;
}

void Gossip::Receive(const std::string& from, const GossipMessage& message, Instant now) {
  std::vector<MemberRecord> changed;
  for (const MemberRecord& record : message.records) {
    if (table_->Merge(record, now) != MergeOutcome::kChanged) continue;
    changed.push_back(table_->Find(record.id)->record);
  }
  if (!changed.empty()) Flood(changed, from);
  if (message.wants_all) SendTable(from);
  SendBuckets(from, DifferingBuckets(message.buckets), true);
  SendBuckets(from, message.wanted_buckets, false);
  if (message.digest != 0 && message.digest != table_->digest()) SyncWith(from);
  if (!on_changed_) return;
  for (const MemberRecord& record : changed) on_changed_(record);
}

void Gossip::Tick() {
  if (neighbours_.empty()) return;
  GossipMessage message;
  message.digest = table_->digest();
  SendTo(neighbours_[random_() % neighbours_.size()], message);
}

void Gossip::SyncWith(const std::string& router) {
  GossipMessage message;
  message.buckets = table_->BucketDigests();
  SendTo(router, message);
}

std::vector<std::size_t> Gossip::DifferingBuckets(std::span<const std::uint64_t> digests) const {
  std::vector<std::size_t> differing;
  if (digests.empty()) return differing;
  const std::vector<std::uint64_t> own = table_->BucketDigests();
  for (std::size_t bucket = 0; bucket < own.size(); ++bucket) {
    if (own[bucket] != digests[bucket]) differing.push_back(bucket);
  }
  return differing;
}

void Gossip::SendBuckets(const std::string& router, std::span<const std::size_t> buckets,
                         bool wants_them) {
  if (buckets.empty()) return;
  const std::set<std::size_t> chosen(buckets.begin(), buckets.end());
  GossipMessage message;
  table_->ForEach([&](const Member& member) {
    if (chosen.contains(MemberTable::BucketOf(member.record.id))) {
      message.records.push_back(member.record);
    }
  });
  if (wants_them) message.wanted_buckets.assign(chosen.begin(), chosen.end());
  records_sent_ += static_cast<std::int64_t>(message.records.size());
  SendTo(router, message);
}

void Gossip::Flood(std::span<const MemberRecord> records, const std::string& except) {
  GossipMessage message;
  message.records.assign(records.begin(), records.end());
  std::vector<std::string> others = neighbours_;
  std::erase(others, except);
  if (others.empty()) return;
  records_sent_ += static_cast<std::int64_t>(records.size() * others.size());
  send_(others, message);
}

void Gossip::SendTo(const std::string& router, const GossipMessage& message) {
  send_(std::span(&router, 1), message);
}

void Gossip::SendTable(const std::string& router) {
  GossipMessage message;
  table_->ForEach([&](const Member& member) { message.records.push_back(member.record); });
  records_sent_ += static_cast<std::int64_t>(message.records.size());
  SendTo(router, message);
}

}  // namespace kumquat
