// Tests PartIndex with sources whose events arrive twice, late, from two readers and with gaps.
#include "coordination/forwarding/part_index.h"

#include <map>

#include "property.h"

namespace kumquat {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A source with its events since its last restart.
struct Source {
  std::int64_t epoch = 1;
  std::vector<PartChange> events;

  void Restart() {
    ++epoch;
    events.clear();
  }

  std::map<std::uint64_t, std::int64_t> Held() const {
    std::map<std::uint64_t, std::int64_t> held;
    for (const PartChange& event : events) {
      if (event.tokens > 0) {
        held[event.key] = event.tokens;
      } else {
        held.erase(event.key);
      }
    }
    return held;
  }

  CacheNews Read(std::size_t from, std::size_t to) const {
    CacheNews news{"engine", epoch, static_cast<std::int64_t>(from), static_cast<std::int64_t>(to),
                   false,    {}};
    for (std::size_t i = from; i < to; ++i) news.changes.push_back(events[i]);
    return news;
  }

  CacheNews Snapshot() const {
    CacheNews news{"engine", epoch, 0, static_cast<std::int64_t>(events.size()), true, {}};
    for (const auto& [key, tokens] : Held()) news.changes.push_back({key, tokens});
    return news;
  }
};

TEST_CASE("After the last event is applied the index equals the source, whatever was lost before") {
  CheckProperty("index follows source", [] {
    Source source;
    PartIndex index;
    const auto steps = *rc::gen::container<std::vector<int>>(80, rc::gen::inRange(0, 100));
    for (const int step : steps) {
      if (step == 0) source.Restart();
      const auto key = static_cast<std::uint64_t>(step % 7);
      source.events.push_back({key, step % 3 == 0 ? 0 : 100});
      // Readers deliver an arbitrary range of events; some deliveries are lost.
      const std::size_t size = source.events.size();
      const std::size_t from = *rc::gen::inRange<std::size_t>(0, size);
      const std::size_t to = *rc::gen::inRange<std::size_t>(from, size) + 1;
      if (step % 5 == 0) continue;
      if (!index.Apply(source.Read(from, to)) && step % 2 == 0) index.Apply(source.Snapshot());
    }
    // Finally the last event is delivered, and a snapshot if events before it are missing.
    if (!index.Apply(source.Read(source.events.size() - 1, source.events.size()))) {
      RC_ASSERT(index.Apply(source.Snapshot()));
    }
    const auto held = source.Held();
    RC_ASSERT(index.size() == held.size());
    for (std::uint64_t key = 0; key < 7; ++key) {
      const KeyedPart part{key, 100};
      const std::int64_t expected = held.contains(key) ? 100 : 0;
      RC_ASSERT(index.LeadingTokens("engine", {&part, 1}, seconds(1)) == expected);
    }
  });
}

TEST_CASE("Only leading parts count, up to the first that is held incompletely") {
  PartIndex index;
  CHECK(index.Apply({"engine", 1, 0, 3, false, {{1, 50}, {2, 20}, {3, 70}}}));
  const std::vector<KeyedPart> parts = {{1, 50}, {2, 40}, {3, 70}};
  CHECK(index.LeadingTokens("engine", parts, seconds(1)) == 70);
  CHECK(index.LeadingTokens("other", parts, seconds(1)) == 0);
  CHECK(index.IsKnown("engine"));
  index.Forget("engine");
  CHECK(!index.IsKnown("engine"));
}

TEST_CASE("An expected part counts as held until an event contradicts it or the time is over") {
  PartIndex index;
  const std::vector<KeyedPart> parts = {{1, 50}};
  index.Expect("engine", parts, seconds(1));
  CHECK(index.LeadingTokens("engine", parts, seconds(1)) == 50);
  CHECK(index.LeadingTokens("engine", parts, seconds(4)) == 0);
  index.Expect("engine", parts, seconds(5));
  CHECK(index.Apply({"engine", 1, 0, 1, false, {{1, 0}}}));
  CHECK(index.LeadingTokens("engine", parts, seconds(5)) == 0);
}

}  // namespace
}  // namespace kumquat
