// Tests what proves that a run was lost with a crash of its server.
#include "coordination/forwarding/lost_runs.h"

#include <fmt/format.h>

#include <doctest/doctest.h>

#include <string>

namespace kumquat {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kLost = seconds(100);
const BackendChoice kServer{"s1", 5};

LostRuns WithOneRun() {
  LostRuns runs;
  runs.Add(kServer, {"q1", {{"digest", 1}}, kLost});
  return runs;
}

TEST_CASE("A refused connection soon after the loss proves a crash, once") {
  LostRuns runs = WithOneRun();
  CHECK(runs.Unproven(kLost).size() == 1);
  CHECK(runs.OnRefused({"s1", 4}, kLost).empty());
  const auto proven = runs.OnRefused(kServer, kLost + milliseconds(1));
  REQUIRE(proven.size() == 1);
  CHECK(proven[0].suspects == std::vector<Suspect>{{"digest", 1}});
  CHECK(runs.OnRefused(kServer, kLost + milliseconds(2)).empty());
  CHECK(runs.Unproven(kLost).empty());
}

TEST_CASE(
    "A server that refuses seconds later, or takes connections, isn't proven to have crashed") {
  LostRuns late = WithOneRun();
  CHECK(late.OnRefused(kServer, kLost + seconds(3)).empty());
  LostRuns reached = WithOneRun();
  reached.OnReachable(kServer, kLost + milliseconds(300));
  CHECK(reached.Unproven(kLost).empty());
  CHECK(reached.OnLaterIncarnation(kServer, kLost + seconds(5)).empty());
}

TEST_CASE("A server that takes a connection right after the loss may still prove to have crashed") {
  LostRuns runs = WithOneRun();
  runs.OnReachable(kServer, kLost - milliseconds(1));
  runs.OnReachable(kServer, kLost + milliseconds(1));
  CHECK(runs.IsUnproven(kServer, kLost + milliseconds(50)));
  CHECK(runs.Unproven(kLost + milliseconds(50)).size() == 1);
  CHECK(runs.OnRefused(kServer, kLost + milliseconds(51)).size() == 1);
  CHECK_FALSE(runs.IsUnproven(kServer, kLost + milliseconds(52)));
}

TEST_CASE("A connection settles nothing about a run that was lost after it was begun") {
  LostRuns runs = WithOneRun();
  runs.Add(kServer, {"q2", {{"digest", 1}}, kLost + milliseconds(200)});
  runs.OnReachable(kServer, kLost + milliseconds(300));
  CHECK(runs.IsUnproven(kServer, kLost + milliseconds(350)));
  runs.OnReachable(kServer, kLost + milliseconds(500));
  CHECK_FALSE(runs.IsUnproven(kServer, kLost + milliseconds(550)));
}

TEST_CASE("A later incarnation proves the crash of one that fell silent") {
  LostRuns runs = WithOneRun();
  CHECK_FALSE(runs.OlderIncarnation("s1", 5));
  CHECK_FALSE(runs.OlderIncarnation("s2", 6));
  CHECK(runs.OlderIncarnation("s1", 6) == kServer);
  CHECK(runs.OnLaterIncarnation(kServer, kLost + seconds(5)).size() == 1);
  LostRuns too_late = WithOneRun();
  CHECK(too_late.OnLaterIncarnation(kServer, kLost + seconds(11)).empty());
}

TEST_CASE("Lost runs are bounded and forgotten") {
  LostRuns runs;
  for (int server = 0; server < 1000; ++server) {
    for (int i = 0; i < 100; ++i) {
      runs.Add({fmt::format("s{}", server), 1}, {std::to_string(i), {{"digest", 1}}, kLost});
    }
  }
  CHECK(runs.Unproven(kLost).size() == LostRuns::kMaxBackends);
  CHECK(runs.OnRefused({"s0", 1}, kLost).size() == LostRuns::kMaxRuns);
  CHECK(runs.Unproven(kLost + seconds(11)).empty());
  runs.Add({"another", 1}, {"q", {{"digest", 1}}, kLost + seconds(11)});
  CHECK(runs.Unproven(kLost + seconds(11)).size() == 1);
}

}  // namespace
}  // namespace kumquat
