// Tests which lost and abandoned runs CrashWatch counts as crashes of a server.
#include "crash_watch.h"

#include <doctest/doctest.h>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace kumquat {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const BackendChoice kServer{"s1", 5};

// A crash watch that knows one server, and one request that is lost on it.
struct OneServer {
  Instant now = seconds(100);
  bool is_leaving = false;
  std::uint64_t last_random = 0;
  Metrics metrics;
  CrashWatch watch{"r1",
                   {[this] { return now; }, [](const BackendChoice& /*backend*/) {},
                    [](const std::string& /*id*/) { return std::optional(kServer.incarnation); },
                    [this](const BackendChoice& /*backend*/) { return is_leaving; },
                    [](const ControlNews& /*news*/) {}, [this] { return ++last_random; }},
                   &metrics};

  // Loses a run that is sent now, and returns a second later.
  void LoseRun(bool is_sent_time_known = true) {
    LostRun run{"q", {{"digest", kRequestDepth}}, now + milliseconds(500)};
    if (is_sent_time_known) run.sent_at = now;
    now += seconds(1);
    watch.OnRunLost(kServer, run);
  }

  // Gives up a run that is sent now, and returns half a second later.
  void AbandonRun() {
    LostRun run{"q", {{"digest", kRequestDepth}}, now + milliseconds(100)};
    run.sent_at = now;
    now += milliseconds(500);
    watch.OnRunAbandoned(kServer, run, now + seconds(1));
  }

  std::size_t Crashes() {
    const std::vector<SuspectEntry> entries = watch.Summary().entries;
    return entries.empty() ? 0 : entries[0].crashes.size();
  }
};

TEST_CASE("Each refused connection after a run that was sent after the last proves a crash") {
  OneServer server;
  for (std::size_t crashes = 1; crashes <= 3; ++crashes) {
    server.LoseRun();
    server.watch.OnRefused(kServer);
    CHECK(server.Crashes() == crashes);
    server.now += milliseconds(1);
  }
  server.LoseRun(false);
  server.watch.OnRefused(kServer);
  CHECK(server.Crashes() == 3);
}

// Guards against a broken connection to a server that is up, and announces itself only now, being
// taken for its second crash.
TEST_CASE("An incarnation that is announced later proves no second crash of the one before") {
  OneServer server;
  server.LoseRun();
  server.watch.OnRefused(kServer);
  server.now += milliseconds(1);
  server.LoseRun();
  server.watch.OnIncarnation("s1", 6);
  CHECK(server.Crashes() == 1);
}

// Guards against a deadly request that is never condemned, as its callers leave before each crash.
TEST_CASE("A crash counts against a run that was given up shortly before") {
  OneServer server;
  for (std::size_t crashes = 1; crashes <= 3; ++crashes) {
    server.AbandonRun();
    server.watch.OnRefused(kServer);
    CHECK(server.Crashes() == crashes);
    server.now += milliseconds(100);
  }
  const std::vector<Suspect> suspects{{"digest", kRequestDepth}};
  CHECK(server.watch.IsAccused(suspects));
  CHECK(server.watch.Judge(suspects, 2) == SuspectVerdict::kHeld);
}

// Guards against a verdict that is guessed from the times of crashes.
TEST_CASE("An accused request is condemned by a trial that crashes its server, or cleared by one") {
  const std::vector<Suspect> suspects{{"digest", kRequestDepth}};
  for (const bool is_culprit : {true, false}) {
    OneServer server;
    for (int crashes = 0; crashes < 3; ++crashes) {
      server.LoseRun();
      server.watch.OnRefused(kServer);
      server.now += milliseconds(1);
    }
    CHECK(server.watch.Judge(suspects, 2) == SuspectVerdict::kHeld);
    CHECK_FALSE(server.watch.IsCondemned(suspects));
    for (int i = 0; i < 100 && server.watch.Judge(suspects, 2) == SuspectVerdict::kHeld; ++i) {
      server.now += milliseconds(15);
    }
    REQUIRE(server.watch.Judge(suspects, 2) == SuspectVerdict::kTrial);
    LostRun run{"q", suspects, server.now};
    run.sent_at = server.now;
    run.trial = server.watch.BeginTrial(suspects, "q", kServer);
    // Others wait for its outcome.
    CHECK(server.watch.Judge(suspects, 2) == SuspectVerdict::kHeld);
    server.now += milliseconds(100);
    if (!is_culprit) {
      server.watch.OnRunSurvived(suspects);
      server.watch.EndTrial(*run.trial);
      CHECK(server.watch.Judge(suspects, 2) == SuspectVerdict::kFree);
      continue;
    }
    run.lost_at = server.now;
    server.watch.OnRunLost(kServer, run);
    server.watch.OnRefused(kServer);
    CHECK(server.watch.Judge(suspects, 2) == SuspectVerdict::kHeld);
    server.now += SuspectTrials::kIsolation;
    CHECK(server.watch.Judge(suspects, 2) == SuspectVerdict::kCondemned);
    CHECK(server.watch.IsCondemned(suspects));
  }
}

TEST_CASE("A run that was lost and one that was given up count one crash together") {
  OneServer server;
  server.AbandonRun();
  server.LoseRun();
  server.watch.OnRefused(kServer);
  CHECK(server.Crashes() == 1);
  server.now += milliseconds(1);
  server.watch.OnIncarnation("s1", 6);
  CHECK(server.Crashes() == 1);
}

TEST_CASE("The planned end of a server counts against no run that was given up") {
  OneServer server;
  server.AbandonRun();
  server.is_leaving = true;
  server.watch.OnRefused(kServer);
  CHECK(server.Crashes() == 0);
  server.AbandonRun();
  server.is_leaving = false;
  server.watch.OnRefused(kServer);
  CHECK(server.Crashes() == 0);
}

TEST_CASE("A run that was given up doesn't count if its request was cleared since") {
  OneServer server;
  server.LoseRun();
  server.watch.OnRefused(kServer);
  server.now += milliseconds(1);
  server.AbandonRun();
  server.watch.OnRunSurvived(std::vector<Suspect>{{"digest", kRequestDepth}});
  server.now += milliseconds(1);
  server.watch.OnRefused(kServer);
  CHECK(server.Crashes() == 0);
}

// A rack that loses power crashes servers at one moment, whenever runs were given up there.
TEST_CASE("The time at which a run was given up isn't taken for that of the crash") {
  OneServer server;
  server.AbandonRun();
  server.now += milliseconds(400);
  server.watch.OnRefused(kServer);
  const std::vector<SuspectEntry> entries = server.watch.Summary().entries;
  REQUIRE(entries.size() == 1);
  REQUIRE(entries[0].crashes.size() == 1);
  CHECK(entries[0].crashes[0].age == Duration(0));
}

}  // namespace
}  // namespace kumquat
