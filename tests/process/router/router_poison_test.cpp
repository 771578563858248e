// A request that crashes each engine that runs it.
#include <QElapsedTimer>
#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <set>

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

// Sends a call that crashes plain services, by this text, until every router refuses it.
void CheckDeadlyCall(const std::string& crash_text) {
  SystemBench bench;
  int crashes = 0;
  int next = 0;
  const auto call_once = [&](int router) {
    const auto call = bench.StartCrashingCall(router, crash_text);
    CHECK(SpinUntil([&] { return call->done(); }));
    crashes += bench.RestartCrashed();
    return call->status;
  };
  CHECK(SpinUntil([&] {
    call_once(next++ % SystemBench::kRouters);
    return crashes >= 3;
  }));
  // News of the last crash may take some ticks to reach every router.
  for (int router = 0; router < SystemBench::kRouters; ++router) {
    CHECK(SpinUntil([&] { return call_once(router) == 422; }));
  }
  const int before = crashes;
  for (int i = 0; i < 3 * SystemBench::kRouters; ++i) {
    CHECK(call_once(i % SystemBench::kRouters) == 422);
  }
  CHECK(crashes == before);
  CHECK(crashes <= 6);
  CHECK(SpinUntil([&] {
    const auto booking = bench.StartBooking(0, "sound-" + std::to_string(next++));
    CHECK(SpinUntil([&] { return booking->done(); }));
    return booking->status == 201;
  }));
}

TEST_CASE(
    "A call that crashed three plain services is refused by every router, others are served") {
  CheckDeadlyCall("please-crash");
}

TEST_CASE("The same where the services crash after a part of the answer") {
  CheckDeadlyCall("please-write-and-crash");
}

// Sends a request whose caller leaves before it crashes its server, over all routers, until it is
// refused.
void CheckCallersThatLeave(
    const std::function<std::unique_ptr<TestCall>(SystemBench& bench, int router)>& send) {
  constexpr int kCallerTimeMs = 100;
  constexpr int kCrashTimeMs = 2000;
  constexpr int kRounds = 9;
  SystemBench bench;
  int crashes = 0;
  for (int round = 0; round < kRounds; ++round) {
    auto call = send(bench, round % SystemBench::kRouters);
    QElapsedTimer elapsed;
    elapsed.start();
    CHECK(SpinUntil([&] { return call->done() || elapsed.elapsed() > kCallerTimeMs; }));
    const bool is_refused = call->done() && call->status == 422;
    call.reset();
    int crashed = 0;
    CHECK(SpinUntil([&] {
      crashed += bench.RestartCrashed();
      return is_refused || crashed > 0 || elapsed.elapsed() > kCrashTimeMs;
    }));
    crashes += crashed;
    for (int router = 0; router < SystemBench::kRouters; ++router) bench.WaitUntilServing(router);
  }
  CHECK(crashes >= 3);
  CHECK(crashes <= 6);
  for (int router = 0; router < SystemBench::kRouters; ++router) {
    CHECK(SpinUntil([&] {
      const auto call = send(bench, router);
      CHECK(SpinUntil([&] { return call->done(); }));
      crashes += bench.RestartCrashed();
      return call->status == 422;
    }));
  }
  CHECK(crashes <= 6);
}

// Guards against deadly requests that are never condemned, as their callers leave before each
// crash.
TEST_CASE("A call whose callers leave before it crashes plain services is refused in the end") {
  CheckCallersThatLeave([](SystemBench& bench, int router) {
    return bench.StartCrashingCall(router, "please-wait-and-crash");
  });
}

TEST_CASE("A chat whose callers leave before it crashes engines is refused in the end") {
  CheckCallersThatLeave([](SystemBench& bench, int router) {
    return bench.StartChat(router, "please-wait-and-crash");
  });
}

// Sends chats with a part that crashes engines, by this text, until every router refuses them.
void CheckDeadlyPart(const std::string& crash_text) {
  SystemBenchOptions options;
  options.token_interval_ms = 50;
  SystemBench bench(options);
  // Longer than the pieces in which engines cache prompts.
  const std::string part = crash_text + std::string(12'000, 'x');
  const std::string sound_part(12'000, 'y');
  int crashes = 0;
  int next = 0;
  const auto chat = [&](int router, const std::string& text) {
    const auto call = bench.StartChat(router, text + std::to_string(++next));
    CHECK(SpinUntil([&] { return call->done(); }));
    crashes += bench.RestartCrashed();
    return call->status;
  };
  CHECK(SpinUntil([&] {
    chat(next % SystemBench::kRouters, part);
    return crashes >= 4;
  }));
  // A trial follows the crash that accuses the part.
  CHECK(SpinUntil([&] { return chat(next % SystemBench::kRouters, part) == 422; }));
  for (int router = 0; router < SystemBench::kRouters; ++router) {
    CHECK(SpinUntil([&] { return chat(router, part) == 422; }));
  }
  CHECK(SpinUntil([&] { return chat(0, sound_part) == 200; }));
  const int before = crashes;
  for (int i = 0; i < 4 * SystemBench::kRouters; ++i) {
    CHECK(chat(i % SystemBench::kRouters, part) == 422);
  }
  CHECK(crashes == before);
  CHECK(crashes <= 8);
  for (int router = 0; router < SystemBench::kRouters; ++router) {
    CHECK(SpinUntil([&] { return chat(router, sound_part) == 200; }));
  }
}

TEST_CASE(
    "Chats with a part that crashed four engines are refused by every router, others served") {
  CheckDeadlyPart("please-crash");
}

TEST_CASE("The same chats where the engines crash after they have written a token") {
  CheckDeadlyPart("please-write-and-crash");
}

TEST_CASE("A chat that lost a run with each of the three engines goes on at one of them") {
  SystemBenchOptions options;
  options.token_interval_ms = 50;
  SystemBench bench(options);
  const auto chat = bench.StartChat(0, "unlucky");
  std::set<int> killed;
  std::size_t tokens = 0;
  while (killed.size() < SystemBench::kEngines) {
    REQUIRE(SpinUntil([&] { return SystemBench::TextOf(*chat).size() > tokens; }));
    tokens = SystemBench::TextOf(*chat).size();
    const std::optional<int> engine = bench.RunningEngine();
    if (!engine || !killed.insert(*engine).second) continue;
    bench.engine(*engine).program->Kill();
    bench.engine(*engine).program->Start();
  }
  CHECK(SpinUntil([&] { return chat->done(); }));
  CAPTURE(chat->body);
  CHECK(chat->done_marker());
  CHECK(SystemBench::TextOf(*chat) == SystemBench::ChatText("unlucky"));
}

}  // namespace
}  // namespace kumquat
