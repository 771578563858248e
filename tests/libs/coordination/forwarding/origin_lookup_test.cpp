#include "coordination/forwarding/origin_lookup.h"

#include <doctest/doctest.h>

namespace kumquat {
namespace {

using std::chrono::milliseconds;

const StreamOrigin kOrigin{"lm", "v1"};
const std::string kKey = StreamKey("a", "1");

struct World {
  OriginLookup lookup{{[this] { return now; },
                       [this](std::int64_t number, const std::string&) {
                         asked.push_back(number);
                         return replicas;
                       }}};
  void Find() {
    lookup.Find(kKey, [this](const OriginAnswer& given) { answers.push_back(given); });
  }
  void TickAt(milliseconds at) {
    now = at;
    lookup.Tick();
  }

  Instant now{0};
  std::size_t replicas = 3;
  std::vector<std::int64_t> asked;
  std::vector<OriginAnswer> answers;
};

TEST_CASE("A stream that this router began is known at once, and is told once") {
  World world;
  const StreamRecord record{kKey, kOrigin, milliseconds(500)};
  world.lookup.Note(record);
  world.Find();
  REQUIRE(world.answers.size() == 1);
  CHECK(world.answers[0].origin == kOrigin);
  CHECK(world.asked.empty());
  CHECK(world.lookup.TakeNews() == std::vector{record});
  CHECK(world.lookup.TakeNews().empty());
  CHECK(world.lookup.Records() == std::vector{record});
}

TEST_CASE("The first replica that knows the stream answers for all") {
  World world;
  world.Find();
  REQUIRE(world.asked.size() == 1);
  world.lookup.OnTold(world.asked[0], std::nullopt);
  CHECK(world.answers.empty());
  world.lookup.OnTold(world.asked[0], kOrigin);
  world.lookup.OnTold(world.asked[0], std::nullopt);
  REQUIRE(world.answers.size() == 1);
  CHECK(world.answers[0].verdict == OriginVerdict::kKnown);
  CHECK(world.answers[0].origin == kOrigin);
}

TEST_CASE("A record that is on its way is asked for once more before the stream is unknown") {
  World world;
  world.Find();
  for (int i = 0; i < 3; ++i) world.lookup.OnTold(world.asked[0], std::nullopt);
  world.TickAt(milliseconds(59));
  CHECK(world.asked.size() == 1);
  world.TickAt(milliseconds(60));
  REQUIRE(world.asked.size() == 2);
  SUBCASE("and found") {
    world.lookup.OnTold(world.asked[1], kOrigin);
    REQUIRE(world.answers.size() == 1);
    CHECK(world.answers[0].verdict == OriginVerdict::kKnown);
  }
  SUBCASE("and not found") {
    for (int i = 0; i < 3; ++i) world.lookup.OnTold(world.asked[1], std::nullopt);
    REQUIRE(world.answers.size() == 1);
    CHECK(world.answers[0].verdict == OriginVerdict::kUnknown);
  }
}

TEST_CASE("Without a replica, or with one that doesn't answer, nothing is confirmed") {
  World world;
  SUBCASE("none is linked") {
    world.replicas = 0;
    world.Find();
  }
  SUBCASE("one is silent") {
    world.Find();
    world.lookup.OnTold(world.asked[0], std::nullopt);
    world.lookup.OnTold(world.asked[0], std::nullopt);
    world.TickAt(milliseconds(249));
    CHECK(world.answers.empty());
    world.TickAt(milliseconds(250));
  }
  REQUIRE(world.answers.size() == 1);
  CHECK(world.answers[0].verdict == OriginVerdict::kUnconfirmed);
  CHECK_FALSE(world.answers[0].origin);
}

}  // namespace
}  // namespace kumquat
