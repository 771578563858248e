#include "coordination/hints/wanted_parts.h"

#include <doctest/doctest.h>

#include <array>
#include <map>
#include <random>
#include <set>
#include <vector>

#include "coordination/forwarding/part_index.h"

namespace kumquat {
namespace {

using std::chrono::seconds;

constexpr Instant kNow = seconds(10);

std::vector<std::uint64_t> Note(WantedParts& wanted, std::vector<std::uint64_t> keys) {
  return wanted.Note(keys, kNow);
}

TEST_CASE("Only changes of wanted parts are passed, and they join on to each other") {
  WantedParts wanted;
  CHECK(Note(wanted, {7, 8}) == std::vector<std::uint64_t>{7, 8});
  CHECK(Note(wanted, {8, 9}) == std::vector<std::uint64_t>{9});
  CHECK(wanted.Pass({"e1", 1, 0, 2, false, {{7, 100}, {1, 100}}}) ==
        CacheNews{"e1", 1, 0, 2, false, {{7, 100}}});
  CHECK_FALSE(wanted.Pass({"e1", 1, 2, 5, false, {{1, 0}, {2, 100}}}));
  CHECK(wanted.Pass({"e1", 1, 5, 6, false, {{8, 100}, {3, 100}}}) ==
        CacheNews{"e1", 1, 2, 6, false, {{8, 100}}});
}

TEST_CASE("A source that begins anew is passed on even if nothing of it is wanted") {
  WantedParts wanted;
  CHECK(wanted.Pass({"e1", 1, 0, 2, false, {{7, 100}}}) == CacheNews{"e1", 1, 0, 2, false, {}});
  CHECK(wanted.Pass({"e1", 2, 0, 1, false, {{7, 100}}}) == CacheNews{"e1", 2, 0, 1, false, {}});
}

TEST_CASE("A router tells a key that it uses again only after a while") {
  PartInterest interest;
  interest.Use(7, kNow);
  interest.Use(7, kNow + seconds(1));
  CHECK(interest.Take() == std::vector<std::uint64_t>{7});
  CHECK(interest.Take().empty());
  interest.Use(7, kNow + seconds(6));
  CHECK(interest.Take() == std::vector<std::uint64_t>{7});
}

// What a router knows of wanted parts is what the source holds, whenever parts become wanted.
TEST_CASE("A router that gets all that is passed knows exactly the wanted parts that are held") {
  std::mt19937_64 random(1);
  WantedParts wanted;
  PartIndex index;
  std::map<std::uint64_t, std::int64_t> held;
  std::set<std::uint64_t> wanted_keys;
  std::int64_t next = 0;
  for (int step = 0; step < 2000; ++step) {
    if (random() % 10 == 0) {
      const std::uint64_t key = random() % 40;
      wanted_keys.insert(key);
      for (const std::uint64_t added : Note(wanted, {key})) {
        if (!held.contains(added)) continue;
        const auto news = wanted.Pass({"e1", 1, next, next, false, {{added, held[added]}}});
        REQUIRE(news);
        CHECK(index.Apply(*news));
      }
    }
    const PartChange change{random() % 40, random() % 2 == 0 ? 0 : 100};
    if (change.tokens > 0) {
      held[change.key] = change.tokens;
    } else {
      held.erase(change.key);
    }
    const auto news = wanted.Pass({"e1", 1, next, next + 1, false, {change}});
    ++next;
    if (news) CHECK(index.Apply(*news));
    for (const std::uint64_t key : wanted_keys) {
      const std::array<KeyedPart, 1> part = {KeyedPart{key, 100}};
      CHECK(index.LeadingTokens("e1", part, kNow) == (held.contains(key) ? 100 : 0));
    }
  }
}

}  // namespace
}  // namespace kumquat
