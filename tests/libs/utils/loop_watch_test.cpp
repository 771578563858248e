#include "utils/loop_watch.h"

#include <doctest/doctest.h>

namespace kumquat {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A router with a tenth of a core read an answer 0.1 s after it had come, took its server for dead
// meanwhile and cut the stream.
TEST_CASE(
    "A loop that stood still is noticed by the beat that is late, and from outside before it") {
  LoopWatch watch(milliseconds(50), milliseconds(40));
  Instant now = seconds(1);
  for (int i = 0; i < 10; ++i, now += milliseconds(60)) watch.Beat(now);
  CHECK_FALSE(watch.WasLate(seconds(0)));
  const Instant stopped = now;
  now += milliseconds(100);
  watch.Look(now);
  CHECK(watch.WasLate(stopped));
  watch.Beat(now);
  CHECK(watch.WasLate(stopped));
  now += milliseconds(50);
  watch.Beat(now);
  CHECK_FALSE(watch.WasLate(now - milliseconds(10)));
}

TEST_CASE("Nothing is known before the first beat") {
  LoopWatch watch(milliseconds(50), milliseconds(40));
  watch.Look(seconds(100));
  CHECK_FALSE(watch.WasLate(seconds(0)));
  watch.Beat(seconds(200));
  CHECK_FALSE(watch.WasLate(seconds(0)));
}

}  // namespace
}  // namespace kumquat
