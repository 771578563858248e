#include "protocol/lists.h"

#include <doctest/doctest.h>

namespace kumquat {
namespace {

AllowanceList SomeAllowances() {
  Allowance allowance;
  allowance.plan = "large";
  allowance.models = {{"seat-spec", "", "v1"}, {"seat-spec", "fleet", "v1"}};
  allowance.services = {"bookings"};
  allowance.capacity = {10, 20'000, 4};
  allowance.share = 3;
  allowance.replies = false;
  return {allowance};
}

TEST_CASE("Lists survive their JSON form") {
  const PlanList plans = {{"workshop", "large", {std::string(64, 'a')}}};
  std::string reason;
  CHECK(ParsePlanList(ToJson(plans), &reason) == plans);
  CHECK(ParseAllowanceList(ToJson(SomeAllowances()), &reason) == SomeAllowances());
  CHECK(!ListsProblem(plans, SomeAllowances()));
}

TEST_CASE("A list with a wrong entry is refused with the reason") {
  std::string reason;
  const PlanList short_digest = {{"workshop", "large", {"abc"}}};
  CHECK(!ParsePlanList(ToJson(short_digest), &reason));
  CHECK(reason.find("key_digests") != std::string::npos);

  const PlanList twice = {{"workshop", "large", {}}, {"workshop", "large", {}}};
  CHECK(!ParsePlanList(ToJson(twice), &reason));
  CHECK(reason.find("stands twice") != std::string::npos);

  CHECK(!ParseAllowanceList(QJsonObject{}, &reason));
  CHECK(ListsProblem({{"workshop", "small", {}}}, SomeAllowances()));
}

}  // namespace
}  // namespace kumquat
