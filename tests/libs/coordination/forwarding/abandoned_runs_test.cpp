// Tests for how long a run that was given up counts as one that may crash its server.
#include "coordination/forwarding/abandoned_runs.h"

#include <fmt/format.h>

#include <doctest/doctest.h>

#include <string>

namespace kumquat {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kAbandoned = seconds(100);
constexpr Instant kEndsBy = kAbandoned + seconds(2);
const BackendChoice kServer{"s1", 5};

LostRun Run(const std::string& id = "q1") { return {id, {{"digest", 1}}, kAbandoned}; }

AbandonedRuns WithOneRun() {
  AbandonedRuns runs;
  runs.Add(kServer, Run(), kEndsBy);
  return runs;
}

TEST_CASE("A refused connection may be the work of a run that was given up before, once") {
  AbandonedRuns runs = WithOneRun();
  CHECK(runs.OnRefused({"s1", 4}, kAbandoned).empty());
  CHECK(runs.OnRefused({"s2", 5}, kAbandoned).empty());
  const auto proven = runs.OnRefused(kServer, kAbandoned + milliseconds(30));
  REQUIRE(proven.size() == 1);
  CHECK(proven[0].request_id == "q1");
  CHECK(runs.OnRefused(kServer, kAbandoned + milliseconds(31)).empty());
}

TEST_CASE("A server that answers after the run had to end has survived it") {
  AbandonedRuns runs = WithOneRun();
  // The run may still be under way.
  runs.OnAnswering(kServer, kEndsBy - milliseconds(1));
  CHECK(runs.size() == 1);
  runs.OnAnswering({"s1", 6}, kEndsBy);
  CHECK(runs.size() == 1);
  runs.OnAnswering(kServer, kEndsBy);
  CHECK(runs.size() == 0);
  CHECK(runs.OnRefused(kServer, kEndsBy).empty());
}

TEST_CASE("A server that leaves doesn't crash when it ends") {
  AbandonedRuns runs = WithOneRun();
  runs.OnLeaving({"s1", 4});
  CHECK(runs.size() == 1);
  runs.OnLeaving(kServer);
  CHECK(runs.OnRefused(kServer, kAbandoned).empty());
}

TEST_CASE("What happens long after the run had to end has another cause") {
  AbandonedRuns refused = WithOneRun();
  CHECK(refused.OnRefused(kServer, kEndsBy + seconds(3)).empty());
  AbandonedRuns restarted = WithOneRun();
  CHECK(restarted.OlderIncarnation("s1", 6) == kServer);
  CHECK_FALSE(restarted.OlderIncarnation("s1", 5));
  CHECK(restarted.OnLaterIncarnation(kServer, kEndsBy + seconds(5)).size() == 1);
  AbandonedRuns late = WithOneRun();
  CHECK(late.OnLaterIncarnation(kServer, kEndsBy + seconds(11)).empty());
  AbandonedRuns forgotten = WithOneRun();
  CHECK(forgotten.Backends(kEndsBy).size() == 1);
  CHECK(forgotten.Backends(kEndsBy + seconds(11)).empty());
  CHECK(forgotten.size() == 0);
}

// Callers may name a deadline that is hours away.
TEST_CASE("A run is expected to end a bounded time after its connection is closed") {
  AbandonedRuns runs;
  runs.Add(kServer, Run(), kAbandoned + std::chrono::hours(5));
  runs.OnAnswering(kServer, kAbandoned + AbandonedRuns::kLongestRun);
  CHECK(runs.size() == 0);
}

TEST_CASE("Abandoned runs are bounded, and the latest ones are kept") {
  AbandonedRuns runs;
  for (int server = 0; server < 1000; ++server) {
    for (int i = 0; i < 100; ++i) {
      runs.Add({fmt::format("s{}", server), 1}, Run(std::to_string(i)), kEndsBy);
    }
  }
  CHECK(runs.size() == AbandonedRuns::kMaxBackends * AbandonedRuns::kMaxRuns);
  const auto kept = runs.OnRefused({"s0", 1}, kAbandoned);
  REQUIRE(kept.size() == AbandonedRuns::kMaxRuns);
  CHECK(kept.back().request_id == "99");
  // A later incarnation takes the place of an earlier one.
  runs.Add({"s1", 2}, Run("later"), kEndsBy);
  runs.Add({"s1", 1}, Run("earlier"), kEndsBy);
  REQUIRE(runs.OnRefused({"s1", 2}, kAbandoned).size() == 1);
}

}  // namespace
}  // namespace kumquat
