#include "coordination/forwarding/live_stores.h"

#include "property.h"

namespace kumquat {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Endpoint kStore{"10.0.0.1", 80};

TEST_CASE("A store is alive while a recent report says so and no recent report says it is dead") {
  LiveStores stores;
  CHECK(!stores.IsAlive(kStore, seconds(1)));
  stores.Update({{kStore.ToString(), true}}, seconds(1));
  CHECK(stores.IsAlive(kStore, seconds(2)));
  stores.Update({{kStore.ToString(), false}}, seconds(2));
  stores.Update({{kStore.ToString(), true}}, seconds(2));
  CHECK(!stores.IsAlive(kStore, seconds(2)));
  stores.Update({{kStore.ToString(), true}}, seconds(4));
  CHECK(stores.IsAlive(kStore, seconds(4)));
  // All reports are too old.
  CHECK(!stores.IsAlive(kStore, seconds(8)));
}

}  // namespace
}  // namespace kumquat
