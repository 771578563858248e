// Planned stops of a router process: every request that it has read ends with an answer.
#include <QElapsedTimer>
#include <csignal>
#include <cstdlib>
#include <memory>
#include <vector>

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

}  // namespace
}  // namespace kumquat
