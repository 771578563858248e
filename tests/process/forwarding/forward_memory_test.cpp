// The memory of a router while servers send bytes without end to many callers at once.
#include <fmt/format.h>

#include <QTcpSocket>
#include <memory>
#include <vector>

#include "process/forwarding/forward_bench.h"
#include "process/small_quarantine.h"

namespace kumquat {
namespace {

// What answers take has to leave half of the machine.
constexpr std::int64_t kMachineKilobytes = ForwardBench::kRouterMemoryMb * 1024;
constexpr int kCallers = 60;

bool IsSanitized() {
#ifdef __SANITIZE_ADDRESS__
  return true;
#else
  return false;
#endif
}

// Sends a request and reads nothing of its answer.
class DeafCaller {
 public:
  DeafCaller(ForwardBench& bench, const std::string& path) {
    socket_.setReadBufferSize(1);
    const Endpoint router = bench.router_endpoint(0);
    socket_.connectToHost(QString::fromStdString(router.ip), router.port);
    REQUIRE(socket_.waitForConnected());
    std::string id;
    std::string request = "POST " + path + " HTTP/1.1\r\nContent-Length: 0\r\n";
    for (const auto& [name, value] : bench.Headers(&id)) {
      request += fmt::format("{}: {}\r\n", name, value);
    }
    socket_.write(QByteArray::fromStdString(request + "\r\n"));
    REQUIRE(socket_.waitForBytesWritten());
  }

 private:
  QTcpSocket socket_;
};

class FloodBench {
 public:
  FloodBench() {
    bench.WaitForStatus(0, "/again/look", 200);
    CHECK(SpinUntil([&] {
      std::string id;
      bench.Run(0, "/again/look", &id);
      return !faulty.runs().empty() && !healthy.runs().empty();
    }));
    before_ = bench.router(0).peak_kilobytes();
  }

  // Lets floods arrive for a while, with requests of other callers beside them.
  void Flood() {
    QElapsedTimer timer;
    timer.start();
    std::unique_ptr<TestCall> other;
    while (timer.elapsed() < 4000) {
      std::string id;
      if (!other || other->done()) other = bench.Start(0, "/once/book", &id, "a booking");
      if (other->done() && HeaderValue(other->headers, "Kumquatcross-Server-Stamp") == "stamp.s1") {
        CHECK(other->status == 200);
      }
      QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents, 20);
    }
  }

  // Checks the memory, and that the router goes on to serve.
  void CheckBounded() {
    REQUIRE(bench.router(0).running());
    const std::int64_t peak = bench.router(0).peak_kilobytes();
    CHECK(peak - before_ < kMachineKilobytes / 2);
    if (!IsSanitized()) CHECK(peak < kMachineKilobytes);
    faulty.Leave();
    bench.WaitForStatus(0, "/again/look", 200);
  }

 private:
  const SmallQuarantine quarantine_;

 public:
  ForwardBench bench;
  StandInServer healthy{"s1", "desk", bench.control()};
  StandInServer faulty{"s2", "desk", bench.control()};

 private:
  std::int64_t before_ = 0;
};

// Operators reported of a similar system that a machine ran out of memory by a server's bytes.
TEST_CASE("Events without end, of many streams at once, take a bounded part of a router's memory") {
  FloodBench flood;
  flood.faulty.SetMode(StandInServer::Mode::kFloodsEvent);
  std::vector<std::unique_ptr<TestCall>> calls;
  for (int i = 0; i < kCallers; ++i) {
    std::string id;
    calls.push_back(flood.bench.Start(0, "/live/stream", &id));
  }
  flood.Flood();
  flood.CheckBounded();
}

TEST_CASE("Bodies without end, for callers that read nothing, take a bounded part of it") {
  FloodBench flood;
  flood.faulty.SetMode(StandInServer::Mode::kFloodsEvent);
  std::vector<std::unique_ptr<DeafCaller>> callers(kCallers);
  for (auto& caller : callers) caller = std::make_unique<DeafCaller>(flood.bench, "/again/look");
  flood.Flood();
  flood.CheckBounded();
}

}  // namespace
}  // namespace kumquat
