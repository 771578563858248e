#include "engine/cache_event_feed.h"

#include <utility>

namespace kumquat {
namespace {

constexpr std::size_t kMaxEntries = 20'000;
constexpr std::size_t kMaxEventsPerAnswer = 2000;

}  // namespace

CacheEventFeed::CacheEventFeed(Duration delay, std::int64_t loss_percent, Clock clock,
                               Random random)
    : delay_(delay),
      loss_percent_(loss_percent),
      clock_(std::move(clock)),
      random_(std::move(random)) {}

void CacheEventFeed::Add(const std::vector<CacheChange>& changes) {
  for (const CacheChange& change : changes) {
    const bool lost = static_cast<std::int64_t>(random_() % 100) < loss_percent_;
    entries_.push_back({clock_() + delay_, {++last_sequence_, change.stored, change.block}, lost});
    if (entries_.size() > kMaxEntries) entries_.pop_front();
  }
}

std::vector<CacheEvent> CacheEventFeed::EventsAfter(std::int64_t after,
                                                    std::int64_t* last_sequence) const {
  std::vector<CacheEvent> events;
  *last_sequence = after;
  for (const Entry& entry : entries_) {
    if (entry.shown_at > clock_() || events.size() >= kMaxEventsPerAnswer) break;
    if (entry.event.sequence <= after) continue;
    *last_sequence = entry.event.sequence;
    if (!entry.lost) events.push_back(entry.event);
  }
  return events;
}

}  // namespace kumquat
