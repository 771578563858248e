#include "member_flood.h"

#include <utility>

namespace kumquat {
namespace {

constexpr Duration kBurst = std::chrono::milliseconds(100);

}  // namespace

MemberFlood::MemberFlood(std::int64_t messages_per_second, Send send)
    : send_(std::move(send)), allowance_(messages_per_second, kBurst) {}

// The directory passes on each record as it is in its table, so that a later one is never older.
void MemberFlood::Add(std::span<const MemberRecord> records, std::span<const std::string> routers,
                      Instant now) {
  for (const MemberRecord& record : records) waiting_[record.id] = record;
  Flush(routers, now);
}

void MemberFlood::Flush(std::span<const std::string> routers, Instant now) {
  allowance_.Refill(now);
  if (waiting_.empty() || !allowance_.has_any()) return;
  GossipMessage message;
  for (auto& [id, record] : std::exchange(waiting_, {})) {
    message.records.push_back(std::move(record));
  }
  if (routers.empty()) return;
  allowance_.Use(static_cast<std::int64_t>(routers.size()));
  send_(routers, message);
}

}  // namespace kumquat
