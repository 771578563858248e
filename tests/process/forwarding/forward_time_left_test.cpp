// The time that requests have left when they are written late.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <QElapsedTimer>
#include <algorithm>
#include <cerrno>
#include <string>
#include <vector>

#include "process/forwarding/forward_bench.h"

namespace kumquat {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kDeadline{5000};
// More time than is left counts as too much from this on.
constexpr milliseconds kTolerance{500};
// The system sends what opens a connection once more after a second.
constexpr milliseconds kPause{1300};
constexpr milliseconds kTimeToConnect{80};
constexpr milliseconds kTimeToLearn{1500};
constexpr int kCalls = 10;

// A server that takes no connection until it is told to. It keeps the heads that come.
class LateListener : public QTcpServer {
 public:
  LateListener() : descriptor_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    REQUIRE(::bind(descriptor_, generic, size) == 0);
    REQUIRE(::listen(descriptor_, 0) == 0);
    REQUIRE(getsockname(descriptor_, generic, &size) == 0);
    endpoint_ = {"127.0.0.1", ntohs(address.sin_port)};
    // Fill the queue of connections that aren't accepted.
    for (int i = 0; i < kFillers; ++i) {
      const int filler = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
      const bool is_connected = ::connect(filler, generic, size) == 0;
      CHECK((is_connected || errno == EINPROGRESS));
      fillers_.push_back(filler);
    }
  }
  LateListener(const LateListener&) = delete;
  LateListener& operator=(const LateListener&) = delete;
  ~LateListener() override {
    for (const int filler : fillers_) ::close(filler);
  }

  const Endpoint& endpoint() const { return endpoint_; }

  void TakeConnections() {
    REQUIRE(::listen(descriptor_, kQueue) == 0);
    REQUIRE(setSocketDescriptor(descriptor_));
  }

  struct Head {
    std::string text;
    QElapsedTimer since;
  };
  std::vector<Head> heads;

 protected:
  void incomingConnection(qintptr descriptor) override {
    auto* peer = new QTcpSocket(this);
    peer->setSocketDescriptor(descriptor);
    QObject::connect(peer, &QTcpSocket::readyRead, this, [this, peer] {
      Head head{peer->readAll().toStdString(), {}};
      head.since.start();
      heads.push_back(std::move(head));
      peer->write("HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n");
    });
  }

 private:
  static constexpr int kFillers = 3;
  static constexpr int kQueue = 64;

  int descriptor_;
  Endpoint endpoint_;
  std::vector<int> fillers_;
};

milliseconds TimeLeft(const std::string& head) {
  constexpr std::string_view kField = "Kumquatcross-Deadline-Ms: ";
  const auto at = head.find(kField);
  REQUIRE(at != std::string::npos);
  return milliseconds(std::stoi(head.substr(at + kField.size())));
}

TEST_CASE("A router that stands still while it connects doesn't hand on time that has passed") {
  ForwardBench bench(ForwardBench::kReplicas, 1);
  StandInServer server("s1", "desk", bench.control());
  bench.WaitForStatus(0, "/again/look", 200);
  server.StopAnnouncing();
  LateListener listener;
  StandInServer late("s2", "desk", bench.control());
  late.AnnounceAt(listener.endpoint());
  late.AnnounceOnce();
  server.Exit();
  std::string id;
  std::vector<std::unique_ptr<TestCall>> calls;
  QElapsedTimer since_sent;
  // Until the router knows of that.
  since_sent.start();
  CHECK(SpinUntil([&] { return since_sent.elapsed() > kTimeToLearn.count(); }));
  since_sent.start();
  calls.reserve(kCalls);
  for (int i = 0; i < kCalls; ++i) {
    calls.push_back(bench.Start(0, "/again/look", &id, {},
                                {{"Kumquatcross-Deadline-Ms", std::to_string(kDeadline.count())}}));
  }
  CHECK(SpinUntil([&] { return since_sent.elapsed() > kTimeToConnect.count(); }));
  bench.router(0).Signal(SIGSTOP);
  listener.TakeConnections();
  CHECK(SpinUntil([&] { return since_sent.elapsed() > kPause.count(); }));
  bench.router(0).Signal(SIGCONT);
  CHECK(SpinUntil([&] { return !listener.heads.empty(); }));
  CHECK(SpinUntil([&] {
    return std::all_of(calls.begin(), calls.end(), [](const auto& call) { return call->done(); });
  }));
  for (const LateListener::Head& head : listener.heads) {
    const milliseconds sent_ago(since_sent.elapsed() - head.since.elapsed());
    CAPTURE(sent_ago.count());
    CHECK(TimeLeft(head.text) <= kDeadline - sent_ago + kTolerance);
  }
}

}  // namespace
}  // namespace kumquat
