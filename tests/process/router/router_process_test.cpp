// A router's graceful stop and bad input, through real processes.
#include <algorithm>

#include "process/router/system_bench.h"

namespace kumquat {
namespace {

TEST_CASE("A router that is asked to stop finishes every stream and exits 0") {
  SystemBench bench;
  std::vector<std::unique_ptr<TestCall>> calls;
  calls.reserve(20);
  for (int i = 0; i < 20; ++i) calls.push_back(bench.StartChat(0, "question"));
  CHECK(SpinUntil([&] {
    return std::all_of(calls.begin(), calls.end(),
                       [](const auto& call) { return call->events.size() > 3; });
  }));
  bench.router_program(0).Signal(SIGTERM);
  CHECK(SpinUntil([&] { return !bench.router_program(0).running(); }));
  CHECK(bench.router_program(0).exit_status() == 0);
  CHECK(SpinUntil([&] {
    return std::all_of(calls.begin(), calls.end(), [](const auto& call) { return call->done(); });
  }));
  for (const auto& call : calls) {
    CAPTURE(call->status);
    CAPTURE(call->body);
    CHECK(call->done_marker());
    CHECK(SystemBench::TextOf(*call) == SystemBench::ChatText("question"));
  }
  bench.WaitUntilServing(1);
}

TEST_CASE("Bad input gets a clear answer, and a caller that goes away cancels its work") {
  SystemBench bench;
  const auto post = [&](const std::string& target, const HttpHeaders& headers,
                        const std::string& body) {
    const auto call = bench.caller().Run(bench.router(0), "POST", target, headers, body);
    CAPTURE(target);
    CAPTURE(call->body);
    CHECK(RefusalOf(*call));
    return call->status;
  };
  const HttpHeaders key = {{"Authorization", "Bearer bench-key"}};
  const std::string chat = "/v1/chat/completions";
  const std::string messages = R"("messages":[{"role":"user","content":"a"}]})";
  CHECK(post(chat, key, "{") == 400);
  CHECK(post(chat, key, "{}") == 400);
  CHECK(post(chat, key, R"({"model":"unknown",)" + messages) == 404);
  CHECK(post(chat, {}, R"({"model":"seat-spec",)" + messages) == 401);
  CHECK(post(chat, {{"Authorization", "Bearer wrong"}}, R"({"model":"seat-spec",)" + messages) ==
        401);
  CHECK(post("/nothing", key, "") == 404);
  CHECK(post("/services/unknown/path", key, "") == 404);
  CHECK(post("/v1/backends/announce", {}, R"({"backend_id":"x","incarnation":-1})") == 400);
  CHECK(post(chat, {{"X-Long", std::string(40'000, 'x')}}, "") == 431);
  CHECK(post(chat, key, std::string(17 * 1024 * 1024, 'x')) == 413);

  const int before = bench.EngineStat("cancelled");
  auto leaving = bench.StartChat(0, "question");
  CHECK(SpinUntil([&] { return leaving->events.size() > 3; }));
  leaving.reset();
  CHECK(SpinUntil([&] { return bench.EngineStat("cancelled") == before + 1; }));
  bench.WaitUntilServing(0);
}

}  // namespace
}  // namespace kumquat
