#include "caller_identity.h"

#include <doctest/doctest.h>

#include "protocol/key_digest.h"

namespace kumquat {
namespace {

Lists TwoPlans() {
  Lists lists;
  lists.plans = {{"workshop", "large", {KeyDigest("key-w")}}, {"fleet", "small", {}}};
  Allowance large;
  large.plan = "large";
  large.models = {{"seat-spec", "", "v2"}};
  Allowance small;
  small.plan = "small";
  small.models = {{"stock", "north", "v1"}};
  lists.allowances = {large, small};
  return lists;
}

TEST_CASE("A caller is known by the digest of its key, and reaches its own plan's models only") {
  const Lists lists = TwoPlans();
  CHECK(KeyDigest("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  CHECK(!IdentifyCaller("", lists));
  CHECK(!IdentifyCaller("Bearer other", lists));
  CHECK(!IdentifyCaller("Basic key-w", lists));
  const auto caller = IdentifyCaller("Bearer key-w", lists);
  REQUIRE(caller);
  CHECK(caller->organisation->name == "workshop");

  Error error;
  CHECK(FindModel(*caller, "seat-spec", lists, &error) == ModelVersion{"seat-spec", "", "v2"});
  CHECK(!FindModel(*caller, "stock:north", lists, &error));
  CHECK(error.kind == ErrorKind::kModelNotAllowed);
  CHECK(!FindModel(*caller, "nothing", lists, &error));
  CHECK(error.kind == ErrorKind::kModelUnknown);
}

}  // namespace
}  // namespace kumquat
