// A request that crashes each engine that runs it.
#include <algorithm>

#include "process/router/system_bench.h"

namespace kumquat {
namespace {

TEST_CASE("A poison request ends at two engines, from every router, and harms no bystander") {
  SystemBench bench;
  std::vector<std::unique_ptr<TestCall>> bystanders;
  bystanders.reserve(12);
  for (int i = 0; i < 12; ++i) bystanders.push_back(bench.StartChat(i % 3, "bystander"));
  auto poison = bench.StartChat(0, "please-crash");
  const auto dead = [&] {
    int count = 0;
    for (int i = 0; i < SystemBench::kEngines; ++i) {
      if (!bench.engine(i).program->running()) ++count;
    }
    return count;
  };
  CHECK(SpinUntil([&] { return poison->done() && dead() == 2; }));
  const auto refusal = RefusalOf(*poison);
  CAPTURE(poison->body);
  REQUIRE(refusal);
  CHECK(refusal->kind == "poison_request");
  for (int router = 0; router < SystemBench::kRouters; ++router) {
    const auto again = bench.StartChat(router, "please-crash");
    CHECK(SpinUntil([&] { return again->done(); }));
    CHECK(again->status == 422);
  }
  CHECK(dead() == 2);
  CHECK(SpinUntil([&] {
    return std::all_of(bystanders.begin(), bystanders.end(),
                       [](const auto& call) { return call->done(); });
  }));
  for (const auto& call : bystanders) {
    CAPTURE(call->body);
    CHECK(SystemBench::TextOf(*call) == SystemBench::ChatText("bystander"));
  }
}

}  // namespace
}  // namespace kumquat
