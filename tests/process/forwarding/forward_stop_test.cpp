// Ends of router and control processes on the platform's path: each leads to an exit, in time.
#include <fmt/format.h>

#include <QDateTime>
#include <QElapsedTimer>
#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>
#include <algorithm>
#include <csignal>
#include <memory>
#include <vector>

#include "process/forwarding/forward_bench.h"

namespace kumquat {
namespace {

constexpr std::chrono::milliseconds kGrace{8000};
constexpr std::chrono::milliseconds kSlowTimeout = std::chrono::minutes(1);
// Fewer than the connections that a service allows.
constexpr int kManyCalls = 40;
constexpr int kMostCalls = 200;
constexpr int kServers = 12;

// Servers of streams that outlast the grace, and callers of them.
struct LongStreams {
  explicit LongStreams(StandInServer::Mode mode) {
    for (int i = 0; i < kServers; ++i) {
      servers.push_back(
          std::make_unique<StandInServer>(fmt::format("s{}", i), "desk", bench.control()));
    }
    bench.PutSlowStreams(2, "/slow/", kSlowTimeout);
    bench.WaitForStatus(0, "/slow/stream", 200);
    for (const auto& server : servers) server->SetMode(mode);
  }

  std::size_t Runs() const {
    std::size_t runs = 0;
    for (const auto& server : servers) runs += server->runs().size();
    return runs;
  }

  // Starts streams and waits until each is at a server.
  void Start(int count) {
    const std::size_t before = Runs();
    std::string id;
    for (int i = 0; i < count; ++i) calls.push_back(bench.Start(0, "/slow/stream", &id));
    CHECK(SpinUntil([&] { return Runs() >= before + static_cast<std::size_t>(count); }));
  }

  bool AllDone() const {
    return std::all_of(calls.begin(), calls.end(), [](const auto& call) { return call->done(); });
  }

  ForwardBench bench;
  std::vector<std::unique_ptr<StandInServer>> servers;
  std::vector<std::unique_ptr<TestCall>> calls;
};

void CheckExits(TestProgram& program, std::chrono::milliseconds longest) {
  QElapsedTimer elapsed;
  elapsed.start();
  CHECK(SpinUntil([&] { return !program.running(); }));
  CHECK(elapsed.elapsed() < longest.count());
  CHECK(program.exit_status() == 0);
}

// Prints how long the router, which has just ended, took for that after it had cut its streams.
void ReportExit(const ForwardBench& bench, int streams) {
  const qint64 ended = QDateTime::currentMSecsSinceEpoch();
  const std::string log = bench.RouterLog(0);
  const std::size_t cut = log.find("event=requests_ended_for_shutdown");
  REQUIRE(cut != std::string::npos);
  const std::size_t time = log.rfind("time=", cut) + std::string_view("time=").size();
  const QString text = QString::fromStdString(log.substr(time, log.find(' ', time) - time));
  const qint64 begun = QDateTime::fromString(text, Qt::ISODateWithMs).toMSecsSinceEpoch();
  MESSAGE(fmt::format("exit after the cut of {} streams: {} ms", streams, ended - begun));
}

TEST_CASE("A router that cuts a stream at the end of its grace exits, and doesn't hang") {
  LongStreams streams(StandInServer::Mode::kDribbles);
  streams.Start(1);
  CHECK(SpinUntil([&] { return !streams.calls.front()->events.empty(); }));
  streams.bench.router(0).Signal(SIGTERM);
  CheckExits(streams.bench.router(0), kGrace);
  ReportExit(streams.bench, 1);
  CHECK(SpinUntil([&] { return streams.AllDone(); }));
}

TEST_CASE("A router that cuts many streams at once exits, and doesn't hang") {
  int count = kManyCalls;
  SUBCASE("some dozens") {}
  SUBCASE("some hundreds") { count = kMostCalls; }
  LongStreams streams(StandInServer::Mode::kDribbles);
  streams.Start(count);
  streams.bench.router(0).Signal(SIGTERM);
  CheckExits(streams.bench.router(0), kGrace);
  ReportExit(streams.bench, count);
  CHECK(SpinUntil([&] { return streams.AllDone(); }));
}

TEST_CASE("A router whose runners are silent to the end of its grace exits, and doesn't hang") {
  LongStreams streams(StandInServer::Mode::kHoldsStreams);
  streams.Start(kManyCalls);
  streams.bench.router(0).Signal(SIGTERM);
  CheckExits(streams.bench.router(0), kGrace);
  CHECK(SpinUntil([&] { return streams.AllDone(); }));
}

TEST_CASE("A router whose callers read nothing of what streams in exits, and doesn't hang") {
  constexpr int kCallers = 4;
  auto mode = StandInServer::Mode::kFloods;
  SUBCASE("more than the router keeps") {}
  SUBCASE("little, so that none is cut before") { mode = StandInServer::Mode::kDribbles; }
  LongStreams streams(mode);
  std::vector<std::unique_ptr<QTcpSocket>> callers;
  for (int i = 0; i < kCallers; ++i) {
    std::string id;
    std::string head = "POST /slow/stream HTTP/1.1\r\nContent-Length: 0\r\n";
    for (const auto& [name, value] : streams.bench.Headers(&id)) {
      head += fmt::format("{}: {}\r\n", name, value);
    }
    callers.push_back(std::make_unique<QTcpSocket>());
    callers.back()->setReadBufferSize(1024);
    callers.back()->connectToHost(QHostAddress::LocalHost, streams.bench.router_endpoint(0).port);
    REQUIRE(callers.back()->waitForConnected());
    callers.back()->write(QByteArray::fromStdString(head + "\r\n"));
  }
  CHECK(SpinUntil([&] {
    return std::all_of(callers.begin(), callers.end(),
                       [](const auto& caller) { return caller->bytesAvailable() > 0; });
  }));
  streams.bench.router(0).Signal(SIGTERM);
  CheckExits(streams.bench.router(0), kGrace);
}

TEST_CASE("A router without requests exits when it is stopped, and so does each replica") {
  ForwardBench bench;
  const StandInServer server("s1", "desk", bench.control());
  bench.WaitForStatus(0, "/again/look", 200);
  bench.router(0).Signal(SIGTERM);
  CheckExits(bench.router(0), kGrace);
  for (int replica = 0; replica < ForwardBench::kReplicas; ++replica) {
    bench.replica(replica).Signal(SIGTERM);
    CheckExits(bench.replica(replica), kGrace);
  }
}

TEST_CASE("A stopped router that gets signals to its last moment exits with 0, not by one") {
  LongStreams streams(StandInServer::Mode::kDribbles);
  streams.Start(kManyCalls);
  streams.bench.router(0).Signal(SIGTERM);
  QElapsedTimer elapsed;
  elapsed.start();
  // Without a pause at the end, whose moments are short.
  CHECK(SpinUntil([&] {
    if (!streams.bench.router(0).running()) return true;
    streams.bench.router(0).Signal(SIGHUP);
    streams.bench.router(0).Signal(SIGTERM);
    return false;
  }));
  CHECK(elapsed.elapsed() < kGrace.count());
  CHECK(streams.bench.router(0).exit_status() == 0);
}

TEST_CASE("A router that is interrupted twice ends at once, with open streams") {
  LongStreams streams(StandInServer::Mode::kDribbles);
  streams.Start(kManyCalls);
  streams.bench.router(0).Signal(SIGINT);
  CHECK(SpinUntil([&] { return !streams.bench.IsReady(0); }));
  streams.bench.router(0).Signal(SIGINT);
  CHECK(SpinUntil([&] { return !streams.bench.router(0).running(); }));
  CHECK(streams.bench.router(0).end_signal() == SIGINT);
}

// Programs that need no other one, started for an address each.
std::string RouterSettings(const Endpoint& listen) {
  return fmt::format(
      "instance = \"r9\"\nfailure_domain = \"d1\"\nlisten = \"{}\"\n[forward]\n"
      "control_seeds = [\"{}\"]\nready_listen = \"{}\"\n",
      listen.ToString(), FreeEndpoint().ToString(), FreeEndpoint().ToString());
}

std::string ReplicaSettings(const Endpoint& http_listen, const QTemporaryDir& folder) {
  return fmt::format(
      "instance = \"c9\"\nfailure_domain = \"d1\"\nlisten = \"{}\"\nhttp_listen = \"{}\"\n"
      "data_dir = \"{}\"\n",
      FreeEndpoint().ToString(), http_listen.ToString(),
      folder.filePath(QStringLiteral("c9")).toStdString());
}

TEST_CASE("A start at an address that is in use ends with status 1, and doesn't hang") {
  QTcpServer other;
  REQUIRE(other.listen(QHostAddress::LocalHost));
  const Endpoint taken{"127.0.0.1", other.serverPort()};
  const QTemporaryDir folder;
  TestProgram router("kumquat-router", RouterSettings(taken));
  TestProgram replica("kumquat-control", ReplicaSettings(taken, folder));
  for (TestProgram* program : {&router, &replica}) {
    program->Start();
    CHECK(SpinUntil([&] { return !program->running(); }));
    CHECK(program->exit_status() == 1);
  }
}

TEST_CASE("A program that gets SIGHUP while it starts isn't ended by it") {
  const QTemporaryDir folder;
  const Endpoint router_listen = FreeEndpoint();
  const Endpoint replica_listen = FreeEndpoint();
  TestProgram router("kumquat-router", RouterSettings(router_listen));
  TestProgram replica("kumquat-control", ReplicaSettings(replica_listen, folder));
  for (TestProgram* program : {&router, &replica}) {
    program->StartHeld();
    program->Signal(SIGHUP);
    program->Release();
    CHECK(WaitForListener(program == &router ? router_listen : replica_listen));
    CHECK(program->running());
    if (!program->running()) continue;
    program->Signal(SIGTERM);
    CheckExits(*program, kGrace);
  }
}

TEST_CASE("A program that gets SIGTERM or SIGINT while it starts exits with 0, not by the signal") {
  const QTemporaryDir folder;
  for (const int number : {SIGTERM, SIGINT}) {
    TestProgram router("kumquat-router", RouterSettings(FreeEndpoint()));
    TestProgram replica("kumquat-control", ReplicaSettings(FreeEndpoint(), folder));
    for (TestProgram* program : {&router, &replica}) {
      program->StartHeld();
      program->Signal(number);
      program->Release();
      CheckExits(*program, kGrace);
      CHECK(program->end_signal() == 0);
    }
  }
}

// The grace counts from the signal, after which the platform kills what is still there.
TEST_CASE("A router that is stopped while it starts slowly ends within the grace of its signal") {
  constexpr std::chrono::milliseconds kHeld{6500};
  TestProgram router("kumquat-router", RouterSettings(FreeEndpoint()));
  router.StartHeld();
  router.Signal(SIGTERM);
  QElapsedTimer elapsed;
  elapsed.start();
  SpinUntil([&] { return elapsed.elapsed() >= kHeld.count(); });
  router.Release();
  CheckExits(router, kGrace - kHeld);
}

}  // namespace
}  // namespace kumquat
