// Streams beside servers of several software versions.
#include <fmt/format.h>

#include <QElapsedTimer>
#include <algorithm>
#include <set>

#include "process/forwarding/forward_bench.h"

namespace kumquat {
namespace {

using std::chrono::milliseconds;
using AskedWork = StandInServer::AskedWork;

constexpr milliseconds kLength{3600};
constexpr milliseconds kDeadline{5000};
// What is refused for good is refused in this time, and not held until the deadline.
constexpr milliseconds kPrompt{1000};
constexpr const char* kModel = "lm";

// Lets the budgets of routers grow, which repeats and moves take from.
void FillBudgets(ForwardBench& bench) {
  constexpr int kRequests = 200;
  for (int i = 0; i < ForwardBench::kRouters; ++i) {
    CHECK(SpinUntil([&] {
      return bench.RouterLog(i).find(fmt::format("routers={} before", ForwardBench::kRouters)) !=
             std::string::npos;
    }));
  }
  std::string id;
  for (int i = 0; i < kRequests; ++i) {
    bench.Run(i % ForwardBench::kRouters, "/again/look", &id, "1 0 0");
  }
}

// A stream of a caller that takes it up again where it broke off.
struct Stream {
  std::string first_id;
  std::string id;
  int events = 0;
  std::set<std::string> versions;
  std::unique_ptr<TestCall> call;
};

class VersionBench {
 public:
  VersionBench() {
    for (int i = 0; i < 4; ++i) AddServer(i < 2 ? "v1" : "v2");
    for (int i = 0; i < ForwardBench::kRouters; ++i) bench.WaitForStatus(i, "/again/look", 200);
    FillBudgets(bench);
  }

  void AddServer(const std::string& software) {
    auto server = std::make_unique<StandInServer>(fmt::format("s{}", servers.size() + 1), "desk",
                                                  bench.control());
    server->SetMode(StandInServer::Mode::kWorksAsAsked);
    server->SetSlots(64);
    server->SetSoftware(software);
    servers.push_back(std::move(server));
  }

  void Wait(milliseconds time) {
    QElapsedTimer elapsed;
    elapsed.start();
    CHECK(SpinUntil([&] { return elapsed.elapsed() >= time.count(); }));
  }

  void Begin(Stream& stream, int router) {
    stream.call = bench.Start(router, "/long/stream", &stream.id, Work(), Deadline());
    stream.first_id = stream.id;
  }

  // Takes up the stream as far as it has come.
  void TakeUp(Stream& stream, int router) {
    Collect(stream);
    HttpHeaders headers = Deadline();
    headers.emplace_back("Last-Event-Id", std::to_string(stream.events));
    headers.emplace_back("Resumes", stream.first_id);
    stream.call = bench.Start(router, "/long/stream", &stream.id, Work(), headers);
  }

  // Notes the events that have come, and of which versions they are.
  void Collect(Stream& stream) const {
    for (const std::string& event : stream.call->events) {
      CHECK(event.starts_with(fmt::format("piece {} of ", ++stream.events)));
      stream.versions.insert(event.substr(event.rfind(' ') + 1));
    }
    stream.call->events.clear();
  }

  void Finish(std::vector<Stream>& streams) const {
    CHECK(SpinUntil([&] {
      return std::all_of(streams.begin(), streams.end(),
                         [](const Stream& stream) { return stream.call->done(); });
    }));
    for (Stream& stream : streams) Collect(stream);
  }

  static std::string Work() { return AskedWork{kLength, {}, 0}.ToBody(); }
  static HttpHeaders Deadline() {
    return {{"Kumquatcross-Deadline-Ms", std::to_string(kDeadline.count())}};
  }

  ForwardBench bench;
  std::vector<std::unique_ptr<StandInServer>> servers;
};

std::vector<Stream> BeginStreams(VersionBench& world, int count, int router) {
  std::vector<Stream> streams(count);
  for (Stream& stream : streams) world.Begin(stream, router);
  // Until each has a few of its six events.
  CHECK(SpinUntil([&] {
    return std::all_of(streams.begin(), streams.end(),
                       [](const Stream& stream) { return stream.call->events.size() >= 2; });
  }));
  return streams;
}

void CheckWhole(const std::vector<Stream>& streams) {
  std::set<std::string> versions;
  for (const Stream& stream : streams) {
    CAPTURE(stream.first_id);
    CHECK(stream.call->status == 200);
    CHECK(stream.events == StandInServer::kEvents);
    CHECK(stream.versions.size() == 1);
    versions.insert(stream.versions.begin(), stream.versions.end());
  }
  // Both are in service, so that a stream could be joined.
  CHECK(versions.size() == 2);
}

TEST_CASE("A stream that is taken up at another router isn't joined from two software versions") {
  VersionBench world;
  auto streams = BeginStreams(world, 24, 0);
  world.bench.router(0).Kill();
  for (Stream& stream : streams) world.TakeUp(stream, 1);
  world.Finish(streams);
  CheckWhole(streams);
}

TEST_CASE("Nor after all routers were killed, or all replicas while the routers lived") {
  VersionBench world;
  auto streams = BeginStreams(world, 24, 0);
  int router = 0;
  SUBCASE("all routers") {
    for (int i = 0; i < ForwardBench::kRouters; ++i) world.bench.router(i).Kill();
    for (int i = 0; i < ForwardBench::kRouters; ++i) world.bench.router(i).Start();
  }
  SUBCASE("all replicas") {
    for (int i = 0; i < ForwardBench::kReplicas; ++i) {
      world.bench.replica(i).Kill();
      world.bench.replica(i).Start();
    }
    // Until they are linked, and know the streams again.
    world.Wait(milliseconds(2000));
    for (Stream& stream : streams) stream.call->call.reset();
    router = 1;
  }
  CHECK(SpinUntil([&] { return world.bench.IsReady(router); }));
  // Servers are known a moment after the router is ready.
  world.bench.WaitForStatus(router, "/again/look", 200);
  world.Wait(milliseconds(500));
  for (Stream& stream : streams) world.TakeUp(stream, router);
  world.Finish(streams);
  CheckWhole(streams);
}

TEST_CASE("A stream whose servers break off goes on at its software version in one answer") {
  VersionBench world;
  auto streams = BeginStreams(world, 24, 0);
  world.servers[0]->Crash();
  world.servers[2]->Crash();
  world.Finish(streams);
  CheckWhole(streams);
}

TEST_CASE(
    "A stream is refused at once, and reaches no server, when its software version has left") {
  VersionBench world;
  auto streams = BeginStreams(world, 12, 0);
  world.bench.router(0).Kill();
  for (int i = 0; i < 2; ++i) world.servers[i]->Leave();
  world.Wait(milliseconds(500));
  std::vector<std::size_t> arrivals;
  for (const auto& server : world.servers) arrivals.push_back(server->arrivals().size());
  QElapsedTimer elapsed;
  elapsed.start();
  for (Stream& stream : streams) world.TakeUp(stream, 1);
  const bool has_old = std::any_of(streams.begin(), streams.end(), [](const Stream& stream) {
    return stream.versions.contains("v1");
  });
  REQUIRE(has_old);
  CHECK(SpinUntil([&] {
    return std::all_of(streams.begin(), streams.end(), [](const Stream& stream) {
      return stream.versions.contains("v2") || stream.call->done();
    });
  }));
  CHECK(elapsed.elapsed() < kPrompt.count());
  world.Finish(streams);
  for (const Stream& stream : streams) {
    CHECK(stream.versions.size() == 1);
    if (stream.versions.contains("v2")) continue;
    CHECK(stream.call->status == 503);
    CHECK(HeaderValue(stream.call->headers, "Retry-After").empty());
    for (const auto& server : world.servers) {
      for (const auto& arrival : server->arrivals()) CHECK(arrival.id != stream.id);
    }
  }
}

TEST_CASE("A stream that nobody knows to have begun is refused as not run") {
  VersionBench world;
  std::string id;
  const auto begun = world.bench.Run(0, "/long/stream", &id, VersionBench::Work());
  REQUIRE(begun->status == 200);
  const std::vector<HttpHeaders> improper = {
      {{"Last-Event-Id", "2"}},
      {{"Last-Event-Id", "2"}, {"Resumes", "nobody"}},
      {{"Last-Event-Id", "two"}, {"Resumes", id}},
      {{"Last-Event-Id", "+2"}, {"Resumes", id}},
  };
  for (const HttpHeaders& headers : improper) {
    std::string taken_up;
    const auto call = world.bench.Run(1, "/long/stream", &taken_up, VersionBench::Work(), headers);
    CHECK(call->status == 503);
    for (const auto& server : world.servers) {
      for (const auto& arrival : server->arrivals()) CHECK(arrival.id != taken_up);
    }
  }
  // Without an event there is nothing to go on with.
  std::string anew;
  const auto call = world.bench.Run(1, "/long/stream", &anew, VersionBench::Work(),
                                    {{"Last-Event-Id", "0"}, {"Resumes", "nobody"}});
  CHECK(call->status == 200);
}

TEST_CASE("A once-only stream that is moved for new weights isn't joined from two versions") {
  ForwardBench bench(ForwardBench::kReplicas, ForwardBench::kRouters);
  bench.ServeByEngines(kModel);
  bench.KeepStreamRoute("/draft/", milliseconds(15'000));
  bench.PutConfiguration(2);
  bench.PutWeightsVersion(kModel, 1);
  std::vector<std::unique_ptr<StandInServer>> engines;
  for (int i = 0; i < 6; ++i) {
    auto engine = std::make_unique<StandInServer>(fmt::format("e{}", i), "desk", bench.control());
    engine->SetMode(StandInServer::Mode::kWorksAsAsked);
    engine->SetSlots(64);
    engine->SetSoftware(i % 2 == 0 ? "v1" : "v2");
    engine->SetWeights(kModel, 1);
    engine->ActAsEngine();
    engines.push_back(std::move(engine));
  }
  for (int i = 0; i < ForwardBench::kRouters; ++i) bench.WaitForStatus(i, "/again/look", 200);
  FillBudgets(bench);
  std::string id;
  std::vector<std::unique_ptr<TestCall>> calls;
  for (int i = 0; i < 24; ++i) {
    const HttpHeaders headers = {{"Kumquatcross-Deadline-Ms", "15000"},
                                 {"Kumquatcross-Model", kModel},
                                 {"Kumquatcross-Token-Count", "100,10"},
                                 {"Kumquatcross-Prompt-Prefix", fmt::format("aa:60,{:x}:40", i)}};
    calls.push_back(bench.Start(i % 2, "/draft/stream", &id,
                                AskedWork{milliseconds(4000), {}, 0}.ToBody(), headers));
  }
  CHECK(SpinUntil([&] {
    return std::all_of(calls.begin(), calls.end(),
                       [](const auto& call) { return !call->events.empty(); });
  }));
  bench.PutWeightsVersion(kModel, 2);
  CHECK(SpinUntil([&] {
    return std::all_of(calls.begin(), calls.end(), [](const auto& call) { return call->done(); });
  }));
  int moved = 0;
  for (const auto& engine : engines) moved += engine->stopped_runs();
  CHECK(moved > 0);
  for (const auto& call : calls) {
    std::set<std::string> versions;
    for (const std::string& event : call->events) {
      versions.insert(event.substr(event.rfind(' ') + 1));
    }
    CHECK(call->events.size() == StandInServer::kEvents);
    CHECK(versions.size() == 1);
  }
}

}  // namespace
}  // namespace kumquat
