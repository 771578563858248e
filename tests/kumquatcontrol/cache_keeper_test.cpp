#include "cache_keeper.h"

#include <algorithm>
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "event_loop.h"
#include "property.h"

namespace kumquat {
namespace {

const std::string kStore = "10.0.0.1:80";
constexpr std::int64_t kEpoch = 7;

// A source of events that keeps only the newest ones, and lists all that it holds.
class Source : public BackendClient {
 public:
  std::unique_ptr<BackendCall> Start(BackendCallRequest request, BackendCallHooks hooks) override {
    calls_.emplace_back(std::move(request), std::move(hooks));
    return std::make_unique<BackendCall>();
  }

  void Hold(const std::string& part, std::int64_t tokens) {
    events_.push_back({"salt", part, tokens});
    if (tokens > 0) {
      held_[part] = tokens;
    } else {
      held_.erase(part);
    }
  }

  // Forgets all events but the newest `kept`.
  void ForgetEvents(std::size_t kept) { forgotten_ = events_.size() - kept; }

  // Has no time for the next reads.
  void TurnAway(bool turns_away) { turns_away_ = turns_away; }

  int lists() const { return lists_; }

  // Answers the calls that have come, as a codec would have decoded them.
  void Answer() {
    for (auto& [request, hooks] : std::exchange(calls_, {})) {
      hooks.on_headers(turns_away_ ? 429 : 200, {});
      hooks.on_data(request.target);
      hooks.on_end();
    }
  }

  PartEventCodec Codec() {
    PartEventCodec codec;
    codec.encode_read = [](const Endpoint&, std::int64_t since) {
      BackendCallRequest request;
      request.target = std::to_string(since);
      return request;
    };
    codec.decode_read = [this](int status, std::string_view body) { return Read(status, body); };
    codec.encode_list = [](const Endpoint&) {
      BackendCallRequest request;
      request.target = "list";
      return request;
    };
    codec.decode_list = [this](int, std::string_view) { return List(); };
    return codec;
  }

 private:
  std::optional<PartEvents> Read(int status, std::string_view body) const {
    PartEvents events;
    if (status != 200) return events;
    const std::size_t since = std::stoul(std::string(body));
    const std::size_t first = std::max(since, forgotten_);
    events.epoch = kEpoch;
    events.has_gap = since < forgotten_;
    events.next = static_cast<std::int64_t>(events_.size());
    events.events.assign(events_.begin() + static_cast<std::ptrdiff_t>(first), events_.end());
    return events;
  }

  std::optional<PartEvents> List() {
    ++lists_;
    PartEvents list;
    list.epoch = kEpoch;
    list.next = static_cast<std::int64_t>(events_.size());
    for (const auto& [part, tokens] : held_) list.events.push_back({"salt", part, tokens});
    return list;
  }

  std::vector<PartEvent> events_;
  std::size_t forgotten_ = 0;
  std::map<std::string, std::int64_t> held_;
  bool turns_away_ = false;
  int lists_ = 0;
  std::deque<std::pair<BackendCallRequest, BackendCallHooks>> calls_;
};

// Returns what the keeper knows of the source once `is_enough` says so.
std::map<std::uint64_t, std::int64_t> KnownAfter(CacheKeeper& keeper, Source& source,
                                                 const std::function<bool()>& is_enough) {
  const auto look = [&] {
    source.Answer();
    return is_enough();
  };
  CHECK(RunUntil(look, std::chrono::seconds(20)));
  std::map<std::uint64_t, std::int64_t> known;
  const auto snapshot = keeper.Snapshot(kStore);
  if (!snapshot) return known;
  for (const PartChange& change : snapshot->changes) known[change.key] = change.tokens;
  return known;
}

// After a restart of control a store's old parts were unknown for good: they were read again and
// again, saved again, and no event came of that.
TEST_CASE("What a store held before its oldest event is asked for in a list") {
  for (const bool may_list : {true, false}) {
    CAPTURE(may_list);
    Source source;
    source.Hold("old", 512);
    source.Hold("gone", 64);
    source.Hold("gone", 0);
    source.Hold("new", 128);
    source.ForgetEvents(1);
    int told = 0;
    CacheKeeper keeper(source.Codec(), &source, [&told](const CacheNews&) { ++told; });
    keeper.SetSources({{kStore, *ParseEndpoint(kStore), may_list}});
    const auto known =
        KnownAfter(keeper, source, [&] { return may_list ? source.lists() == 1 : told > 0; });
    CHECK(known.contains(PartKey("salt", "old")) == may_list);
    CHECK(known.contains(PartKey("salt", "new")));
    CHECK_FALSE(known.contains(PartKey("salt", "gone")));
  }
}

TEST_CASE("A source that turns a read away has lost nothing") {
  Source source;
  source.Hold("part", 512);
  int told = 0;
  CacheKeeper keeper(source.Codec(), &source, [&told](const CacheNews&) { ++told; });
  keeper.SetSources({{kStore, *ParseEndpoint(kStore), true}});
  KnownAfter(keeper, source, [&] { return told == 1; });
  source.TurnAway(true);
  int turns = 0;
  const auto known = KnownAfter(keeper, source, [&] { return ++turns > 100; });
  CHECK(known.contains(PartKey("salt", "part")));
  CHECK(told == 1);
}

}  // namespace
}  // namespace kumquat
