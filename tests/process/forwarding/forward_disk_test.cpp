// Disks of control replicas that are full for a while, one after another.
#include <QElapsedTimer>

#include "process/forwarding/forward_bench.h"

namespace kumquat {
namespace {

constexpr std::chrono::milliseconds kFullTime{2500};
// Within which a change must be acknowledged and in force, by the pages of the users' platform.
constexpr std::chrono::milliseconds kAckTime{4000};

// Returns whether the replica gives back this version within kAckTime.
bool GivesBack(ForwardBench& bench, int replica, int version) {
  QElapsedTimer timer;
  timer.start();
  while (timer.elapsed() < kAckTime.count()) {
    const auto read = bench.caller().Run(bench.control()[replica], "GET", "/config");
    if (read->status == 200 && read->json()["version"].toInt() == version) return true;
  }
  return false;
}

void CheckTakesChanges(ForwardBench& bench, int version) {
  QElapsedTimer timer;
  timer.start();
  bench.PutConfiguration(version);
  CHECK(timer.elapsed() < kAckTime.count());
  for (int replica = 0; replica < ForwardBench::kReplicas; ++replica) {
    CAPTURE(replica);
    CHECK(bench.replica(replica).running());
    CHECK(GivesBack(bench, replica, version));
  }
}

// Operators reported of a similar system that changes were refused long after.
TEST_CASE("Changes are taken while disks are full in turn, never two at once, and afterwards") {
  ForwardBench bench;
  int version = 1;
  for (int turn = 0; turn < 2 * ForwardBench::kReplicas; ++turn) {
    const TestProgram& replica = bench.replica(turn % ForwardBench::kReplicas);
    replica.SetDiskFull(true);
    QElapsedTimer timer;
    timer.start();
    while (timer.elapsed() < kFullTime.count()) bench.PutConfiguration(++version);
    replica.SetDiskFull(false);
    // The replica has started again on its files.
    CheckTakesChanges(bench, ++version);
  }
}

TEST_CASE("The same where a disk is full as soon as the one before has room again") {
  ForwardBench bench;
  int version = 1;
  for (int turn = 0; turn < 3 * ForwardBench::kReplicas; ++turn) {
    const TestProgram& replica = bench.replica(turn % ForwardBench::kReplicas);
    replica.SetDiskFull(true);
    // Nobody has a majority while the replica before starts again, so a change may stay unanswered.
    const auto change = bench.StartConfiguration((turn + 1) % ForwardBench::kReplicas, ++version);
    QElapsedTimer timer;
    timer.start();
    SpinUntil([&] { return timer.elapsed() >= kFullTime.count(); });
    replica.SetDiskFull(false);
  }
  // A replica waits a second before it tries its files again, and one before it votes.
  QElapsedTimer timer;
  timer.start();
  SpinUntil([&] { return timer.elapsed() >= kAckTime.count(); });
  CheckTakesChanges(bench, ++version);
}

}  // namespace
}  // namespace kumquat
