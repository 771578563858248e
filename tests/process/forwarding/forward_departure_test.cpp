// Backend servers that leave while control replicas are killed: what was acknowledged holds.

#include <QTcpSocket>
#include <csignal>
#include <memory>
#include <string>
#include <vector>

#include "process/forwarding/crash_bench.h"

namespace kumquat {
namespace {

// From this long after the acknowledgement on, a leaving server gets no request.
constexpr std::chrono::milliseconds kDrainTime{2000};

// Sends the DELETE of the server to a replica, and kills that as soon as its acknowledgement is
// here. Returns whether it acknowledged.
bool LeaveAndKill(ForwardBench& bench, int replica, const std::string& server) {
  const Endpoint& endpoint = bench.control()[replica];
  QTcpSocket socket;
  socket.connectToHost(QString::fromStdString(endpoint.ip), endpoint.port);
  if (!socket.waitForConnected()) return false;
  socket.write(QByteArray::fromStdString("DELETE /instances/" + server +
                                         " HTTP/1.1\r\nHost: control\r\n\r\n"));
  if (!socket.waitForBytesWritten() || !socket.waitForReadyRead()) return false;
  if (!socket.peek(12).endsWith("200")) return false;
  bench.replica(replica).Signal(SIGKILL);
  return true;
}

// Guards against a departure that only the replica which acknowledged it knows of.
TEST_CASE("Servers that left get no request after the replica that acknowledged it is killed") {
  ForwardBench bench;
  StandInServer staying("staying", "desk", bench.control());
  constexpr int kLeaving = 6;
  std::vector<std::unique_ptr<StandInServer>> leaving;
  leaving.reserve(kLeaving);
  for (int i = 0; i < kLeaving; ++i) {
    leaving.push_back(
        std::make_unique<StandInServer>("leaving" + std::to_string(i), "desk", bench.control()));
  }
  std::string id;
  for (const auto& server : leaving) {
    CHECK(SpinUntil([&] {
      for (int router = 0; router < ForwardBench::kRouters; ++router) {
        bench.Run(router, "/again/look", &id);
      }
      return !server->runs().empty();
    }));
  }
  int acknowledged = 0;
  for (int i = 0; i < kLeaving; ++i) {
    StandInServer& server = *leaving[i];
    const int replica = i % ForwardBench::kReplicas;
    server.StopAnnouncing();
    // A replica that has just started may refuse at first.
    const bool has_left = SpinUntil([&] { return LeaveAndKill(bench, replica, server.id()); });
    CHECK(has_left);
    acknowledged += has_left ? 1 : 0;
    bench.replica(replica).Kill();
    bench.replica(replica).Start();
    CrashBench::Wait(kDrainTime);
    const std::size_t before = server.runs().size();
    constexpr int kRequests = 20;
    for (int request = 0; request < kRequests; ++request) {
      for (int router = 0; router < ForwardBench::kRouters; ++router) {
        CHECK(bench.Run(router, "/again/look", &id)->status == 200);
      }
    }
    CHECK(server.runs().size() == before);
  }
  CHECK(acknowledged == kLeaving);
}

// Guards against a departure that is forgotten with all processes, and a heartbeat from before it
// that then brings the server back.
TEST_CASE("A server that left stays so after all processes were killed, whatever arrives late") {
  ForwardBench bench;
  StandInServer staying("staying", "desk", bench.control());
  StandInServer leaving("leaving", "desk", bench.control());
  std::string id;
  CHECK(SpinUntil([&] {
    bench.Run(0, "/again/look", &id);
    return !leaving.runs().empty();
  }));
  leaving.StopAnnouncing();
  CHECK(SpinUntil([&] {
    return bench.caller().Run(bench.control()[0], "DELETE", "/instances/" + leaving.id())->status ==
           200;
  }));
  for (int i = 0; i < ForwardBench::kReplicas; ++i) bench.replica(i).Kill();
  for (int i = 0; i < ForwardBench::kRouters; ++i) bench.router(i).Kill();
  for (int i = 0; i < ForwardBench::kReplicas; ++i) bench.replica(i).Start();
  for (int i = 0; i < ForwardBench::kRouters; ++i) bench.router(i).Start();
  leaving.AnnounceOnce();
  for (int i = 0; i < ForwardBench::kRouters; ++i) bench.WaitForStatus(i, "/again/look", 200);
  CrashBench::Wait(kDrainTime);
  // Once more, to replicas that have read their log.
  leaving.AnnounceOnce();
  CrashBench::Wait(kDrainTime);
  const std::size_t before = leaving.runs().size();
  constexpr int kRequests = 20;
  for (int request = 0; request < kRequests; ++request) {
    for (int router = 0; router < ForwardBench::kRouters; ++router) {
      CHECK(bench.Run(router, "/again/look", &id)->status == 200);
    }
  }
  CHECK(leaving.runs().size() == before);
}

}  // namespace
}  // namespace kumquat
