#include "coordination/log/replicated_log.h"

#include "log_cluster.h"
#include "property.h"
#include "utils/log.h"

namespace kumquat {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

enum class Fault {
  kNone,
  kConfirm,
  kCutOneWay,
  kIsolate,
  kHealLinks,
  kFreeze,
  kThaw,
  kCrash,
  kRestart,
  kFailSync,
  kLoseDisk
};

// One step of a schedule: proposals, one fault, and some time.
struct ScheduleStep {
  std::size_t proposals = 0;
  Fault fault = Fault::kNone;
  std::size_t target = 0;
  std::size_t other = 0;
  int ticks = 0;
};

std::ostream& operator<<(std::ostream& out, const ScheduleStep& step) {
  return out << "{" << step.proposals << ", " << static_cast<int>(step.fault) << ", " << step.target
             << ", " << step.other << ", " << step.ticks << "}";
}

rc::Gen<ScheduleStep> AnyStep() {
  const auto fault = rc::gen::weightedElement<Fault>({{8, Fault::kNone},
                                                      {6, Fault::kConfirm},
                                                      {2, Fault::kCutOneWay},
                                                      {2, Fault::kIsolate},
                                                      {3, Fault::kHealLinks},
                                                      {2, Fault::kFreeze},
                                                      {4, Fault::kThaw},
                                                      {3, Fault::kCrash},
                                                      {6, Fault::kRestart},
                                                      {1, Fault::kFailSync},
                                                      {2, Fault::kLoseDisk}});
  const auto number = [](std::size_t below) { return rc::gen::inRange<std::size_t>(0, below); };
  return rc::gen::build<ScheduleStep>(rc::gen::set(&ScheduleStep::proposals, number(5)),
                                      rc::gen::set(&ScheduleStep::fault, fault),
                                      rc::gen::set(&ScheduleStep::target, number(60)),
                                      rc::gen::set(&ScheduleStep::other, number(60)),
                                      rc::gen::set(&ScheduleStep::ticks, rc::gen::inRange(0, 60)));
}

// Small limits, so that snapshots, chunks and full windows are met often.
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
  const std::size_t target = step.target % cluster.size();
  const std::size_t other = step.other % cluster.size();
  for (std::size_t i = 0; i < step.proposals; ++i) {
    for (std::size_t at = 0; at < cluster.size(); ++at) cluster.Propose(at);
  }
  switch (step.fault) {
    case Fault::kNone:
      break;
    case Fault::kConfirm:
      for (std::size_t at = 0; at < cluster.size(); ++at) cluster.Confirm(at);
      break;
    case Fault::kCutOneWay:
      cluster.SetLink(target, other, false);
      break;
    case Fault::kIsolate:
      cluster.Isolate(target);
      break;
    case Fault::kHealLinks:
      for (std::size_t i = 0; i < cluster.size(); ++i) {
        cluster.SetLink(target, i, true);
        cluster.SetLink(i, target, true);
      }
      break;
    case Fault::kFreeze:
      cluster.SetFrozen(target, true);
      break;
    case Fault::kThaw:
      cluster.SetFrozen(target, false);
      break;
    case Fault::kCrash:
      cluster.Crash(target);
      break;
    case Fault::kRestart:
      cluster.Restart(target);
      break;
    case Fault::kFailSync:
      cluster.FailNextSync(target);
      break;
    case Fault::kLoseDisk:
      if (cluster.LoseDisk(target) && step.other % 2 == 0) cluster.Restart(target);
      break;
  }
  cluster.Run(step.ticks * milliseconds(10));
}

// Brings the cluster back to health and requires that it works, and has forgotten nothing.
void CheckRecovers(LogCluster& cluster) {
  cluster.Heal();
  cluster.Run(seconds(30));
  const auto leader = cluster.leader();
  RC_ASSERT(leader.has_value());
  RC_ASSERT(cluster.everyone_is_voter());
  const std::size_t accepted = cluster.accepted_count();
  const std::size_t confirmed = cluster.confirmed_count();
  cluster.Propose(*leader);
  cluster.Confirm(*leader);
  cluster.Run(seconds(2));
  RC_ASSERT(cluster.accepted_count() == accepted + 1);
  RC_ASSERT(cluster.confirmed_count() == confirmed + 1);
  cluster.CheckAllEqual();
  RC_ASSERT(cluster.violation() == std::string());
}

TEST_CASE("Random faults lose no accepted command") {
  ConfigureLog("test", LogLevel::kError);
  constexpr std::size_t kStepsOfSchedule = 150;
  std::size_t steps = 0;
  std::size_t accepted = 0;
  std::size_t confirmed = 0;
  CheckProperty("Random faults lose no accepted command", [&] {
    const std::size_t replicas = *rc::gen::element<std::size_t>(3, 3, 5);
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto schedule =
        *rc::gen::container<std::vector<ScheduleStep>>(kStepsOfSchedule, AnyStep());
    LogCluster cluster(replicas, seed, SmallOptions());
    for (const ScheduleStep& step : schedule) {
      Apply(step, cluster);
      ++steps;
      RC_ASSERT(cluster.violation() == std::string());
    }
    CheckRecovers(cluster);
    accepted += cluster.accepted_count();
    confirmed += cluster.confirmed_count();
  });
  MESSAGE("steps ", steps, ", accepted ", accepted, ", confirmed ", confirmed);
  CHECK(steps >= 10'000);
  CHECK(accepted >= 1'000);
  CHECK(confirmed >= 100);
}

}  // namespace
}  // namespace kumquat
