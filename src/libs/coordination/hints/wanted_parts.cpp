#include "coordination/hints/wanted_parts.h"

#include <algorithm>
#include <utility>

namespace kumquat {
namespace {

// A router repeats a key that it uses after this time, so that replicas that lost it learn it anew.
constexpr Duration kRepeatInterval = std::chrono::seconds(5);
// A part that no router has used for this long isn't wanted any more.
constexpr Duration kWantedLifetime = std::chrono::seconds(120);
// Bounds the memory of each side. Those that are no longer in use are dropped beyond it.
constexpr std::size_t kMaxKeys = 50'000;

void DropUnused(std::unordered_map<std::uint64_t, Instant>* keys, Duration lifetime, Instant now) {
  std::erase_if(*keys, [&](const auto& entry) { return now - entry.second > lifetime; });
  // More are in use than fit; whoever still wants one says so again.
  if (keys->size() > kMaxKeys) keys->clear();
}

}  // namespace

std::vector<std::uint64_t> WantedParts::Note(std::span<const std::uint64_t> keys, Instant now) {
  if (wanted_at_.size() + keys.size() > kMaxKeys) DropUnused(&wanted_at_, kWantedLifetime, now);
  std::vector<std::uint64_t> added;
  for (const std::uint64_t key : keys) {
    if (wanted_at_.insert_or_assign(key, now).second) added.push_back(key);
  }
  return added;
}

std::optional<CacheNews> WantedParts::Pass(CacheNews news) {
  std::erase_if(news.changes,
                [this](const PartChange& change) { return !wanted_at_.contains(change.key); });
  if (news.is_snapshot) return news;
  Passed& passed = passed_[news.source];
  const bool begins_anew = news.from == 0 || news.epoch != passed.epoch;
  if (begins_anew) {
    passed = {news.epoch, news.next};
    return news;
  }
  if (news.changes.empty()) return std::nullopt;
  news.from = passed.next;
  passed.next = std::max(passed.next, news.next);
  return news;
}

void PartInterest::Use(std::uint64_t key, Instant now) {
  const auto [told, is_new] = told_at_.try_emplace(key, now);
  if (!is_new && now - told->second < kRepeatInterval) return;
  told->second = now;
  untold_.push_back(key);
  if (told_at_.size() > kMaxKeys) DropUnused(&told_at_, kRepeatInterval, now);
}

std::vector<std::uint64_t> PartInterest::Take() { return std::exchange(untold_, {}); }

}  // namespace kumquat
