// End-to-end tests with requests that crash the backend servers which run them: real control and
// router processes, and stand-in servers that close their connections and come back.
#include <algorithm>
#include <memory>
#include <vector>

#include "process/forwarding/crash_bench.h"

namespace kumquat {
namespace {

TEST_CASE("A request that crashed three servers reaches at most three more, by any router") {
  CrashBench bench;
  bench.CrashOnBody("crash");
  bench.SendUntilCrashes(3, "/again/look", "crash");
  CrashBench::Wait(kContactTime);
  const int before = bench.Crashes();
  for (int i = 0; i < 10; ++i) {
    for (int router = 0; router < ForwardBench::kRouters; ++router) {
      bench.Send(router, "/again/look", "crash");
    }
    // Gives servers time to come back, so that the request could crash them again.
    CrashBench::Wait(StandInServer::kDownTime / 2);
  }
  CHECK(bench.Crashes() - before <= kMaxSendsAfterContactTime);
  CHECK(bench.Send(0, "/again/look", "sound") == 200);
}

// Guards against a stream that is cleared by its second event each time, and so is passed on
// without end.
TEST_CASE("A stream that crashes servers after its third event reaches at most three more") {
  CrashBench bench;
  bench.CrashOnBody("crash");
  bench.SetCrashMoment(StandInServer::CrashMoment::kAfterThirdEvent);
  bench.SendUntilCrashes(3, "/long/stream", "crash");
  CrashBench::Wait(kContactTime);
  const int before = bench.Crashes();
  int sound_served = 0;
  constexpr int kRounds = 8;
  for (int i = 0; i < kRounds; ++i) {
    bench.Send(i % ForwardBench::kRouters, "/long/stream", "crash");
    // Lets servers come back, so that the stream could crash them again.
    CrashBench::Wait(2 * StandInServer::kDownTime);
    if (bench.Send(i % ForwardBench::kRouters, "/long/stream", "sound") == 200) ++sound_served;
  }
  CHECK(bench.Crashes() - before <= kMaxSendsAfterContactTime);
  CHECK(sound_served == kRounds);
  CHECK(bench.Send(0, "/long/stream", "crash") == 422);
}

// Guards against crashes that count as one because routers know only the incarnation of the first.
TEST_CASE("A server that crashes again before it announces that it is back has crashed twice") {
  CrashBench bench;
  bench.CrashOnBody("crash");
  for (std::size_t i = 1; i < CrashBench::kServers; ++i) bench.server(i).Exit();
  bench.server(0).AnnounceLate(4 * StandInServer::kDownTime);
  bench.SendUntilCrashes(3, "/again/look", "crash");
  CrashBench::Wait(kContactTime);
  const int before = bench.Crashes();
  constexpr int kRounds = 8;
  for (int i = 0; i < kRounds; ++i) {
    bench.Send(i % ForwardBench::kRouters, "/again/look", "crash");
    CrashBench::Wait(2 * StandInServer::kDownTime);
  }
  CHECK(bench.SendUntilCondemned("/again/look", "crash"));
  CHECK(bench.Crashes() - before <= kMaxSendsAfterContactTime);
  CHECK(bench.Send(0, "/again/look", "sound") == 200);
}

// Guards against a request that crashes servers without end, as its callers leave before each
// crash.
TEST_CASE("A request whose callers leave before it crashes servers reaches at most three more") {
  constexpr std::chrono::milliseconds kRunTime{100};
  constexpr std::chrono::milliseconds kCallerTime{75};
  CrashBench bench;
  bench.CrashOnBody("crash");
  for (std::size_t i = 0; i < CrashBench::kServers; ++i) bench.server(i).AnswerAfter(kRunTime);
  std::string path;
  SUBCASE("a call") { path = "/again/look"; }
  SUBCASE("a call that may run once") { path = "/once/book"; }
  SUBCASE("a stream") { path = "/long/stream"; }
  int next = 0;
  const auto send_and_leave = [&] {
    std::string id;
    auto call = bench.Start(next++ % ForwardBench::kRouters, path, &id, "crash");
    CrashBench::Wait(kCallerTime);
    call.reset();
    // Servers are back by then, so that the request could crash them again.
    CrashBench::Wait(2 * StandInServer::kDownTime);
  };
  while (next < 3) send_and_leave();
  CHECK(bench.Crashes() == 3);
  CrashBench::Wait(kContactTime);
  constexpr int kRounds = 8;
  int sound_served = 0;
  for (int i = 0; i < kRounds; ++i) {
    send_and_leave();
    if (bench.Send(i % ForwardBench::kRouters, path, "sound") == 200) ++sound_served;
  }
  CHECK(bench.SendUntilCondemned(path, "crash"));
  CHECK(bench.Crashes() - 3 <= kMaxSendsAfterContactTime);
  CHECK(sound_served == kRounds);
}

// Guards against sound requests that are refused since servers ended where their callers had left.
TEST_CASE("A request whose callers leave is served on while servers are replaced") {
  CrashBench bench;
  for (std::size_t i = 0; i < CrashBench::kServers; ++i) {
    bench.server(i).AnswerAfter(std::chrono::milliseconds(200));
  }
  std::string id;
  for (std::size_t i = 0; i + 1 < CrashBench::kServers; ++i) {
    constexpr int kCalls = 8;
    std::vector<std::unique_ptr<TestCall>> calls;
    calls.reserve(kCalls);
    for (int call = 0; call < kCalls; ++call) {
      calls.push_back(bench.Start(call % ForwardBench::kRouters, "/again/look", &id, "sound"));
    }
    CrashBench::Wait(std::chrono::milliseconds(50));
    calls.clear();
    bench.server(i).Leave();
    CrashBench::Wait(std::chrono::milliseconds(200));
    bench.server(i).Exit();
    CrashBench::Wait(std::chrono::milliseconds(500));
  }
  for (int router = 0; router < ForwardBench::kRouters; ++router) {
    CHECK(bench.Send(router, "/again/look", "sound") == 200);
  }
}

TEST_CASE("Errors that servers answer without running a request don't clear it") {
  CrashBench bench;
  bench.CrashOnBody("crash");
  const auto set_mode = [&](StandInServer::Mode mode) {
    for (std::size_t i = 0; i < CrashBench::kServers; ++i) bench.server(i).SetMode(mode);
  };
  constexpr int kRounds = 8;
  for (int round = 0; round < kRounds; ++round) {
    bench.Send(round % 2, "/once/book", "crash");
    set_mode(StandInServer::Mode::kFails);
    // All servers are up again, and answer the request with an error.
    CrashBench::Wait(2 * StandInServer::kDownTime);
    for (int i = 0; i < 4; ++i) bench.Send(i % 2, "/once/book", "crash");
    set_mode(StandInServer::Mode::kServes);
  }
  CHECK(bench.Crashes() >= 3);
  CHECK(bench.Crashes() <= 3 + kMaxSendsAfterContactTime);
}

TEST_CASE(
    "Routers and replicas that restart one after the other still refuse a condemned request") {
  CrashBench bench;
  bench.CrashOnBody("crash");
  bench.SendUntilCrashes(3, "/long/stream", "crash");
  CHECK(bench.SendUntilCondemned("/long/stream", "crash"));
  CrashBench::Wait(kContactTime);
  const int before = bench.Crashes();
  for (int round = 0; round < 2; ++round) {
    for (int router = 0; router < ForwardBench::kRouters; ++router) {
      bench.router(router).Kill();
      bench.router(router).Start();
      bench.WaitForStatus(router, "/again/look", 200);
      CrashBench::Wait(std::chrono::seconds(1));
      bench.Send(router, "/long/stream", "crash");
    }
    for (int replica = 0; replica < ForwardBench::kReplicas; ++replica) {
      bench.replica(replica).Kill();
      bench.replica(replica).Start();
    }
    CrashBench::Wait(std::chrono::seconds(2));
  }
  CHECK(bench.Crashes() == before);
  CHECK(bench.Send(0, "/long/stream", "crash") == 422);
  CHECK(bench.Send(1, "/long/stream", "sound") == 200);
}

// Guards against crashes that count as one since they follow each other at once.
TEST_CASE(
    "A request that its client repeats at once and often reaches at most three more servers") {
  CrashBench bench;
  bench.CrashOnBody("crash");
  const auto send_at_once = [&] {
    for (int i = 0; i < 2 * ForwardBench::kRouters; ++i) {
      bench.Send(i % ForwardBench::kRouters, "/again/look", "crash");
    }
  };
  send_at_once();
  CHECK(bench.Crashes() >= 3);
  CrashBench::Wait(kContactTime);
  const int before = bench.Crashes();
  constexpr int kRounds = 4;
  for (int i = 0; i < kRounds; ++i) {
    CrashBench::Wait(std::chrono::milliseconds(1500));
    send_at_once();
  }
  CHECK(bench.SendUntilCondemned("/again/look", "crash"));
  CHECK(bench.Crashes() - before <= kMaxSendsAfterContactTime);
  CHECK(bench.Send(0, "/again/look", "sound") == 200);
}

// Guards against sound requests that are condemned as servers crash one after the other.
TEST_CASE("Servers that crash one after the other by nobody's fault condemn no request") {
  CrashBench bench;
  for (std::size_t i = 0; i < CrashBench::kServers; ++i) {
    // No answer clears the request while one server after the other crashes.
    bench.server(i).AnswerAfter(std::chrono::milliseconds(300));
  }
  std::vector<std::unique_ptr<TestCall>> calls;
  int sent = 0;
  const auto send_for = [&](std::chrono::milliseconds time) {
    QElapsedTimer timer;
    for (timer.start(); timer.elapsed() < time.count();) {
      std::string id;
      calls.push_back(bench.Start(sent++ % ForwardBench::kRouters, "/again/look", &id, "sound"));
      CrashBench::Wait(std::chrono::milliseconds(25));
    }
  };
  for (int series = 0; series < 3; ++series) {
    send_for(std::chrono::milliseconds(500));
    for (std::size_t i = 0; i < CrashBench::kServers; ++i) {
      bench.server(i).Crash();
      send_for(std::chrono::milliseconds(40));
    }
    send_for(std::chrono::milliseconds(1500));
  }
  const auto count = [&](int status) {
    return std::count_if(calls.begin(), calls.end(),
                         [&](const auto& call) { return call->status == status; });
  };
  CHECK(SpinUntil([&] {
    return std::all_of(calls.begin(), calls.end(), [](const auto& call) { return call->done(); });
  }));
  CHECK(count(422) == 0);
  CHECK(count(200) > sent / 3);
  CHECK(bench.Send(0, "/again/look", "sound") == 200);
}

}  // namespace
}  // namespace kumquat
