#include "coordination/hints/hint_outbox.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace kumquat {
namespace {

// Routers ignore a load that wasn't repeated for this long.
constexpr Duration kLoadLifetime = std::chrono::milliseconds(1500);
// Allowance that wasn't used is kept for this long.
constexpr Duration kBurst = std::chrono::milliseconds(100);
// The number of a router that has been told nothing.
constexpr std::int64_t kNothing = -1;
constexpr std::int64_t kBytesPerChange = 12;
constexpr std::int64_t kBytesPerNews = 48;

std::int64_t SizeOf(const CacheNews& news) {
  return kBytesPerNews + kBytesPerChange * static_cast<std::int64_t>(news.changes.size());
}

bool BeginsAnew(const CacheNews& news) { return news.is_snapshot || news.from == 0; }

// Keeps the last change of each key, in the order of the first ones.
void MergeChanges(std::vector<PartChange>* changes) {
  std::unordered_map<std::uint64_t, std::size_t> places;
  std::vector<PartChange> merged;
  for (const PartChange& change : *changes) {
    const auto [place, is_new] = places.try_emplace(change.key, merged.size());
    if (is_new) {
      merged.push_back(change);
    } else {
      merged[place->second] = change;
    }
  }
  *changes = std::move(merged);
}

// Appends later news of the same source to earlier ones. Returns false if they don't join on.
bool Append(const CacheNews& later, CacheNews* news) {
  if (BeginsAnew(later)) {
    *news = later;
    return true;
  }
  if (later.epoch != news->epoch || later.from != news->next) return false;
  news->next = later.next;
  news->changes.insert(news->changes.end(), later.changes.begin(), later.changes.end());
  return true;
}

}  // namespace

HintOutbox::HintOutbox(const HintLimits& limits, HintOutboxHooks hooks)
    : limits_(limits),
      hooks_(std::move(hooks)),
      messages_(limits.messages_per_second, kBurst),
      bytes_(limits.bytes_per_second, kBurst) {}

void HintOutbox::AddCache(CacheNews news) {
  kept_bytes_ += SizeOf(news);
  changes_.push_back({++last_number_, std::move(news)});
  while (kept_bytes_ > limits_.max_kept_bytes && changes_.size() > 1) {
    kept_bytes_ -= SizeOf(changes_.front().news);
    dropped_number_ = changes_.front().number;
    changes_.pop_front();
    ++counts_.dropped;
  }
}

void HintOutbox::AddLoad(const RouterLoad& load, Instant now) {
  ++last_number_;
  Sender& sender = senders_[load.router];
  sender.heard_at = now;
  for (const EngineLoad& sent : load.engines) {
    Engine& engine = engines_[sent.engine];
    engine.loads[load.router] = {sent, now};
    engine.number = last_number_;
    sender.engines.insert(sent.engine);
  }
}

void HintOutbox::Flush(const std::vector<std::string>& routers, Instant now) {
  messages_.Refill(now);
  bytes_.Refill(now);
  DropOldLoads(now);
  KeepOnly(routers);
  std::vector<std::string> order = routers;
  std::sort(order.begin(), order.end());
  // The round goes on after the router that was served last, so that none is left out.
  std::rotate(order.begin(), std::upper_bound(order.begin(), order.end(), last_served_),
              order.end());
  // Most routers have been told the same.
  std::map<std::int64_t, std::string> encoded_since;
  for (const std::string& router : order) {
    std::int64_t& told = told_.at(router);
    if (told < dropped_number_) told = kNothing;
    if (told == last_number_) continue;
    if (!messages_.has_any() || !bytes_.has_any()) {
      ++counts_.allowance_used_up;
      break;
    }
    if (!MaySend(router)) continue;
    auto encoded = encoded_since.find(told);
    if (encoded == encoded_since.end()) {
      encoded = encoded_since.emplace(told, Encode(NewsSince(told))).first;
    }
    if (senders_.contains(router)) Send(router, Encode(EchoOf(router)));
    Send(router, encoded->second);
    told = last_number_;
    last_served_ = router;
  }
  DropOldChanges();
}

bool HintOutbox::SendSnapshot(const std::string& router, const CacheNews& snapshot, Instant now) {
  messages_.Refill(now);
  bytes_.Refill(now);
  if (!messages_.has_any() || !bytes_.has_any()) {
    ++counts_.allowance_used_up;
    return false;
  }
  if (!MaySend(router)) return false;
  Send(router, Encode(snapshot));
  return true;
}

bool HintOutbox::MaySend(const std::string& router) {
  if (hooks_.waiting_bytes(router) <= limits_.max_waiting_bytes) return true;
  ++counts_.links_full;
  return false;
}

void HintOutbox::Send(const std::string& router, std::string_view encoded) {
  const auto size = static_cast<std::int64_t>(encoded.size());
  messages_.Use(1);
  bytes_.Use(size);
  ++counts_.messages;
  counts_.bytes += size;
  hooks_.send(router, encoded);
}

void HintOutbox::KeepOnly(const std::vector<std::string>& routers) {
  std::map<std::string, std::int64_t> told;
  for (const std::string& router : routers) {
    const auto known = told_.find(router);
    told[router] = known != told_.end() ? known->second : kNothing;
  }
  told_ = std::move(told);
}

void HintOutbox::DropOldLoads(Instant now) {
  for (auto& [router, sender] : senders_) {
    const auto engines = sender.engines;
    for (const std::string& engine : engines) {
      const Load& load = engines_.at(engine).loads.at(router);
      if (now - load.heard_at > kLoadLifetime) RemoveLoad(router, engine);
    }
  }
  std::erase_if(senders_, [now](const auto& entry) {
    return entry.second.engines.empty() && now - entry.second.heard_at > kLoadLifetime;
  });
  std::erase_if(engines_, [&](const auto& entry) {
    return entry.second.loads.empty() && entry.second.number <= OldestTold();
  });
}

void HintOutbox::RemoveLoad(const std::string& router, const std::string& engine) {
  Engine& changed = engines_.at(engine);
  changed.loads.erase(router);
  changed.number = ++last_number_;
  senders_.at(router).engines.erase(engine);
}

// Drops what all routers have been told.
void HintOutbox::DropOldChanges() {
  const std::int64_t oldest = OldestTold();
  while (!changes_.empty() && changes_.front().number <= oldest) {
    kept_bytes_ -= SizeOf(changes_.front().news);
    changes_.pop_front();
  }
}

std::int64_t HintOutbox::OldestTold() const {
  std::int64_t oldest = last_number_;
  for (const auto& [router, told] : told_) oldest = std::min(oldest, told);
  return oldest;
}

HintNews HintOutbox::NewsSince(std::int64_t number) const {
  HintNews news;
  if (number == kNothing) {
    news.cache = hooks_.whole();
  } else {
    AddCacheSince(number, &news);
  }
  AddLoadsSince(number, &news);
  return news;
}

void HintOutbox::AddCacheSince(std::int64_t number, HintNews* news) const {
  std::unordered_map<std::string, std::size_t> places;
  const auto first = std::upper_bound(
      changes_.begin(), changes_.end(), number,
      [](std::int64_t told, const Change& change) { return told < change.number; });
  for (auto change = first; change != changes_.end(); ++change) {
    const auto [place, is_new] = places.try_emplace(change->news.source, news->cache.size());
    if (!is_new && Append(change->news, &news->cache[place->second])) continue;
    place->second = news->cache.size();
    news->cache.push_back(change->news);
  }
  for (CacheNews& one : news->cache) MergeChanges(&one.changes);
}

void HintOutbox::AddLoadsSince(std::int64_t number, HintNews* news) const {
  news->routers = static_cast<std::int64_t>(senders_.size());
  for (const auto& [name, engine] : engines_) {
    if (engine.number > number) news->loads.push_back(SumOf(name, engine));
  }
}

// Returns the sum over the loads of the engine's newest incarnation.
EngineLoad HintOutbox::SumOf(const std::string& name, const Engine& engine) {
  EngineLoad sum;
  sum.engine = name;
  for (const auto& [router, entry] : engine.loads) {
    const EngineLoad& load = entry.load;
    if (load.incarnation < sum.incarnation) continue;
    if (load.incarnation > sum.incarnation) sum = {name, load.incarnation, 0, 0, 0};
    sum.tokens += load.tokens;
    sum.urgent_tokens += load.urgent_tokens;
    sum.held_tokens += load.held_tokens;
  }
  return sum;
}

LoadNews HintOutbox::EchoOf(const std::string& router) const {
  RouterLoad echo;
  echo.router = router;
  for (const std::string& engine : senders_.at(router).engines) {
    echo.engines.push_back(engines_.at(engine).loads.at(router).load);
  }
  return {{echo}};
}

}  // namespace kumquat
