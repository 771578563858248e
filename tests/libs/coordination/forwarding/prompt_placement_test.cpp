#include "coordination/forwarding/prompt_placement.h"

#include <fmt/format.h>

#include <random>

#include "property.h"

namespace kumquat {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Endpoint kStore{"10.9.9.9", 80};

// Engines with weights of version 1, and a router's placement over them.
struct Fixture {
  explicit Fixture(int engines) {
    for (int i = 0; i < engines; ++i) {
      Announcement announcement;
      announcement.backend_id = fmt::format("e{}", i);
      announcement.service = "lm";
      announcement.endpoint = {"10.0.0." + std::to_string(i + 1), 80};
      announcement.concurrent_requests = 64;
      announcement.models = {{"m", "", "1"}};
      pool.Update(RecordOf(announcement));
    }
  }

  PromptChoice Choose(const Prompt& prompt,
                      const PromptContext& setting = {"", kStore, 0, "", {}}) {
    const auto candidates = pool.Candidates("lm", {}, now);
    return placement.Choose(prompt, setting, candidates, now);
  }

  // Chooses an engine and records the request as sent.
  PromptChoice Place(const Prompt& prompt, const PromptContext& setting = {"", kStore, 0, "", {}}) {
    PromptChoice choice = Choose(prompt, setting);
    dispatch = placement.Sent(choice, now);
    return choice;
  }

  // Reports by a snapshot of its events that the source holds these parts.
  void SetHeld(const std::string& source, const std::vector<std::string>& parts,
               std::int64_t version = 1) {
    CacheNews news{source, 1, 0, static_cast<std::int64_t>(parts.size()), true, {}};
    for (const std::string& part : parts) {
      news.changes.push_back({PartKey(CacheSaltOf(version, ""), part), 3000});
    }
    index.Apply(news);
  }

  std::mt19937_64 generator{1};
  DispatchId dispatch = 0;
  Instant now = seconds(10);
  BackendPool pool;
  NamedWeights named;
  PartIndex index;
  PromptPlacement placement{{}, &named, &index, [this] { return generator(); }};
};

Prompt PromptOf(const std::string& session, const std::string& own) {
  Prompt prompt;
  prompt.model = "m";
  prompt.parts = {{"common", 3000}, {session, 3000}, {own, 1000}};
  prompt.tokens = 7000;
  return prompt;
}

TEST_CASE("A request is placed on the engine that holds most of its shared parts") {
  Fixture fixture(6);
  fixture.SetHeld("e4", {"common", "s1"});
  fixture.SetHeld("e2", {"common"});
  const PromptChoice choice = fixture.Choose(PromptOf("s1", "own"));
  CHECK(choice.backend->id == "e4");
  CHECK(!choice.fetch_from);
}

TEST_CASE("When the engine that holds the parts has a queue, other engines take requests too") {
  Fixture fixture(3);
  fixture.SetHeld("e0", {"common", "s1"});
  PromptChoice choice;
  for (int i = 0; i < 5; ++i) choice = fixture.Place(PromptOf("s1", "own" + std::to_string(i)));
  CHECK(choice.backend->id != "e0");
  int on_holder = 0;
  for (int i = 5; i < 35; ++i) {
    choice = fixture.Place(PromptOf("s1", "own" + std::to_string(i)));
    on_holder += choice.backend->id == "e0" ? 1 : 0;
  }
  // More than a third of the requests of one busy session go to engines other than the holder.
  CHECK(on_holder < 20);
}

TEST_CASE("A choice that is not sent adds no load to the engine") {
  Fixture fixture(2);
  fixture.SetHeld("e0", {"common", "s1"});
  for (int i = 0; i < 50; ++i) fixture.Choose(PromptOf("s1", "own"));
  CHECK(fixture.Choose(PromptOf("s1", "own")).backend->id == "e0");
  CHECK(fixture.placement.TakeSentLoads(fixture.now).empty());
}

TEST_CASE("Parts that no engine holds come from the store, and parts it lacks are saved there") {
  Fixture fixture(3);
  PromptChoice first = fixture.Place(PromptOf("s1", "own1"));
  CHECK(first.save_to == kStore);
  CHECK(!first.fetch_from);
  fixture.now += seconds(5);
  fixture.SetHeld(kStore.ToString(), {"common", "s1"});
  const PromptChoice second = fixture.Choose(PromptOf("s1", "own2"));
  CHECK(second.fetch_from == kStore);
  CHECK(!second.save_to);
  // Without a store nothing is fetched or saved.
  fixture.now += seconds(5);
  const PromptChoice third = fixture.Choose(PromptOf("s2", "own3"), {"", std::nullopt, 0, "", {}});
  CHECK(!third.fetch_from);
  CHECK(!third.save_to);
}

TEST_CASE("Parts cached under other weights or in another cache scope are not fetched") {
  Fixture fixture(2);
  fixture.SetHeld("e1", {"common", "s1"}, 7);
  CHECK(!fixture.Choose(PromptOf("s1", "own"), {"", std::nullopt, 0, "", {}}).fetch_from);
  Fixture scoped(2);
  scoped.SetHeld("e0", {"common", "s1"});
  scoped.SetHeld("e1", {"common", "s1"});
  CHECK(!scoped.Choose(PromptOf("s1", "own"), {"workshop", std::nullopt, 0, "", {}}).fetch_from);
  CHECK(CacheSaltOf(1, "a") != CacheSaltOf(1, "b"));
  CHECK(CacheSaltOf(1, "a") != CacheSaltOf(2, "a"));
}

TEST_CASE("Engines with the newest weights are preferred after the grace period") {
  Fixture fixture(2);
  fixture.pool.Find({"e0", 0})->weights["m"] = 2;
  fixture.named.Learn("m", 2, fixture.now);
  fixture.now += seconds(3);
  int on_new = 0;
  for (int i = 0; i < 10; ++i) {
    const PromptChoice choice = fixture.Place(PromptOf(fmt::format("s{}", i), "own"));
    on_new += choice.backend->id == "e0" ? 1 : 0;
    fixture.placement.Ended(fixture.dispatch, fixture.now);
    fixture.now += milliseconds(300);
  }
  CHECK(on_new == 10);
}

TEST_CASE("Weights count as replaced from the earliest report of the first newer version") {
  NamedWeights named;
  CHECK(!named.TimeSinceReplaced("m", 1, seconds(9)));
  named.Learn("m", 2, seconds(3));
  named.Learn("m", 4, seconds(5));
  CHECK(named.TimeSinceReplaced("m", 1, seconds(9)) == seconds(6));
  CHECK(named.TimeSinceReplaced("m", 3, seconds(9)) == seconds(4));
  CHECK(!named.TimeSinceReplaced("m", 4, seconds(9)));
  named.Learn("m", 2, seconds(8));
  CHECK(named.TimeSinceReplaced("m", 1, seconds(9)) == seconds(6));
  // Another process learned of the version earlier.
  named.Learn("m", 2, seconds(1));
  CHECK(named.TimeSinceReplaced("m", 1, seconds(9)) == seconds(8));
  REQUIRE(named.NextVersion("m", 1));
  CHECK(named.NextVersion("m", 1)->version == 2);
  CHECK(named.NextVersion("m", 1)->at == seconds(1));
  REQUIRE(named.NextVersion("m", 2));
  CHECK(named.NextVersion("m", 2)->version == 4);
  CHECK(!named.NextVersion("m", 4));
  CHECK(named.Newest("m") == 4);
}

}  // namespace
}  // namespace kumquat
