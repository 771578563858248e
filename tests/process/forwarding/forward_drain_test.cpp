// Planned stops of a router process: every request that it has read ends with an answer.
#include <fmt/format.h>

#include <QElapsedTimer>
#include <csignal>
#include <cstdlib>
#include <memory>
#include <vector>

#include "libs/transport/slow_caller.h"
#include "process/forwarding/forward_bench.h"

namespace kumquat {
namespace {

constexpr std::chrono::milliseconds kGrace{8000};

constexpr std::chrono::milliseconds kSlowTimeout = std::chrono::minutes(1);

// The server answers nothing, so that what is taken on still runs at the end of the grace.
TEST_CASE("Requests from before a stop and of each tenth of its grace are answered, none is cut") {
  ForwardBench bench;
  StandInServer server("s1", "desk", bench.control());
  bench.PutSlowRoute(2, "/slow/", kSlowTimeout);
  bench.WaitForStatus(0, "/slow/book", 200);
  server.AnswerAfter(kSlowTimeout);
  const std::size_t runs = server.runs().size();
  std::string id;
  const auto running = bench.Start(0, "/slow/book", &id, "a booking");
  CHECK(SpinUntil([&] { return server.runs().size() > runs; }));
  bench.router(0).Signal(SIGTERM);
  QElapsedTimer elapsed;
  elapsed.start();
  std::vector<std::unique_ptr<TestCall>> late;
  for (int tenth = 0; tenth < 10; ++tenth) {
    SpinUntil([&] { return elapsed.elapsed() >= kGrace.count() * tenth / 10; });
    late.push_back(bench.Start(0, "/slow/book", &id, "a booking"));
    late.push_back(bench.Start(0, "/once/book", &id, "a booking"));
  }
  CHECK(SpinUntil([&] { return !bench.router(0).running(); }));
  CHECK(elapsed.elapsed() < kGrace.count());
  CHECK(bench.router(0).exit_status() == 0);
  CHECK(SpinUntil([&] { return running->done(); }));
  CHECK(running->status == 502);
  for (const auto& call : late) {
    CHECK(SpinUntil([&] { return call->done(); }));
    // What was read has an answer; later callers find no listener and may go elsewhere.
    if (call->failure) CHECK(call->failure == CallFailure::kNotSent);
  }
}

TEST_CASE("A once-only request that could outlast the grace is refused as not run") {
  ForwardBench bench;
  StandInServer server("s1", "desk", bench.control());
  bench.WaitForStatus(0, "/again/look", 200);
  bench.PutSlowRoute(2, "/slow/", kSlowTimeout);
  bench.WaitForStatus(0, "/slow/book", 200);
  const std::size_t runs = server.runs().size();
  bench.router(0).Signal(SIGTERM);
  // The router is busy with its stop from when it isn't ready any more.
  CHECK(SpinUntil([&] { return !bench.IsReady(0); }));
  std::string id;
  const auto call = bench.Run(0, "/slow/book", &id, "a booking");
  CHECK(call->status == 503);
  CHECK(std::atof(std::string(HeaderValue(call->headers, "Retry-After")).c_str()) < 1);
  CHECK(server.runs().size() == runs);
  // One that is sure to end in time is still served, as callers may not know of the stop yet.
  CHECK(bench.Run(0, "/once/book", &id, "a booking")->status == 200);
}

// Such a stream would be cut at the end of the grace, and its caller couldn't ask again.
TEST_CASE("A stream that can't be resumed and could outlast the grace is refused as not run") {
  ForwardBench bench;
  StandInServer server("s1", "desk", bench.control());
  bench.PutSlowRoute(2, "/slow/", kSlowTimeout, "streaming");
  bench.WaitForStatus(0, "/slow/stream", 200);
  const std::size_t runs = server.runs().size();
  bench.router(0).Signal(SIGTERM);
  CHECK(SpinUntil([&] { return !bench.IsReady(0); }));
  std::string id;
  const auto call = bench.Run(0, "/slow/stream", &id);
  CHECK(call->status == 503);
  CHECK(std::atof(std::string(HeaderValue(call->headers, "Retry-After")).c_str()) < 1);
  CHECK(server.runs().size() == runs);
  // Streams that are sure to end in time, and those that can go on at another router, are served.
  CHECK(bench.Run(0, "/live/stream", &id)->status == 200);
  CHECK(bench.Run(0, "/long/stream", &id)->status == 200);
}

// Its grace ends at the same time, so that what it takes on late would be cut early.
TEST_CASE("A router that handles its stop late takes on no stream that can't be resumed") {
  ForwardBench bench;
  StandInServer server("s1", "desk", bench.control());
  bench.PutSlowRoute(2, "/slow/", kSlowTimeout, "streaming");
  bench.WaitForStatus(0, "/slow/stream", 200);
  const std::size_t runs = server.runs().size();
  bench.router(0).Signal(SIGSTOP);
  bench.router(0).Signal(SIGTERM);
  QElapsedTimer elapsed;
  elapsed.start();
  SpinUntil([&] { return elapsed.elapsed() >= 1500; });
  bench.router(0).Signal(SIGCONT);
  SpinUntil([&] { return elapsed.elapsed() >= 3200; });
  std::string id;
  const auto call = bench.Run(0, "/slow/stream", &id);
  CHECK((call->status == 503 || call->failure == CallFailure::kNotSent));
  CHECK(server.runs().size() == runs);
}

// Large enough that most of it is still in the router's socket while the caller doesn't read.
constexpr std::size_t kLargeBytes = 90'000;
constexpr std::chrono::milliseconds kReadPause{20};

// A router with a once-only answer that its caller, which reads nothing yet, hasn't got.
struct UnreadAnswer {
  UnreadAnswer() : server("s1", "desk", bench.control()) {
    bench.WaitForStatus(0, "/once/book", 200);
    Add();
  }

  // Sends one more such request and waits until the router has written its answer.
  void Add() {
    std::string id;
    std::string head =
        fmt::format("POST /once/book HTTP/1.1\r\nContent-Length: {}\r\n", kLargeBytes);
    for (const auto& [name, value] : bench.Headers(&id))
      head += fmt::format("{}: {}\r\n", name, value);
    const std::string body(kLargeBytes, 'x');
    callers.push_back(std::make_unique<SlowCaller>(bench.router_endpoint(0), head + "\r\n" + body));
    CHECK(SpinUntil([&] { return callers.back()->unread() > 0; }));
    CHECK(SpinUntil([&] {
      const std::string log = bench.RouterLog(0);
      const std::size_t done = log.find("event=request_done request=" + id);
      return done != std::string::npos && log.find("outcome=complete", done) != std::string::npos;
    }));
  }

  // Stops the router and lets the first caller read from this moment of the grace on.
  void StopAndReadFrom(std::chrono::milliseconds begin, bool writes_on) {
    SlowCaller& caller = *callers.front();
    bench.router(0).Signal(SIGTERM);
    elapsed.start();
    QElapsedTimer pause;
    pause.start();
    CHECK(SpinUntil([&] {
      if (!bench.router(0).running()) return true;
      if (pause.elapsed() < kReadPause.count()) return false;
      pause.restart();
      if (elapsed.elapsed() >= begin.count()) caller.Read();
      if (writes_on) caller.Write("x");
      return false;
    }));
    CHECK(elapsed.elapsed() < kGrace.count());
    CHECK(bench.router(0).exit_status() == 0);
  }

  ForwardBench bench;
  StandInServer server;
  std::vector<std::unique_ptr<SlowCaller>> callers;
  QElapsedTimer elapsed;
};

// If the machine behind the process goes with it, what the caller hasn't acknowledged is lost.
TEST_CASE("A stopped router goes once its answers have reached callers that read late and slowly") {
  std::chrono::milliseconds begin{0};
  bool writes_on = false;
  SUBCASE("in the middle of the grace") { begin = kGrace / 2; }
  SUBCASE("late in the grace") { begin = kGrace * 3 / 4; }
  SUBCASE("that go on sending") {
    begin = kGrace / 2;
    writes_on = true;
  }
  UnreadAnswer answer;
  answer.StopAndReadFrom(begin, writes_on);
  SlowCaller& caller = *answer.callers.front();
  // What is in the caller's own system at the end of the process.
  const std::size_t arrived = caller.received().size() + caller.unread();
  CHECK(SpinUntil([&] {
    caller.Read();
    if (writes_on) caller.Write("x");
    return caller.ended();
  }));
  CHECK_FALSE(caller.was_reset());
  CHECK(caller.received().ends_with(std::string(kLargeBytes, 'x')));
  CHECK(arrived == caller.received().size());
  CHECK(answer.bench.RouterLog(0).find("unacknowledged=0") != std::string::npos);
}

TEST_CASE("A stopped router whose callers read nothing goes in time and says how many there were") {
  UnreadAnswer answer;
  answer.Add();
  answer.Add();
  answer.StopAndReadFrom(kGrace, false);
  CHECK(answer.bench.RouterLog(0).find("unacknowledged=3") != std::string::npos);
}

}  // namespace
}  // namespace kumquat
