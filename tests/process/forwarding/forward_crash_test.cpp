// End-to-end tests with requests that crash the backend servers which run them: real control and
// router processes, and stand-in servers that close their connections and come back.
#include <QElapsedTimer>
#include <array>
#include <numeric>

#include "process/forwarding/forward_bench.h"

namespace kumquat {
namespace {

constexpr std::size_t kServers = 4;
// The rule that is tested: from this long after the crash that reaches the limit, at most this many
// more requests reach a server.
constexpr std::chrono::milliseconds kContactTime{3000};
constexpr int kMaxSendsAfterContactTime = 3;

class CrashBench : public ForwardBench {
 public:
  CrashBench() {
    for (std::size_t i = 0; i < kServers; ++i) {
      servers_[i] = std::make_unique<StandInServer>("s" + std::to_string(i), "desk", control());
    }
    for (int router = 0; router < kRouters; ++router) WaitForStatus(router, "/again/look", 200);
  }

  void CrashOnBody(const std::string& body) {
    for (const auto& server : servers_) server->CrashOnBody(body);
  }

  int Crashes() const {
    return std::accumulate(servers_.begin(), servers_.end(), 0,
                           [](int sum, const auto& server) { return sum + server->crashes(); });
  }

  // Sends the request through one router after the other until this many servers have crashed.
  void SendUntilCrashes(int crashes, const std::string& path, const std::string& body) {
    int next = 0;
    CHECK(SpinUntil([&] {
      if (Crashes() < crashes) Send(next++ % kRouters, path, body);
      return Crashes() >= crashes;
    }));
  }

  int Send(int router, const std::string& path, const std::string& body = {}) {
    std::string id;
    return Run(router, path, &id, body)->status;
  }

  static void Wait(std::chrono::milliseconds time) {
    QElapsedTimer timer;
    timer.start();
    CHECK(SpinUntil([&] { return timer.elapsed() >= time.count(); }));
  }

 private:
  std::array<std::unique_ptr<StandInServer>, kServers> servers_;
};

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

TEST_CASE(
    "Routers and replicas that restart one after the other still refuse a condemned request") {
  CrashBench bench;
  bench.CrashOnBody("crash");
  bench.SendUntilCrashes(3, "/long/stream", "crash");
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

}  // namespace
}  // namespace kumquat
