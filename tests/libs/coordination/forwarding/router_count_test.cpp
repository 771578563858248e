#include "coordination/forwarding/router_count.h"

#include <doctest/doctest.h>

#include <map>
#include <string>

namespace kumquat {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t kRouters = 6;
constexpr std::size_t kReplicas = 3;

// Replicas that tell their counts every second.
struct Replicas {
  RouterCount count;
  Instant now = seconds(100);

  void Tell(Duration span, const std::map<std::string, std::int64_t>& told) {
    for (const Instant end = now + span; now < end; now += seconds(1)) {
      for (const auto& [replica, routers] : told) count.OnTold(replica, routers, kReplicas, now);
    }
  }
  void TellAll(Duration span, std::int64_t routers) {
    Tell(span, {{"a", routers}, {"b", routers}, {"c", routers}});
  }
};

TEST_CASE("A count isn't believed before most replicas have had time to hear of all routers") {
  Replicas replicas;
  replicas.Tell(seconds(20), {{"a", 1}});
  CHECK(replicas.count.routers() == 0);
  replicas.Tell(seconds(2), {{"a", 1}, {"b", 1}});
  CHECK(replicas.count.routers() == 0);
  replicas.Tell(seconds(3), {{"a", 3}, {"b", kRouters}});
  CHECK(replicas.count.routers() == kRouters);
  replicas.Tell(seconds(1), {{"a", 3}});
  CHECK(replicas.count.routers() == kRouters);
}

TEST_CASE("Replicas that restart, are silent or are cut off don't lower the count") {
  Replicas replicas;
  replicas.TellAll(seconds(10), kRouters);
  replicas.Tell(seconds(60), {{"a", 1}, {"b", 2}});
  CHECK(replicas.count.routers() == kRouters);
  for (int i = 0; i < 10; ++i) {
    replicas.TellAll(seconds(6), 1);
    for (const auto* replica : {"a", "b", "c"}) replicas.count.OnLost(replica);
  }
  CHECK(replicas.count.routers() == kRouters);
  replicas.Tell(seconds(60), {{"a", 1}, {"b", 1}, {"c", kRouters}});
  CHECK(replicas.count.routers() == kRouters);
}

TEST_CASE(
    "The count rises at once, and falls after all replicas told less for longer than a window") {
  Replicas replicas;
  replicas.TellAll(seconds(10), kRouters);
  replicas.Tell(seconds(1), {{"b", 9}});
  CHECK(replicas.count.routers() == 9);
  replicas.TellAll(seconds(10), 4);
  CHECK(replicas.count.routers() == 9);
  replicas.Tell(seconds(8), {{"a", 4}, {"b", 5}, {"c", 4}});
  CHECK(replicas.count.routers() == 5);
}

}  // namespace
}  // namespace kumquat
