#include "coordination/forwarding/weights_limit.h"

#include "property.h"

namespace kumquat {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Engines of a loaded day began requests 2.5 s after they were sent, where next to no wait was
// expected, and past the longest lag.
TEST_CASE("A request that waits longer than expected on replaced weights is taken back in time") {
  constexpr Duration kLongestLag = seconds(10);
  NamedWeights named;
  const WeightsLimit limit(&named, kLongestLag);
  CHECK_FALSE(limit.MustTakeBack("m", 3, seconds(100)));
  const Instant named_at = seconds(13);
  named.Learn("m", 4, named_at);
  // As in the incident: sent 7.93 s after the naming, with nothing in its way.
  CHECK_FALSE(limit.BeginsTooLate("m", 3, Duration(0), named_at + milliseconds(7930)));
  CHECK_FALSE(limit.MustTakeBack("m", 3, named_at + milliseconds(7930)));
  // Requests are looked at every 50 ms, and a close takes a moment to reach the engine.
  CHECK(limit.MustTakeBack("m", 3, named_at + kLongestLag - milliseconds(150)));
  CHECK(limit.BeginsTooLate("m", 3, Duration(0), named_at + seconds(9)));
  CHECK_FALSE(limit.MustTakeBack("m", 4, named_at + seconds(60)));
}

}  // namespace
}  // namespace kumquat
