#include "coordination/forwarding/weights_limit.h"

#include "property.h"

namespace kumquat {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against requests that begin after the maximum lag: under load, engines began requests 2.5
// s after they were sent although almost no wait had been expected.
TEST_CASE("A request still waiting on replaced weights is cancelled before the maximum lag") {
  constexpr Duration kLongestLag = seconds(10);
  NamedWeights named;
  const WeightsLimit limit(&named, kLongestLag);
  CHECK_FALSE(limit.MustCancel("m", 3, seconds(100)));
  const Instant named_at = seconds(13);
  named.Learn("m", 4, named_at);
  // As in that case: sent 7.93 s after the newer version was named, with no expected wait.
  CHECK_FALSE(limit.BeginsTooLate("m", 3, Duration(0), named_at + milliseconds(7930)));
  CHECK_FALSE(limit.MustCancel("m", 3, named_at + milliseconds(7930)));
  // Requests are checked every 50 ms, and a closed connection takes a moment to reach the engine.
  CHECK(limit.MustCancel("m", 3, named_at + kLongestLag - milliseconds(150)));
  CHECK(limit.BeginsTooLate("m", 3, Duration(0), named_at + seconds(9)));
  CHECK_FALSE(limit.MustCancel("m", 4, named_at + seconds(60)));
}

}  // namespace
}  // namespace kumquat
