// Tests which trials of suspects begin, one at a time, and what their outcomes say.
#include "coordination/admission/suspect_trials.h"

#include <doctest/doctest.h>

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace kumquat {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart = seconds(1000);
constexpr Duration kTick = milliseconds(15);
constexpr std::uint64_t kServer = 1;
constexpr std::uint64_t kOtherServer = 2;
const std::vector<Suspect> kRequest{{"request", kRequestDepth}};
const std::vector<Suspect> kPreamble{{"preamble", 0}};

// The trials that one router knows of.
struct Desk {
  explicit Desk(std::uint64_t first_id = 1) : next_id(first_id) {}

  std::uint64_t next_id;
  SuspectTrials trials{[this] { return next_id++; }};

  // Asks until the trial may begin, for at most five seconds. Returns how long that took.
  std::optional<Duration> WaitForTurn(const std::vector<Suspect>& accused, Instant& now,
                                      const TrialPlace& place = {}) {
    const Instant begun = now;
    for (; now - begun < seconds(5); now += kTick) {
      if (trials.Ask(accused, place, now)) return now - begun;
    }
    return std::nullopt;
  }

  TrialFinding Finding(const std::vector<Suspect>& suspects, Instant now) const {
    return trials.FindingOf(suspects.front(), kStart, now);
  }

  // Runs a trial that is lost with a crash of the server.
  void LoseTrial(const std::vector<Suspect>& suspects, std::uint64_t server, Instant& now) {
    REQUIRE(WaitForTurn({suspects.front()}, now));
    const std::uint64_t id = trials.Begin({&suspects.front(), 1}, suspects, now);
    now += milliseconds(100);
    trials.OnCrashed(id, server, now, now);
  }
};

void Exchange(Desk& from, Desk& to, Instant now) {
  for (const SuspectTrial& trial : from.trials.TakeChangedTrials(false, now)) {
    to.trials.Merge(trial, now);
  }
  for (const ServerCrash& crash : from.trials.TakeNewCrashes(false, now)) {
    to.trials.Merge(crash, now);
  }
}

TEST_CASE("A trial that crashes its server alone condemns; one that is answered shows nothing") {
  Instant now = kStart;
  Desk desk;
  desk.LoseTrial(kRequest, kServer, now);
  CHECK(desk.Finding(kRequest, now) == TrialFinding::kOpen);
  now += SuspectTrials::kIsolation;
  CHECK(desk.Finding(kRequest, now) == TrialFinding::kGuilty);
  CHECK(desk.Finding(kPreamble, now) == TrialFinding::kOpen);
  // It counts against the suspect only if that was accused before.
  CHECK(desk.trials.FindingOf(kRequest.front(), now, now) == TrialFinding::kOpen);
  Desk other;
  REQUIRE(other.WaitForTurn(kRequest, now));
  other.trials.End(other.trials.Begin(kRequest, kRequest, now));
  CHECK(other.Finding(kRequest, now + seconds(5)) == TrialFinding::kOpen);
}

// Guards against a sound request that is condemned as its trial ran where the power failed.
TEST_CASE("A trial that is lost while another server crashes shows nothing, and three are enough") {
  for (const Duration apart : {Duration(0), Duration(milliseconds(900))}) {
    Instant now = kStart;
    Desk desk;
    for (int i = 0; i < SuspectTrials::kMaxTrials; ++i) {
      CHECK(desk.Finding(kRequest, now) == TrialFinding::kOpen);
      desk.LoseTrial(kRequest, kServer + 10U * static_cast<unsigned>(i), now);
      now += apart;
      desk.trials.NoteCrash(kOtherServer + 10U * static_cast<unsigned>(i), now, now);
      now += SuspectTrials::kIsolation;
    }
    CHECK(desk.Finding(kRequest, now) == TrialFinding::kExhausted);
  }
}

TEST_CASE("What is heard later of other crashes at the time of a trial counts too") {
  Instant now = kStart;
  Desk desk;
  desk.LoseTrial(kRequest, kServer, now);
  now += SuspectTrials::kIsolation;
  REQUIRE(desk.Finding(kRequest, now) == TrialFinding::kGuilty);
  desk.trials.Merge(ServerCrash{kOtherServer, SuspectTrials::kIsolation}, now);
  CHECK(desk.Finding(kRequest, now) == TrialFinding::kOpen);
  // The crash of the same server, heard from another router, is no other.
  Desk same;
  same.LoseTrial(kRequest, kServer, now);
  now += SuspectTrials::kIsolation;
  same.trials.Merge(ServerCrash{kServer, SuspectTrials::kIsolation - milliseconds(20)}, now);
  CHECK(same.Finding(kRequest, now) == TrialFinding::kGuilty);
}

TEST_CASE("Of the suspects of one trial only the most specific is condemned") {
  Instant now = kStart;
  Desk desk;
  desk.LoseTrial({kPreamble.front(), {"part", 1}}, kServer, now);
  now += SuspectTrials::kIsolation;
  CHECK(desk.Finding(kPreamble, now) == TrialFinding::kOpen);
  CHECK(desk.Finding({{"part", 1}}, now) == TrialFinding::kGuilty);
}

TEST_CASE("A trial begins when servers have crashed no more for a while, or after a longer one") {
  Instant now = kStart;
  Desk desk;
  CHECK(desk.WaitForTurn(kRequest, now).value() >= SuspectTrials::kAnnounceTime);
  Desk after_crash;
  after_crash.trials.NoteCrash(kServer, now, now);
  CHECK(after_crash.WaitForTurn(kRequest, now).value() >= SuspectTrials::kIsolation);
  Desk in_storm;
  const Instant begun = now;
  bool begins = false;
  for (std::uint64_t server = 0; !begins && now - begun < seconds(5); now += kTick, ++server) {
    in_storm.trials.NoteCrash(server, now, now);
    begins = in_storm.trials.Ask(kRequest, {}, now);
  }
  CHECK(begins);
  CHECK(now - begun >= SuspectTrials::kMaxQuietWait);
}

// Guards against a trial that takes the last server that is left.
TEST_CASE("While one server is left, a trial waits for others to come back") {
  Instant now = kStart;
  Desk desk;
  const auto turn = desk.WaitForTurn(kRequest, now, {.has_spare_server = false});
  CHECK(turn.value() >= SuspectTrials::kMaxQuietWait);
}

TEST_CASE("Requests that have no other suspects go first") {
  Instant now = kStart;
  Desk desk;
  const auto turn = desk.WaitForTurn(kPreamble, now, {.has_other_suspects = true});
  CHECK(turn.value() >= SuspectTrials::kAnnounceTime + SuspectTrials::kPreferenceTime);
  Desk clean;
  CHECK(clean.WaitForTurn(kPreamble, now).value() <
        SuspectTrials::kAnnounceTime + SuspectTrials::kPreferenceTime);
}

TEST_CASE("Of several routers one runs a trial at a time, the one with the lowest id first") {
  Instant now = kStart;
  std::array<Desk, 3> desks{Desk(30), Desk(10), Desk(20)};
  std::vector<std::size_t> order;
  std::optional<std::uint64_t> running;
  std::size_t runner = 0;
  Instant ends{0};
  for (; now - kStart < seconds(8) && order.size() < 6; now += kTick) {
    if (running && now >= ends) {
      desks[runner].trials.End(*running);
      running.reset();
    }
    for (std::size_t i = 0; i < desks.size(); ++i) {
      if (!desks[i].trials.Ask(kRequest, {}, now)) continue;
      REQUIRE_FALSE(running);
      running = desks[i].trials.Begin(kRequest, kRequest, now);
      runner = i;
      ends = now + milliseconds(200);
      order.push_back(i);
    }
    for (Desk& from : desks) {
      const auto trials = from.trials.TakeChangedTrials(false, now);
      for (Desk& to : desks) {
        for (const SuspectTrial& trial : trials) to.trials.Merge(trial, now);
      }
    }
  }
  CHECK(order.size() == 6);
  CHECK(order.front() == 1);
}

// Guards against suspects that are refused for good as the router that announced a trial is gone.
TEST_CASE("A router that is gone, or whose trial never ends, holds up others for a while only") {
  Instant now = kStart;
  Desk gone(1);
  Desk left(100);
  CHECK_FALSE(gone.trials.Ask(kRequest, {}, now));
  Exchange(gone, left, now);
  CHECK(left.WaitForTurn(kRequest, now).value() >= SuspectTrials::kAnnouncementLifetime);
  Desk silent(1);
  Desk waiting(100);
  REQUIRE(silent.WaitForTurn(kRequest, now));
  silent.trials.Begin(kRequest, kRequest, now);
  Exchange(silent, waiting, now);
  CHECK(waiting.WaitForTurn(kRequest, now).value() >= SuspectTrials::kLongestTrial);
}

TEST_CASE("A trial that the server confirmed not to have run doesn't count") {
  Instant now = kStart;
  Desk desk;
  for (int i = 0; i < 2 * SuspectTrials::kMaxTrials; ++i) {
    REQUIRE(desk.WaitForTurn(kRequest, now));
    desk.trials.Withdraw(desk.trials.Begin(kRequest, kRequest, now));
  }
  CHECK(desk.Finding(kRequest, now) == TrialFinding::kOpen);
}

TEST_CASE("Routers that hear of the same trials in any order agree, and messages carry all") {
  Instant now = kStart;
  Desk source;
  source.LoseTrial(kRequest, kServer, now);
  now += SuspectTrials::kIsolation;
  const std::vector<SuspectTrial> trials = source.trials.Trials(now);
  Desk late;
  Desk twice;
  for (const SuspectTrial& trial : trials) {
    SuspectTrial sent = trial;
    sent.state = TrialState::kSent;
    sent.crashed_age.reset();
    late.trials.Merge(sent, now);
    late.trials.Merge(trial, now);
    twice.trials.Merge(trial, now);
    twice.trials.Merge(sent, now);
    twice.trials.Merge(trial, now);
  }
  CHECK(late.Finding(kRequest, now) == TrialFinding::kGuilty);
  CHECK(twice.Finding(kRequest, now) == TrialFinding::kGuilty);
  CHECK(late.trials.Hash() == source.trials.Hash());
  CHECK(twice.trials.Hash() == source.trials.Hash());
}

}  // namespace
}  // namespace kumquat
