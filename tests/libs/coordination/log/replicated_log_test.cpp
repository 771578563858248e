#include "coordination/log/replicated_log.h"

#include "log_cluster.h"
#include "property.h"
#include "utils/log.h"

namespace kumquat {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// An action of a schedule, mostly a fault; `target` and `other` are numbers of replicas.
using Fault = void (*)(LogCluster& cluster, std::size_t target, std::size_t other);

void HealLinks(LogCluster& cluster, std::size_t target, std::size_t) {
  for (std::size_t i = 0; i < cluster.size(); ++i) {
    cluster.SetLink(target, i, true);
    cluster.SetLink(i, target, true);
  }
}

void ConfirmLeadershipEverywhere(LogCluster& cluster, std::size_t, std::size_t) {
  for (std::size_t at = 0; at < cluster.size(); ++at) cluster.ConfirmLeadership(at);
}

void LoseDisk(LogCluster& cluster, std::size_t target, std::size_t other) {
  if (cluster.LoseDisk(target) && other % 2 == 0) cluster.Restart(target);
}

// Crashes the replica and restarts it 10 ms later.
void CrashAndRestart(LogCluster& cluster, std::size_t target, std::size_t) {
  cluster.Crash(target);
  cluster.Run(milliseconds(10));
  cluster.Restart(target);
}

// One step of a schedule: proposals at every replica, one fault, then ticks of 10 ms.
struct ScheduleStep {
  std::size_t proposals = 0;
  Fault fault = nullptr;
  std::size_t target = 0;
  std::size_t other = 0;
  int ticks = 0;
};

rc::Gen<ScheduleStep> AnyStep() {
  using Cluster = LogCluster;
  const auto fault = rc::gen::weightedElement<Fault>(
      {{16, [](Cluster&, std::size_t, std::size_t) {}},
       {8, ConfirmLeadershipEverywhere},
       {2, [](Cluster& c, std::size_t from, std::size_t to) { c.SetLink(from, to, false); }},
       {2, [](Cluster& c, std::size_t target, std::size_t) { c.Isolate(target); }},
       {6, HealLinks},
       {2, [](Cluster& c, std::size_t target, std::size_t) { c.SetFrozen(target, true); }},
       {6, [](Cluster& c, std::size_t target, std::size_t) { c.SetFrozen(target, false); }},
       {3, [](Cluster& c, std::size_t target, std::size_t) { c.Crash(target); }},
       {10, [](Cluster& c, std::size_t target, std::size_t) { c.Restart(target); }},
       {1, [](Cluster& c, std::size_t target, std::size_t) { c.FailNextSync(target); }},
       {4, CrashAndRestart},
       {2, LoseDisk}});
  const auto number = [](std::size_t below) { return rc::gen::inRange<std::size_t>(0, below); };
  return rc::gen::build<ScheduleStep>(rc::gen::set(&ScheduleStep::proposals, number(5)),
                                      rc::gen::set(&ScheduleStep::fault, fault),
                                      rc::gen::set(&ScheduleStep::target, number(60)),
                                      rc::gen::set(&ScheduleStep::other, number(60)),
                                      rc::gen::set(&ScheduleStep::ticks, rc::gen::inRange(0, 60)));
}

// Generates values of the full range from the first case on; RapidCheck starts with small ones.
template <typename Value>
rc::Gen<Value> FullRange(rc::Gen<Value> generator) {
  return rc::gen::resize(rc::kNominalSize, std::move(generator));
}

// Small limits, so that snapshots, snapshot chunks and full send windows occur often.
LogOptions SmallOptions() {
  LogOptions options;
  options.snapshot_after_entries = 20;
  options.trailing_entries = 5;
  options.max_append_entries = 4;
  options.max_unacknowledged_entries = 16;
  options.snapshot_chunk_bytes = 64;
  return options;
}

void Apply(const ScheduleStep& step, LogCluster& cluster) {
  for (std::size_t i = 0; i < step.proposals; ++i) {
    for (std::size_t at = 0; at < cluster.size(); ++at) cluster.Propose(at);
  }
  step.fault(cluster, step.target % cluster.size(), step.other % cluster.size());
  cluster.Run(step.ticks * milliseconds(10));
}

// Ends all faults and requires that the cluster works again and has lost no accepted command.
void CheckRecovers(LogCluster& cluster) {
  cluster.Heal();
  cluster.Run(seconds(20));
  const auto leader = cluster.leader();
  if (!leader || !cluster.all_are_voters()) RC_FAIL(cluster.Describe());
  const std::size_t accepted = cluster.accepted_command_count();
  const std::size_t confirmed = cluster.leadership_confirmed_count();
  cluster.Propose(*leader);
  cluster.ConfirmLeadership(*leader);
  cluster.Run(seconds(2));
  RC_ASSERT(cluster.accepted_command_count() == accepted + 1);
  RC_ASSERT(cluster.leadership_confirmed_count() == confirmed + 1);
  cluster.CheckAllEqual();
  RC_ASSERT(cluster.violation() == std::string());
}

TEST_CASE("Random faults lose no accepted command") {
  ConfigureLog("test", LogLevel::kError);
  constexpr std::size_t kStepsOfSchedule = 110;
  std::size_t steps = 0;
  std::size_t accepted = 0;
  std::size_t confirmed = 0;
  CheckProperty("Random faults lose no accepted command", [&] {
    const std::size_t replicas = *rc::gen::element<std::size_t>(3, 3, 5);
    const auto seed = *FullRange(rc::gen::arbitrary<std::uint64_t>());
    const auto schedule =
        *rc::gen::container<std::vector<ScheduleStep>>(kStepsOfSchedule, FullRange(AnyStep()));
    LogOptions options = SmallOptions();
    // Without a quiet period, a restarted replica also handles messages from before its crash.
    if (seed % 2 == 0) options.startup_quiet_period = Duration(0);
    LogCluster cluster(replicas, seed, options);
    for (const ScheduleStep& step : schedule) {
      Apply(step, cluster);
      ++steps;
      RC_ASSERT(cluster.violation() == std::string());
    }
    CheckRecovers(cluster);
    accepted += cluster.accepted_command_count();
    confirmed += cluster.leadership_confirmed_count();
  });
  MESSAGE("steps ", steps, ", accepted ", accepted, ", confirmed ", confirmed);
  CHECK(steps >= 10'000);
  CHECK(accepted >= 1'000);
  CHECK(confirmed >= 100);
}

// Three replicas without faults and with a leader.
class HealthyCluster : public LogCluster {
 public:
  explicit HealthyCluster(std::uint64_t seed) : LogCluster(3, seed, SmallOptions()) {
    ConfigureLog("test", LogLevel::kError);
    SetReliable(true);
    Run(seconds(5));
    REQUIRE(leader());
  }

  // Proposes commands at the leader, one every 20 ms, and returns how many have been accepted one
  // second after the last.
  std::size_t ProposeAndCountAccepted(std::size_t proposals) {
    const std::size_t before = accepted_command_count();
    for (std::size_t i = 0; i < proposals; ++i) {
      if (const auto at = leader()) Propose(*at);
      Run(milliseconds(20));
    }
    Run(seconds(1));
    return accepted_command_count() - before;
  }

  std::size_t follower() const { return (*leader() + 1) % 3; }
  std::size_t other_follower() const { return (*leader() + 2) % 3; }
};

constexpr std::uint64_t kSeeds = 6;

TEST_CASE("An isolated follower accepts and confirms nothing; its return keeps leader and term") {
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    HealthyCluster cluster(seed);
    const std::size_t leader = *cluster.leader();
    const std::size_t isolated_replica = cluster.follower();
    const std::uint64_t term = cluster.log(leader).term();
    cluster.Isolate(isolated_replica);
    CHECK(cluster.ProposeAndCountAccepted(50) == 50);
    cluster.Run(minutes(3));
    CHECK(!cluster.Propose(isolated_replica));
    cluster.ConfirmLeadership(isolated_replica);
    CHECK(cluster.leadership_confirmed_count() == 0);
    cluster.Heal();
    cluster.Run(seconds(10));
    CHECK(cluster.leader() == leader);
    CHECK(cluster.log(leader).term() == term);
    cluster.CheckAllEqual();
    CHECK(cluster.violation() == std::string());
  }
}

TEST_CASE("A leader that receives nothing from a majority steps down and confirms no leadership") {
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    HealthyCluster cluster(seed);
    const std::size_t partitioned = *cluster.leader();
    for (std::size_t other = 0; other < 3; ++other) cluster.SetLink(other, partitioned, false);
    cluster.ConfirmLeadership(partitioned);
    cluster.Run(seconds(8));
    CHECK(cluster.leadership_confirmed_count() == 0);
    CHECK(cluster.leadership_unconfirmed_count() == 1);
    CHECK(cluster.log(partitioned).role() != LogRole::kLeader);
    REQUIRE(cluster.leader());
    CHECK(cluster.ProposeAndCountAccepted(10) == 10);
    CHECK(cluster.violation() == std::string());
  }
}

TEST_CASE("Losing a second disk right after the first replica was readmitted loses no command") {
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    HealthyCluster cluster(seed);
    CHECK(cluster.ProposeAndCountAccepted(50) == 50);
    const std::size_t first = cluster.follower();
    const std::size_t second = seed % 2 == 0 ? *cluster.leader() : cluster.other_follower();
    REQUIRE(cluster.LoseDisk(first));
    cluster.Restart(first);
    while (!cluster.LoseDisk(second)) cluster.Run(milliseconds(10));
    cluster.Restart(second);
    cluster.Run(seconds(20));
    CHECK(cluster.all_are_voters());
    CHECK(cluster.ProposeAndCountAccepted(10) == 10);
    cluster.CheckAllEqual();
    CHECK(cluster.violation() == std::string());
  }
}

TEST_CASE(
    "A replacement of the same name counts towards a majority, the replaced replica doesn't") {
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    HealthyCluster cluster(seed);
    const std::size_t leader = *cluster.leader();
    const std::size_t old = cluster.follower();
    const std::size_t other = cluster.other_follower();
    const ReplicaId old_id = cluster.log(old).self();
    constexpr std::size_t kReplacement = 3;
    cluster.Isolate(old);
    cluster.AddReplicaWithSameName(old);
    cluster.SetLink(old, kReplacement, false);
    cluster.Run(seconds(10));
    const Membership members = cluster.log(leader).status().membership;
    CHECK(members.Contains(cluster.log(kReplacement).self()));
    CHECK(!members.Contains(old_id));

    cluster.Heal();
    cluster.Run(seconds(10));
    CHECK(cluster.log(old).role() != LogRole::kLeader);
    CHECK(cluster.ProposeAndCountAccepted(10) == 10);
    cluster.Isolate(other);
    CHECK(cluster.ProposeAndCountAccepted(10) == 10);
    cluster.Isolate(kReplacement);
    CHECK(cluster.ProposeAndCountAccepted(10) == 0);
    CHECK(cluster.violation() == std::string());
  }
}

// The empty replicas must not found a new cluster, as the third still holds accepted commands.
TEST_CASE("With two of three disks lost there is no leader, with or without the intact replica") {
  HealthyCluster cluster(1);
  CHECK(cluster.ProposeAndCountAccepted(10) == 10);
  constexpr std::size_t kIntact = 2;
  cluster.Isolate(kIntact);
  for (const std::size_t lost : {0, 1}) {
    cluster.WipeDisk(lost);
    cluster.Restart(lost);
  }
  cluster.Run(seconds(20));
  CHECK(!cluster.leader());
  cluster.Heal();
  cluster.Run(seconds(20));
  CHECK(!cluster.leader());
}

TEST_CASE("A replica that lost its disk becomes a voter again only once it receives messages") {
  HealthyCluster cluster(1);
  CHECK(cluster.ProposeAndCountAccepted(10) == 10);
  const std::size_t lost = cluster.follower();
  REQUIRE(cluster.LoseDisk(lost));
  cluster.Restart(lost);
  for (std::size_t from = 0; from < 3; ++from) cluster.SetLink(from, lost, false);
  cluster.Run(seconds(20));
  CHECK(!cluster.all_are_voters());
  CHECK(cluster.ProposeAndCountAccepted(10) == 10);
  cluster.Heal();
  cluster.Run(seconds(20));
  CHECK(cluster.all_are_voters());
}

}  // namespace
}  // namespace kumquat
