// Backend servers that answer before they have read the whole request, and then reset the
// connection.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <string>
#include <thread>

#include "process/forwarding/crash_bench.h"

namespace kumquat {
namespace {

constexpr const char* kServerId = "early";

// Runs in a thread of its own, so that it resets connections while the router writes.
class EarlyServer {
 public:
  EarlyServer() : listener_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    REQUIRE(bind(listener_, reinterpret_cast<sockaddr*>(&address), size) == 0);
    REQUIRE(listen(listener_, 100) == 0);
    REQUIRE(getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size) == 0);
    endpoint_ = {"127.0.0.1", ntohs(address.sin_port)};
    thread_ = std::thread([this] { Run(); });
  }
  EarlyServer(const EarlyServer&) = delete;
  EarlyServer& operator=(const EarlyServer&) = delete;
  ~EarlyServer() {
    // Ends the accept that the thread waits in.
    shutdown(listener_, SHUT_RDWR);
    thread_.join();
    close(listener_);
  }

  const Endpoint& endpoint() const { return endpoint_; }
  int answers() const { return answers_; }

 private:
  void Run() {
    while (true) {
      const int connection = accept(listener_, nullptr, nullptr);
      if (connection < 0) return;
      Answer(connection);
    }
  }

  void Answer(int connection) {
    std::array<char, 4096> buffer{};
    std::string head;
    while (head.find("\r\n\r\n") == std::string::npos) {
      const ssize_t count = recv(connection, buffer.data(), buffer.size(), 0);
      if (count <= 0) break;
      head.append(buffer.data(), static_cast<std::size_t>(count));
    }
    const std::string answer = "HTTP/1.1 200 OK\r\nKumquatcross-Request-Id: " + IdIn(head) +
                               "\r\nKumquatcross-Server-Stamp: stamp\r\n\r\n" +
                               std::string(700, 'a');
    send(connection, answer.data(), answer.size(), MSG_NOSIGNAL);
    const linger now{1, 0};
    setsockopt(connection, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    close(connection);
    ++answers_;
  }

  static std::string IdIn(const std::string& head) {
    constexpr std::string_view kField = "Kumquatcross-Request-Id: ";
    const std::size_t at = head.find(kField);
    if (at == std::string::npos) return {};
    const std::size_t begin = at + kField.size();
    return head.substr(begin, head.find("\r\n", begin) - begin);
  }

  int listener_;
  Endpoint endpoint_;
  std::atomic<int> answers_{0};
  std::thread thread_;
};

// Announces the server until a router sends it requests.
void Announce(ForwardBench& bench, const EarlyServer& server) {
  const std::string body = ToJsonText({{"service", "desk"},
                                       {"addr", ToQString(server.endpoint().ToString())},
                                       {"zone", "d1"},
                                       {"version", "v1"},
                                       {"slots", 4},
                                       {"state", "ready"},
                                       {"coldLeftMs", 0},
                                       {"born", 1},
                                       {"models", QJsonArray()},
                                       {"seq", 1}});
  CHECK(SpinUntil([&] {
    return bench.caller()
               .Run(bench.control()[0], "PUT", std::string("/instances/") + kServerId,
                    {{"Content-Type", "application/json"}}, body)
               ->status == 200;
  }));
}

// Guards against a part of an answer that callers get as a whole one.
TEST_CASE("An answer that is reset while a long upload is written never looks whole") {
  ForwardBenchOptions options;
  options.max_body_bytes = 4'000'000;
  ForwardBench bench(options);
  EarlyServer server;
  Announce(bench, server);
  std::string id;
  CHECK(SpinUntil([&] {
    bench.Run(0, "/again/look", &id);
    return server.answers() > 0;
  }));
  const std::string upload(3'000'000, 'u');
  for (const std::string path : {"/again/look", "/once/book"}) {
    CAPTURE(path);
    constexpr int kTries = 120;
    int whole = 0;
    for (int i = 0; i < kTries; ++i) {
      if (bench.Run(i % ForwardBench::kRouters, path, &id, upload)->status == 200) ++whole;
    }
    CHECK(whole == 0);
  }
  CHECK(server.answers() > 120);
}

}  // namespace
}  // namespace kumquat
