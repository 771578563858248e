#include "transport/answer_memory.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "raw_peer.h"
#include "transport/backend_client.h"
#include "transport/http_server.h"

namespace kumquat {
namespace {

constexpr std::int64_t kMegabyte = 1024 * 1024;

struct Keeper {
  explicit Keeper(AnswerMemory* memory) {
    account = memory->Open({[this] { return kept; },
                            [this] {
                              ++drops;
                              kept = 0;
                            }});
  }

  void Receive(std::int64_t bytes) {
    kept += bytes;
    account->Received(bytes);
  }

  std::int64_t kept = 0;
  int drops = 0;
  std::unique_ptr<AnswerMemory::Account> account;
};

void RunLoop() {
  for (int i = 0; i < 10; ++i) QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
}

TEST_CASE("Past the limit the largest answers are dropped, and small ones stay") {
  AnswerMemory memory(10 * kMegabyte);
  std::vector<std::unique_ptr<Keeper>> keepers(5);
  for (auto& keeper : keepers) keeper = std::make_unique<Keeper>(&memory);
  keepers[0]->Receive(1000);
  keepers[1]->Receive(3 * kMegabyte);
  keepers[2]->Receive(5 * kMegabyte);
  RunLoop();
  CHECK(memory.dropped() == 0);
  keepers[3]->Receive(4 * kMegabyte);
  RunLoop();
  CHECK(memory.dropped() == 1);
  CHECK(keepers[2]->drops == 1);
  keepers[4]->Receive(20 * kMegabyte);
  RunLoop();
  CHECK(keepers[4]->drops == 1);
  CHECK(keepers[0]->drops + keepers[1]->drops + keepers[3]->drops == 0);
}

TEST_CASE("Bytes that were passed on don't count, however many arrive") {
  AnswerMemory memory(kMegabyte);
  Keeper keeper(&memory);
  for (int i = 0; i < 100; ++i) {
    keeper.Receive(kMegabyte / 2);
    keeper.kept = 0;
    RunLoop();
  }
  CHECK(memory.dropped() == 0);
}

// At the end of a process calls are destroyed by the event loop, after their owners.
TEST_CASE("An account may outlive the memory") {
  auto memory = std::make_unique<AnswerMemory>(kMegabyte);
  Keeper keeper(memory.get());
  memory.reset();
  keeper.Receive(2 * kMegabyte);
  RunLoop();
  CHECK(keeper.drops == 0);
}

TEST_CASE("A drop may close other accounts") {
  AnswerMemory memory(kMegabyte);
  std::unique_ptr<Keeper> other;
  std::unique_ptr<AnswerMemory::Account> account;
  bool is_dropped = false;
  account = memory.Open({[&is_dropped] { return is_dropped ? 0 : 3 * kMegabyte; },
                         [&] {
                           is_dropped = true;
                           other.reset();
                           account.reset();
                         }});
  other = std::make_unique<Keeper>(&memory);
  other->kept = 2 * kMegabyte;
  account->Received(3 * kMegabyte);
  CHECK(SpinUntil([&] { return is_dropped; }));
  RunLoop();
  CHECK(memory.dropped() == 1);
}

// The reads of cache events, at control and on the own interface: one may have many megabytes, and
// there are hundreds of engines.
TEST_CASE("Gathered answers without end fail before all of them take more than the limit") {
  constexpr int kCalls = 40;
  const std::string piece(256 * 1024, 'x');
  RawServer server([&piece](QTcpSocket* socket) {
    socket->write("HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n");
    const auto flood = [socket, &piece] {
      if (socket->bytesToWrite() < kMegabyte) socket->write(piece.data(), piece.size());
    };
    QObject::connect(socket, &QTcpSocket::bytesWritten, socket, flood);
    flood();
  });
  AnswerMemory memory(8 * kMegabyte);
  const auto client = MakeHttpBackendClient(&memory);
  std::vector<std::unique_ptr<BackendCall>> calls(kCalls);
  int failed = 0;
  for (auto& call : calls) {
    BackendCallRequest request;
    request.endpoint = {"127.0.0.1", server.serverPort()};
    request.method = "GET";
    request.new_connection = true;
    // No call alone comes near its own limit.
    call = StartGathered(*client, std::move(request), {std::chrono::seconds(60), 64 * kMegabyte},
                         [&failed, &call](int status, std::string_view body) {
                           CHECK(status == 0);
                           CHECK(body.empty());
                           ++failed;
                           DestroyLater(std::move(call));
                         });
  }
  CHECK(SpinUntil([&] { return failed == kCalls; }));
  CHECK(memory.dropped() > 0);
}

// The connections of callers that read nothing of whole answers, whose requests are long done.
TEST_CASE("Answers that their callers don't read are dropped past the limit, and others served") {
  constexpr int kCallers = 30;
  const std::string long_answer(4 * kMegabyte, 'x');
  const std::string short_answer = "short";
  AnswerMemory memory(16 * kMegabyte);
  std::int64_t sent = 0;
  const auto server =
      HttpServer::Builder()
          .WithAnswerMemory(&memory)
          .WithHandler([&](const HttpRequest& request, const std::shared_ptr<HttpResponder>& one) {
            one->Send(200, {}, request.path == "/long" ? long_answer : short_answer);
            ++sent;
          })
          .Build();
  REQUIRE(server->Listen({"127.0.0.1", 0}));
  std::vector<std::unique_ptr<QTcpSocket>> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<QTcpSocket>());
    callers.back()->setReadBufferSize(1);
    callers.back()->connectToHost(QHostAddress::LocalHost, server->port());
    callers.back()->write("GET /long HTTP/1.1\r\nHost: x\r\n\r\n");
  }
  CHECK(SpinUntil([&] { return sent == kCallers && memory.dropped() > 0; }));
  RunLoop();
  // What one connection keeps is less than its answer, as the system has taken a part of it.
  CHECK(server->connections() <= 16 * kMegabyte / (2 * kMegabyte));
  QTcpSocket usual;
  usual.connectToHost(QHostAddress::LocalHost, server->port());
  usual.write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  CHECK(SpinUntil([&] { return usual.bytesAvailable() > 0; }));
  CHECK(usual.readAll().startsWith("HTTP/1.1 200"));
}

}  // namespace
}  // namespace kumquat
