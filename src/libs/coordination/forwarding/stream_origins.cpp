#include "coordination/forwarding/stream_origins.h"

#include <QByteArray>
#include <QCryptographicHash>
#include <algorithm>

namespace kumquat {
namespace {

// Bounds what a caller that names a long deadline makes processes keep.
constexpr Duration kMaxLifetime = std::chrono::minutes(10);

QByteArrayView BytesOf(std::string_view text) {
  return {text.data(), static_cast<qsizetype>(text.size())};
}

}  // namespace

std::string StreamKey(std::string_view organisation, std::string_view first_request_id) {
  QCryptographicHash hash(QCryptographicHash::Blake2b_160);
  // The length keeps two pairs of fields from looking the same.
  hash.addData(QByteArray::number(static_cast<qulonglong>(organisation.size())) + ':');
  hash.addData(BytesOf(organisation));
  hash.addData(BytesOf(first_request_id));
  return hash.result().left(kStreamKeyBytes).toStdString();
}

void StreamOrigins::Add(const StreamRecord& record, Instant now) {
  Expire(now);
  const Instant ends = now + std::clamp(record.lifetime, Duration(0), kMaxLifetime);
  const auto [found, is_new] = records_.try_emplace(record.key, Entry{record.origin, ends});
  Entry& entry = found->second;
  if (is_new) {
    ends_.emplace(ends, record.key);
  } else {
    entry.is_ambiguous = entry.is_ambiguous || entry.origin != record.origin;
    entry.ends = std::max(entry.ends, ends);
  }
  if (records_.size() <= max_records_) return;
  records_.erase(ends_.begin()->second);
  ends_.erase(ends_.begin());
}

std::optional<StreamOrigin> StreamOrigins::Find(std::string_view key, Instant now) const {
  const auto found = records_.find(std::string(key));
  if (found == records_.end() || found->second.is_ambiguous) return std::nullopt;
  return now < found->second.ends ? std::optional(found->second.origin) : std::nullopt;
}

std::vector<StreamRecord> StreamOrigins::Records(Instant now) const {
  std::vector<StreamRecord> records;
  for (const auto& [key, entry] : records_) {
    if (now < entry.ends && !entry.is_ambiguous)
      records.push_back({key, entry.origin, entry.ends - now});
  }
  return records;
}

void StreamOrigins::Expire(Instant now) {
  while (!ends_.empty() && ends_.begin()->first <= now) {
    const auto scheduled = ends_.extract(ends_.begin());
    const auto found = records_.find(scheduled.mapped());
    if (found->second.ends <= now) {
      records_.erase(found);
    } else {
      ends_.emplace(found->second.ends, scheduled.mapped());
    }
  }
}

}  // namespace kumquat
