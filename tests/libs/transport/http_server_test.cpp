#include "transport/http_server.h"

#include <fmt/format.h>

#include <unistd.h>

#include <QElapsedTimer>
#include <QTimer>
#include <fstream>

#include "property.h"
#include "raw_peer.h"
#include "slow_caller.h"

namespace kumquat {
namespace {

constexpr std::int64_t kLimitBytes = 1024 * 1024;

// The address sanitizer keeps freed memory, so that the resident size says nothing there.
#ifdef __SANITIZE_ADDRESS__
constexpr bool kResidentSizeTells = false;
#else
constexpr bool kResidentSizeTells = true;
#endif

// What the handler was given.
struct Taken {
  HttpRequest request;
  std::shared_ptr<HttpResponder> responder;
};

struct Fixture {
  Fixture() {
    HttpServerLimits limits;
    limits.max_header_bytes = 8 * 1024;
    limits.max_body_bytes = kLimitBytes;
    limits.request_timeout = std::chrono::milliseconds(500);
    limits.max_connections = 20;
    server =
        HttpServer::Builder()
            .WithLimits(limits)
            .WithHandler([this](HttpRequest request, std::shared_ptr<HttpResponder> responder) {
              taken.push_back({std::move(request), std::move(responder)});
              if (on_taken) on_taken(taken.back());
            })
            .WithRequestMemory(&memory)
            .WithLimitBody([](int status) { return "limit " + std::to_string(status); })
            .Build();
    REQUIRE(server->Listen({"127.0.0.1", 0}));
  }

  std::unique_ptr<QTcpSocket> Connect() const {
    auto socket = std::make_unique<QTcpSocket>();
    socket->connectToHost(QHostAddress::LocalHost, server->port());
    REQUIRE(SpinUntil([&] { return socket->state() == QTcpSocket::ConnectedState; }));
    return socket;
  }

  // Sends the bytes on a new connection and returns what comes back until it is closed.
  std::string Exchange(const std::string& bytes) const {
    const auto socket = Connect();
    socket->write(bytes.data(), static_cast<qint64>(bytes.size()));
    CHECK(SpinUntil([&] { return socket->state() == QTcpSocket::UnconnectedState; }));
    return socket->readAll().toStdString();
  }

  RequestMemory memory{2 * kLimitBytes};
  std::function<void(Taken&)> on_taken;
  std::vector<Taken> taken;
  std::unique_ptr<HttpServer> server;
};

std::int64_t ResidentKilobytes() {
  std::ifstream status("/proc/self/status");
  std::string word;
  while (status >> word) {
    if (word == "VmRSS:") break;
  }
  std::int64_t kilobytes = 0;
  status >> kilobytes;
  return kilobytes;
}

TEST_CASE("A request comes in whole and its answer goes out whole") {
  Fixture fixture;
  fixture.on_taken = [](Taken& taken) {
    taken.responder->Send(201, {{"X-A", "b\r\nX-Evil: 1"}}, "done");
  };
  const std::string answer = fixture.Exchange(
      "POST /a%20b/c?q=%31 HTTP/1.1\r\nHost: x\r\nX-Id: 7\r\nConnection: close\r\n"
      "Content-Length: 4\r\n\r\nbody");
  REQUIRE(fixture.taken.size() == 1);
  const HttpRequest& request = fixture.taken[0].request;
  CHECK(request.method == "POST");
  CHECK(request.path == "/a b/c");
  CHECK(request.query == "q=%31");
  CHECK(request.Header("x-id") == "7");
  CHECK(request.body == "body");
  CHECK(answer ==
        "HTTP/1.1 201 Created\r\nX-A: b  X-Evil: 1\r\nContent-Length: 4\r\n"
        "Connection: close\r\n\r\ndone");
  CHECK(fixture.server->open_requests() == 0);
}

TEST_CASE("A body in chunks arrives whole") {
  Fixture fixture;
  fixture.on_taken = [](Taken& taken) { taken.responder->Send(200, {}, taken.request.body); };
  const std::string answer = fixture.Exchange(
      "POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n");
  CHECK(answer.ends_with("\r\n\r\nabcde"));
}

TEST_CASE("Every method is handed over under its own name") {
  for (const std::string method :
       {"GET", "PUT", "DELETE", "HEAD", "OPTIONS", "PATCH", "PROPFIND", "BREW"}) {
    CAPTURE(method);
    Fixture fixture;
    fixture.on_taken = [](Taken& taken) { taken.responder->Send(200, {}, "ok"); };
    const std::string answer =
        fixture.Exchange(method + " / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    REQUIRE(fixture.taken.size() == 1);
    CHECK(fixture.taken[0].request.method == method);
    CHECK(answer.ends_with(method == "HEAD" ? "\r\n\r\n" : "\r\n\r\nok"));
  }
}

TEST_CASE("A stream goes out chunk by chunk; only an ended one is whole") {
  for (const bool ended : {true, false}) {
    Fixture fixture;
    const auto socket = fixture.Connect();
    socket->write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(SpinUntil([&] { return fixture.taken.size() == 1; }));
    HttpResponder& responder = *fixture.taken[0].responder;
    responder.StartStream(200, {{"Content-Type", "text/event-stream"}});
    responder.Write("data: 1\n\n");
    CHECK(SpinUntil([&] { return socket->peek(1000).endsWith("\r\n9\r\ndata: 1\n\n\r\n"); }));
    ended ? responder.End() : responder.Abort();
    if (ended) {
      CHECK(SpinUntil([&] { return socket->peek(1000).endsWith("\r\n0\r\n\r\n"); }));
      socket->write("GET /second HTTP/1.1\r\nHost: x\r\n\r\n");
      CHECK(SpinUntil([&] { return fixture.taken.size() == 2; }));
    } else {
      CHECK(SpinUntil([&] { return socket->state() == QTcpSocket::UnconnectedState; }));
      CHECK(!socket->readAll().endsWith("0\r\n\r\n"));
      CHECK(fixture.server->open_requests() == 0);
    }
  }
}

TEST_CASE("A caller that goes away is seen once, and later calls are ignored") {
  for (const bool streaming : {false, true}) {
    Fixture fixture;
    int closed = 0;
    auto socket = fixture.Connect();
    socket->write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(SpinUntil([&] { return fixture.taken.size() == 1; }));
    HttpResponder& responder = *fixture.taken[0].responder;
    responder.OnClosed([&] { ++closed; });
    if (streaming) responder.StartStream(200, {});
    socket->abort();
    CHECK(SpinUntil([&] { return closed == 1; }));
    responder.Write("late");
    responder.Send(200, {}, "late");
    responder.End();
    fixture.server.reset();
    responder.Abort();
    CHECK(closed == 1);
  }
}

TEST_CASE("A caller that reads slowly is visible") {
  Fixture fixture;
  const auto socket = fixture.Connect();
  socket->setReadBufferSize(1024);
  socket->write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  REQUIRE(SpinUntil([&] { return fixture.taken.size() == 1; }));
  HttpResponder& responder = *fixture.taken[0].responder;
  int caught_up = 0;
  responder.OnCaughtUp([&] {
    ++caught_up;
    CHECK(responder.pending_bytes() == 0);
  });
  responder.StartStream(200, {});
  const std::string piece(kLimitBytes, 'x');
  for (int i = 0; i < 32; ++i) responder.Write(piece);
  for (int i = 0; i < 20; ++i) QCoreApplication::processEvents();
  CHECK(responder.pending_bytes() > kLimitBytes);
  CHECK(caught_up == 0);
  socket->setReadBufferSize(0);
  CHECK(SpinUntil([&] {
    socket->readAll();
    return responder.pending_bytes() == 0;
  }));
  CHECK(caught_up == 1);
}

TEST_CASE("A request past a limit is refused while memory stays bounded") {
  const std::string post = "POST / HTTP/1.1\r\nHost: x\r\n";
  const std::string megabyte(kLimitBytes, 'x');
  const std::string chunk = "100000\r\n" + megabyte + "\r\n";
  struct Case {
    std::string head;
    std::string repeated;
    int status;
  };
  const std::vector<Case> cases = {
      {post + "Content-Length: 104857600\r\n\r\n", megabyte, 413},
      {post + "Content-Length: 99999999999999999999999\r\n\r\n", megabyte, 413},
      {post + "Transfer-Encoding: chunked\r\n\r\n", chunk, 413},
      {post + "X-Long: ", megabyte, 431},
      {megabyte, megabyte, 431},
      {post + "Content-Length: 3\r\nContent-Length: 4\r\n\r\n", "x", 400},
      {post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", "x", 400},
      {post + "Content-Length: -3\r\n\r\n", "x", 400}};
  for (const Case& one : cases) {
    CAPTURE(one.head.substr(0, 120));
    Fixture fixture;
    const auto socket = fixture.Connect();
    const std::int64_t before = ResidentKilobytes();
    std::int64_t most = 0;
    std::string answer;
    socket->write(one.head.data(), static_cast<qint64>(one.head.size()));
    const auto read = [&] {
      answer += socket->readAll().toStdString();
      most = std::max(most, ResidentKilobytes() - before);
    };
    for (int i = 0; i < 100 && socket->state() == QTcpSocket::ConnectedState; ++i) {
      socket->write(one.repeated.data(), static_cast<qint64>(one.repeated.size()));
      CHECK(SpinUntil([&] {
        read();
        return socket->bytesToWrite() == 0 || socket->state() != QTcpSocket::ConnectedState;
      }));
    }
    CHECK(SpinUntil([&] { return socket->state() == QTcpSocket::UnconnectedState; }));
    read();
    CHECK(answer.starts_with("HTTP/1.1 " + std::to_string(one.status)));
    if (one.status != 400) CHECK(answer.ends_with("limit " + std::to_string(one.status)));
    CHECK(fixture.taken.empty());
    // Both ends live in this process, and a piece is as large as the limit.
    if (kResidentSizeTells) CHECK(most < 16 * kLimitBytes / 1024);
  }
}

TEST_CASE("What two parsers could understand differently is refused, and the connection closed") {
  const std::string head = "POST / HTTP/1.1\r\nHost: x\r\n";
  const std::vector<std::string> requests = {
      "POST / HTTP/1.1\nHost: x\nContent-Length: 0\n\n",
      head + "Transfer-Encoding: xchunked\r\n\r\n",
      head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
      head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      head + "Content-Length: 0\r\nContent-Length: 0\r\n\r\n",
      head + "Content-Length : 3\r\n\r\nabc",
      head + "Content-Length: +3\r\n\r\nabc",
      head + "X\x01: y\r\n\r\n",
      "POST / /b HTTP/1.1\r\nHost: x\r\n\r\n",
      "\x16\x03\x01 noise"};
  for (const std::string& request : requests) {
    CAPTURE(request);
    Fixture fixture;
    const auto socket = fixture.Connect();
    socket->write(request.data(), static_cast<qint64>(request.size()));
    QElapsedTimer timer;
    timer.start();
    CHECK(SpinUntil([&] { return socket->state() == QTcpSocket::UnconnectedState; }));
    CHECK(timer.elapsed() < 400);
    CHECK(fixture.taken.empty());
    const QByteArray answer = socket->readAll();
    const bool is_refused = answer.isEmpty() || answer.startsWith("HTTP/1.1 400");
    CHECK(is_refused);
  }
}

// A connection that isn't read from for want of memory would keep its part in the system's buffers.
TEST_CASE("The bodies of all connections together are bounded, and refused ones are told so") {
  Fixture fixture;
  const std::string head =
      "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(kLimitBytes) + "\r\n\r\n";
  const std::string body(kLimitBytes, 'x');
  std::vector<std::unique_ptr<QTcpSocket>> sockets;
  for (int i = 0; i < 12; ++i) {
    sockets.push_back(fixture.Connect());
    sockets.back()->write((head + body).c_str());
  }
  std::vector<QByteArray> answers(sockets.size());
  const auto read = [&] {
    for (std::size_t i = 0; i < sockets.size(); ++i) answers[i] += sockets[i]->readAll();
  };
  const auto refused = [&] {
    read();
    return static_cast<std::size_t>(
        std::count_if(answers.begin(), answers.end(),
                      [](const auto& answer) { return answer.startsWith("HTTP/1.1 503"); }));
  };
  // Each is taken or refused; what is kept stays near the limit, by a body that was whole at once.
  CHECK(SpinUntil([&] {
    CHECK(fixture.memory.kept_bytes() <= 3 * kLimitBytes);
    return fixture.taken.size() + refused() == sockets.size();
  }));
  CHECK(fixture.taken.size() >= 1);
  CHECK(fixture.taken.size() <= 3);
  for (const QByteArray& answer : answers) {
    if (!answer.isEmpty()) CHECK(answer.contains("Retry-After: "));
  }
  // Whoever was refused is served once there is room again.
  for (Taken& taken : fixture.taken) {
    taken.request.body.clear();
    taken.responder->Send(200, {}, "ok");
  }
  fixture.on_taken = [](Taken& taken) {
    taken.request.body.clear();
    taken.responder->Send(200, {}, "ok");
  };
  const std::size_t before = fixture.taken.size();
  const auto again = fixture.Connect();
  again->write((head + body).c_str());
  CHECK(SpinUntil([&] { return fixture.taken.size() == before + 1; }));
}

// A caller that goes on sending while it gets answers must not make the server keep its input.
TEST_CASE("One connection that sends requests ahead without end is bounded") {
  Fixture fixture;
  fixture.on_taken = [](Taken& taken) {
    QTimer::singleShot(1, [responder = taken.responder] { responder->Send(200, {}, "ok"); });
  };
  const auto socket = fixture.Connect();
  QObject::connect(socket.get(), &QTcpSocket::readyRead, socket.get(), [&] { socket->readAll(); });
  const QByteArray request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
  std::int64_t most = 0;
  CHECK(SpinUntil([&] {
    if (socket->bytesToWrite() < 1'000'000) socket->write(request.repeated(10'000));
    most = std::max(most, fixture.memory.kept_bytes());
    return fixture.taken.size() > 500;
  }));
  CHECK(most < 200'000);
}

TEST_CASE("An idle connection and a slow header are closed in time") {
  Fixture fixture;
  HttpServerLimits limits;
  limits.idle_timeout = std::chrono::milliseconds(300);
  limits.header_timeout = std::chrono::milliseconds(300);
  fixture.server->SetLimits(limits);
  const auto idle = fixture.Connect();
  const auto slow = fixture.Connect();
  QTimer drip;
  QObject::connect(&drip, &QTimer::timeout, slow.get(), [&] { slow->write("GET /"); });
  drip.start(50);
  CHECK(SpinUntil([&] {
    return idle->state() == QTcpSocket::UnconnectedState &&
           slow->state() == QTcpSocket::UnconnectedState;
  }));
  CHECK(fixture.taken.empty());
}

TEST_CASE("A stream of a known length goes out under that length") {
  Fixture fixture;
  fixture.on_taken = [](Taken& taken) {
    taken.responder->StartStream(200, {}, 5);
    taken.responder->Write("he");
    taken.responder->Write("llo");
    taken.responder->End();
  };
  const std::string answer =
      fixture.Exchange("GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  CHECK(answer == "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: close\r\n\r\nhello");
}

TEST_CASE("Pipelined requests get their own answers in order, however they are cut") {
  CheckProperty("pipeline", [] {
    Fixture fixture;
    const auto bodies = *rc::gen::container<std::vector<std::string>>(
        *rc::gen::inRange(1, 8), rc::gen::container<std::string>(rc::gen::inRange('a', 'f')));
    std::string text;
    std::string expected;
    for (std::size_t i = 0; i < bodies.size(); ++i) {
      const bool chunked = *rc::gen::arbitrary<bool>() && !bodies[i].empty();
      const std::string size = std::to_string(bodies[i].size());
      text += "POST /" + std::to_string(i) + " HTTP/1.1\r\nHost: x\r\n";
      if (chunked) {
        text += "Transfer-Encoding: chunked\r\n\r\n";
        for (const char c : bodies[i]) text += std::string("1\r\n") + c + "\r\n";
        text += "0\r\n\r\n";
      } else {
        text += "Content-Length: " + size + "\r\n\r\n" + bodies[i];
      }
      const std::string answer = fmt::format("/{}{}", i, bodies[i]);
      expected += "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(answer.size()) +
                  "\r\nConnection: keep-alive\r\n\r\n" + answer;
    }
    const auto socket = fixture.Connect();
    std::size_t answered = 0;
    const auto step = [&] {
      QCoreApplication::processEvents();
      // Never two at once.
      RC_ASSERT(fixture.taken.size() <= answered + 1);
      if (fixture.taken.size() == answered || !*rc::gen::arbitrary<bool>()) return;
      Taken& taken = fixture.taken[answered++];
      taken.responder->Send(200, {}, taken.request.path + taken.request.body);
    };
    for (std::string_view rest = text; !rest.empty();) {
      const auto size = *rc::gen::inRange<std::size_t>(1, rest.size() + 1);
      socket->write(rest.data(), static_cast<qint64>(size));
      socket->flush();
      rest.remove_prefix(size);
      step();
    }
    while (answered < bodies.size()) {
      RC_ASSERT(SpinUntil([&] { return fixture.taken.size() > answered; }));
      step();
    }
    RC_ASSERT(SpinUntil(
        [&] { return socket->bytesAvailable() >= static_cast<qint64>(expected.size()); }));
    RC_ASSERT(socket->readAll().toStdString() == expected);
  });
}

TEST_CASE("Half a request is given up after a silence, and too many connections are refused") {
  Fixture fixture;
  const std::string answer =
      fixture.Exchange("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\na");
  CHECK(answer.empty());
  std::vector<std::unique_ptr<QTcpSocket>> sockets;
  for (int i = 0; i < 25; ++i) {
    sockets.push_back(std::make_unique<QTcpSocket>());
    sockets.back()->connectToHost(QHostAddress::LocalHost, fixture.server->port());
  }
  CHECK(SpinUntil([&] {
    return std::count_if(sockets.begin(), sockets.end(), [](const auto& socket) {
             return socket->state() == QTcpSocket::UnconnectedState;
           }) == 5;
  }));
}

// Kept from a router that was stopped in the bench: streams that had begun left their connections
// open, and callers sent the next request on them until the process ended.
TEST_CASE("A stream that began before the server stops is the last of its connection") {
  Fixture fixture;
  const auto socket = fixture.Connect();
  socket->write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  REQUIRE(SpinUntil([&] { return fixture.taken.size() == 1; }));
  HttpResponder& responder = *fixture.taken[0].responder;
  responder.StartStream(200, {});
  responder.Write("data: 1\n\n");
  fixture.server->CloseAfterAnswers(std::chrono::seconds(5));
  responder.End();
  CHECK(SpinUntil([&] { return socket->state() == QTcpSocket::UnconnectedState; }));
  CHECK(socket->readAll().endsWith("\r\n0\r\n\r\n"));
}

// Kept from callers that read late: a byte that came after the close reset their connections.
TEST_CASE("An answer that its caller reads late arrives whole, though the caller goes on sending") {
  constexpr std::size_t kAnswerBytes = 90'000;
  constexpr std::chrono::milliseconds kUnread{3500};
  Fixture fixture;
  bool is_idle = false;
  SUBCASE("the last of its connection") {}
  SUBCASE("before the server stops listening") { is_idle = true; }
  SlowCaller caller({"127.0.0.1", fixture.server->port()}, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  REQUIRE(SpinUntil([&] { return fixture.taken.size() == 1; }));
  if (!is_idle) fixture.server->CloseAfterAnswers(std::chrono::seconds(10));
  fixture.taken[0].responder->Send(200, {}, std::string(kAnswerBytes, 'x'));
  CHECK(SpinUntil([&] { return fixture.server->open_requests() == 0; }));
  CHECK(fixture.server->unacknowledged_connections() == 1);
  if (is_idle) fixture.server->StopListening();
  QElapsedTimer elapsed;
  elapsed.start();
  SpinUntil([&] { return elapsed.elapsed() >= kUnread.count(); });
  caller.Write("x");
  CHECK(fixture.server->unacknowledged_connections() == 1);
  CHECK(SpinUntil([&] {
    caller.Read();
    return caller.ended();
  }));
  CHECK_FALSE(caller.was_reset());
  CHECK(caller.received().ends_with(std::string(kAnswerBytes, 'x')));
  CHECK(fixture.server->unacknowledged_connections() == 0);
}

TEST_CASE("A server that stops listening finishes what runs") {
  Fixture fixture;
  const auto socket = fixture.Connect();
  socket->write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  REQUIRE(SpinUntil([&] { return fixture.taken.size() == 1; }));
  fixture.server->StopListening();
  CHECK(fixture.server->open_requests() == 1);
  fixture.taken[0].responder->Send(200, {}, "late");
  CHECK(SpinUntil([&] { return socket->state() == QTcpSocket::UnconnectedState; }));
  CHECK(socket->readAll().endsWith("Connection: close\r\n\r\nlate"));
  CHECK(fixture.server->open_requests() == 0);
}

}  // namespace
}  // namespace kumquat
