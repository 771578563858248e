#include "transport/backend_client.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <QTimer>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "raw_peer.h"

namespace kumquat {
namespace {

constexpr std::string_view kWholeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// What one call told its caller.
struct Heard {
  int status = 0;
  std::string data;
  int ends = 0;
  std::optional<CallFailure> failure;
  std::string reason;

  bool done() const { return ends > 0 || failure; }
};

BackendCallHooks HooksInto(Heard* heard) {
  return {.on_headers = [heard](int status, const HttpHeaders&) { heard->status = status; },
          .on_data = [heard](std::string_view data) { heard->data += data; },
          .on_end = [heard] { ++heard->ends; },
          .on_failure =
              [heard](CallFailure failure, std::string_view reason) {
                CHECK(!heard->failure);
                heard->failure = failure;
                heard->reason = reason;
              }};
}

BackendCallRequest RequestTo(std::uint16_t port, const std::string& method = "POST",
                             const std::string& body = "{}") {
  BackendCallRequest request;
  request.endpoint = {"127.0.0.1", port};
  request.method = method;
  request.body = body;
  return request;
}

// Calls that are made at the same time.
struct Burst {
  Burst(BackendClient& client, std::uint16_t port, int count) : heard(count) {
    calls.reserve(count);
    for (Heard& one : heard) calls.push_back(client.Start(RequestTo(port), HooksInto(&one)));
  }

  std::vector<Heard> heard;
  std::vector<std::unique_ptr<BackendCall>> calls;
};

Heard Run(BackendClient& client, const BackendCallRequest& request) {
  Heard heard;
  const auto call = client.Start(request, HooksInto(&heard));
  CHECK(!heard.done());
  CHECK(SpinUntil([&] { return heard.done(); }));
  return heard;
}

void Answer(QTcpSocket* socket, std::string_view bytes) {
  socket->write(bytes.data(), static_cast<qint64>(bytes.size()));
}

enum class Closing { kFin, kReset, kHalfAnswer };

void CloseWith(QTcpSocket* socket, Closing closing) {
  if (closing == Closing::kReset) {
    const linger now{1, 0};
    setsockopt(static_cast<int>(socket->socketDescriptor()), SOL_SOCKET, SO_LINGER, &now,
               sizeof(now));
    socket->abort();
    return;
  }
  if (closing == Closing::kHalfAnswer) Answer(socket, kWholeAnswer.substr(0, 20));
  socket->disconnectFromHost();
}

struct Shape {
  std::string method;
  std::string body;
};

const std::vector<Shape> kShapes = {{"POST", "{\"a\":1}"}, {"POST", ""},     {"GET", ""},
                                    {"DELETE", ""},        {"HEAD", ""},     {"PUT", "x"},
                                    {"BREW", ""},          {"GET", "query"}, {"OPTIONS", ""}};

TEST_CASE("A closing server sees each call exactly once") {
  for (const Shape& shape : kShapes) {
    for (const Closing closing : {Closing::kFin, Closing::kReset, Closing::kHalfAnswer}) {
      for (const int warm_calls : {0, 1, 3}) {
        CAPTURE(shape.method);
        CAPTURE(shape.body);
        CAPTURE(static_cast<int>(closing));
        CAPTURE(warm_calls);
        int answers_left = warm_calls;
        RawServer server([&](QTcpSocket* socket) {
          if (answers_left-- > 0) {
            Answer(socket, kWholeAnswer);
          } else {
            CloseWith(socket, closing);
          }
        });
        const auto client = MakeHttpBackendClient();
        for (int i = 0; i < warm_calls; ++i) {
          CHECK(Run(*client, RequestTo(server.serverPort())).ends == 1);
        }
        CHECK(server.connections == std::min(warm_calls, 1));
        const Heard heard = Run(*client, RequestTo(server.serverPort(), shape.method, shape.body));
        CHECK(heard.failure == CallFailure::kBroken);
        CHECK(heard.ends == 0);
        // A second sending would come before the answer to a later call.
        CHECK(Run(*client, RequestTo(server.serverPort())).failure == CallFailure::kBroken);
        CHECK(server.requests == warm_calls + 2);
        CHECK(server.connections == 2);
      }
    }
  }
}

TEST_CASE("A call after the server has closed the idle connection runs at most once") {
  for (const Shape& shape : kShapes) {
    RawServer server([&](QTcpSocket* socket) {
      Answer(socket, shape.method == "HEAD" ? kWholeAnswer.substr(0, kWholeAnswer.size() - 2)
                                            : kWholeAnswer);
      socket->disconnectFromHost();
    });
    const auto client = MakeHttpBackendClient();
    for (int i = 1; i <= 5; ++i) {
      CAPTURE(shape.method);
      const int before = server.requests;
      const Heard heard = Run(*client, RequestTo(server.serverPort(), shape.method, shape.body));
      CHECK(server.requests - before <= 1);
      if (heard.ends == 1) CHECK(server.requests - before == 1);
      if (heard.failure == CallFailure::kNotSent) CHECK(server.requests == before);
    }
  }
}

TEST_CASE("An answer that is cut at any byte never ends as whole") {
  const std::vector<std::string> answers = {
      "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 5\r\n\r\nhello",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n",
      "HTTP/1.1 503 No\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n",
      "HTTP/1.1 404 No\r\nContent-Length: 5\r\n\r\nhello",
      "HTTP/1.1 409 No\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello"};
  for (const std::string& answer : answers) {
    for (std::size_t cut = 0; cut <= answer.size(); ++cut) {
      for (const bool reset : {false, true}) {
        if (reset && cut == answer.size()) continue;
        CAPTURE(answer);
        CAPTURE(cut);
        CAPTURE(reset);
        RawServer server([&](QTcpSocket* socket) {
          Answer(socket, answer.substr(0, cut));
          socket->flush();
          CloseWith(socket, reset ? Closing::kReset : Closing::kFin);
        });
        const auto client = MakeHttpBackendClient();
        const Heard heard = Run(*client, RequestTo(server.serverPort(), "GET", ""));
        CHECK(server.requests == 1);
        CHECK(std::string_view("hello").starts_with(heard.data));
        if (cut == answer.size()) {
          CHECK(heard.ends == 1);
          CHECK(heard.data == "hello");
        } else {
          CHECK(heard.failure == CallFailure::kBroken);
          CHECK(heard.ends == 0);
        }
      }
    }
  }
}

TEST_CASE("An answer without a length is not taken for whole") {
  RawServer server([](QTcpSocket* socket) {
    Answer(socket, "HTTP/1.1 200 OK\r\n\r\nhello");
    socket->disconnectFromHost();
  });
  const Heard heard = Run(*MakeHttpBackendClient(), RequestTo(server.serverPort()));
  CHECK(heard.failure == CallFailure::kBroken);
}

TEST_CASE("An answer without a length is whole where it is asked for and ends in order") {
  for (const Closing closing : {Closing::kFin, Closing::kReset}) {
    RawServer server([&](QTcpSocket* socket) {
      Answer(socket, "HTTP/1.1 200 OK\r\n\r\nhello");
      socket->flush();
      QTimer::singleShot(20, socket, [socket, closing] { CloseWith(socket, closing); });
    });
    BackendCallRequest request = RequestTo(server.serverPort());
    request.takes_unframed_answer = true;
    const Heard heard = Run(*MakeHttpBackendClient(), request);
    CHECK(heard.data == "hello");
    CHECK(heard.ends == (closing == Closing::kFin ? 1 : 0));
    if (closing == Closing::kReset) CHECK(heard.failure == CallFailure::kBroken);
  }
}

// A server that answers with the first bytes of a request, without a length, and then resets the
// connection.
class ResettingServer : public QTcpServer {
 public:
  explicit ResettingServer(std::chrono::milliseconds pause) : pause_(pause) {
    listen(QHostAddress::LocalHost);
  }

 protected:
  void incomingConnection(qintptr descriptor) override {
    auto* socket = new QTcpSocket(this);
    socket->setSocketDescriptor(descriptor);
    connect(socket, &QTcpSocket::readyRead, this, [this, socket] {
      if (socket->property("answered").toBool()) return;
      socket->setProperty("answered", true);
      Answer(socket, "HTTP/1.1 200 OK\r\n\r\n" + std::string(700, 'a'));
      socket->flush();
      if (pause_.count() == 0) return CloseWith(socket, Closing::kReset);
      QTimer::singleShot(pause_, socket, [socket] { CloseWith(socket, Closing::kReset); });
    });
  }

 private:
  std::chrono::milliseconds pause_;
};

// Guards against a part of an answer that is passed on as a whole one.
TEST_CASE("An answer that is reset while the request is still being written is broken") {
  const std::string upload(3'000'000, 'u');
  for (const int pause : {0, 1, 20}) {
    ResettingServer server{std::chrono::milliseconds(pause)};
    constexpr int kTries = 40;
    for (int i = 0; i < kTries; ++i) {
      BackendCallRequest request = RequestTo(server.serverPort(), "POST", upload);
      request.takes_unframed_answer = true;
      const Heard heard = Run(*MakeHttpBackendClient(), request);
      CHECK(heard.ends == 0);
      CHECK(heard.failure == CallFailure::kBroken);
    }
  }
}

// A server that stops inside the head must not be taken for one whose answer has no length.
TEST_CASE("An answer that is cut inside its head never reaches the caller") {
  constexpr std::string_view kEndOfHead = "\r\n\r\n";
  for (const std::string answer : {"HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 5\r\n\r\nhello",
                                   "HTTP/1.1 200 OK\r\nX-A: b\r\nX-C: d\r\n\r\nhello"}) {
    const std::size_t head = answer.find(kEndOfHead) + kEndOfHead.size();
    for (std::size_t cut = 0; cut < head; ++cut) {
      CAPTURE(cut);
      RawServer server([&](QTcpSocket* socket) {
        Answer(socket, answer.substr(0, cut));
        socket->flush();
        CloseWith(socket, Closing::kFin);
      });
      BackendCallRequest request = RequestTo(server.serverPort());
      request.takes_unframed_answer = true;
      const Heard heard = Run(*MakeHttpBackendClient(), request);
      CHECK(heard.failure == CallFailure::kBroken);
      CHECK(heard.ends == 0);
      CHECK(heard.data.empty());
    }
  }
}

constexpr std::string_view kStrayAnswer =
    "HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 1\r\n\r\ns";

TEST_CASE("A late answer to an earlier call on a kept connection reaches no later call") {
  for (const bool before_request : {true, false}) {
    CAPTURE(before_request);
    int request_count = 0;
    RawServer server([&](QTcpSocket* socket) {
      ++request_count;
      const std::string own = "HTTP/1.1 200 OK\r\nX-Id: " + std::to_string(request_count) +
                              "\r\nContent-Length: 2\r\n\r\nok";
      if (request_count == 2 && !before_request) Answer(socket, kStrayAnswer);
      Answer(socket, own);
      if (request_count == 1 && before_request) {
        QTimer::singleShot(20, socket, [socket] { Answer(socket, kStrayAnswer); });
      }
    });
    const auto client = MakeHttpBackendClient();
    for (int id = 1; id <= 3; ++id) {
      BackendCallRequest request = RequestTo(server.serverPort());
      request.is_own_answer = [id](int, const HttpHeaders& headers) {
        return HeaderValue(headers, "X-Id") == std::to_string(id);
      };
      const Heard heard = Run(*client, request);
      CHECK(heard.ends == 1);
      CHECK(heard.data == "ok");
      if (before_request && id == 1) {
        const QDeadlineTimer wait(std::chrono::milliseconds(60));
        while (!wait.hasExpired()) QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
      }
    }
    CHECK(server.requests == 3);
    CHECK(server.connections == 2);
  }
}

TEST_CASE("Bytes that name no call, late on a used connection, reach no later call") {
  int requests = 0;
  RawServer server([&](QTcpSocket* socket) {
    const std::string own = "HTTP/1.1 200 OK\r\nX-Id: " + std::to_string(++requests) +
                            "\r\nContent-Length: 2\r\n\r\nok";
    if (requests == 2) Answer(socket, "HTTP/1.1 400 Bad\r\nContent-Length: 5\r\n\r\nstray");
    Answer(socket, own);
  });
  const auto client = MakeHttpBackendClient();
  for (int id = 1; id <= 3; ++id) {
    BackendCallRequest request = RequestTo(server.serverPort());
    const auto names_call = [id](const HttpHeaders& headers) {
      return HeaderValue(headers, "X-Id") == std::to_string(id);
    };
    request.is_own_answer = [names_call](int, const HttpHeaders& headers) {
      return HeaderValue(headers, "X-Id").empty() || names_call(headers);
    };
    request.is_own_answer_on_reuse = [names_call](int, const HttpHeaders& headers) {
      return names_call(headers);
    };
    const Heard heard = Run(*client, request);
    CHECK(heard.ends == 1);
    CHECK(heard.data == "ok");
  }
  CHECK(server.requests == 3);
}

TEST_CASE("A refusal that a server writes once more on its connection reaches no later call") {
  for (const int status : {408, 421, 429, 503}) {
    CAPTURE(status);
    const std::string refusal =
        "HTTP/1.1 " + std::to_string(status) + " No\r\nContent-Length: 2\r\n\r\nno";
    int requests = 0;
    RawServer server([&](QTcpSocket* socket) {
      const bool was_refused = socket->property("refused").toBool();
      // The first request is refused, and each later one on the same connection too, although it
      // runs.
      if (++requests == 1 || was_refused) Answer(socket, refusal);
      socket->setProperty("refused", requests == 1 || was_refused);
      if (requests > 1) Answer(socket, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nran");
    });
    const auto client = MakeHttpBackendClient();
    const Heard refused = Run(*client, RequestTo(server.serverPort()));
    CHECK(refused.data == "no");
    const Heard next = Run(*client, RequestTo(server.serverPort()));
    CHECK(next.ends == 1);
    CHECK(next.data == "ran");
  }
}

TEST_CASE("A connection whose answer came before the whole request isn't used again") {
  const std::string body(8 * 1024 * 1024, 'x');
  class EarlyServer : public QTcpServer {
   public:
    EarlyServer() { listen(QHostAddress::LocalHost); }
    int connections = 0;

   protected:
    void incomingConnection(qintptr descriptor) override {
      ++connections;
      auto* socket = new QTcpSocket(this);
      socket->setReadBufferSize(1024);
      socket->setSocketDescriptor(descriptor);
      connect(socket, &QTcpSocket::readyRead, socket, [this, socket] {
        if (answered_.insert(socket).second) Answer(socket, kWholeAnswer);
      });
    }

   private:
    std::set<QTcpSocket*> answered_;
  };
  EarlyServer server;
  const auto client = MakeHttpBackendClient();
  CHECK(Run(*client, RequestTo(server.serverPort(), "POST", body)).ends == 1);
  CHECK(Run(*client, RequestTo(server.serverPort(), "POST", body)).ends == 1);
  CHECK(server.connections == 2);
}

TEST_CASE("An interim answer is passed over") {
  RawServer server([](QTcpSocket* socket) {
    Answer(socket, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n");
    Answer(socket, kWholeAnswer);
  });
  const Heard heard = Run(*MakeHttpBackendClient(), RequestTo(server.serverPort()));
  CHECK(heard.ends == 1);
  CHECK(heard.status == 200);
  CHECK(heard.data == "ok");
}

// Guards against a status that no recipient knows and that is passed on, or taken for an interim
// answer until the call's time is over (RFC 9110, section 15).
TEST_CASE("An answer with an invalid status is broken at once, and nothing of it is passed on") {
  for (const char* status : {"000", "001", "099", "600", "999"}) {
    for (const char* framing : {"Content-Length: 2\r\n\r\nok", "\r\nok",
                                "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"}) {
      CAPTURE(status);
      CAPTURE(framing);
      // The connection stays open.
      RawServer server([&](QTcpSocket* socket) {
        Answer(socket, std::string("HTTP/1.1 ") + status + " Odd\r\n" + framing);
      });
      BackendCallRequest request = RequestTo(server.serverPort());
      request.takes_unframed_answer = true;
      request.timeouts.first_byte = std::chrono::minutes(1);
      const Heard heard = Run(*MakeHttpBackendClient(), request);
      CHECK(heard.failure == CallFailure::kBroken);
      CHECK(heard.status == 0);
      CHECK(heard.data.empty());
      CHECK(heard.ends == 0);
    }
  }
}

TEST_CASE("The first and the last valid status are passed on") {
  for (const int status : {200, 599}) {
    RawServer server([&](QTcpSocket* socket) {
      Answer(socket, "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: 2\r\n\r\nok");
    });
    const Heard heard = Run(*MakeHttpBackendClient(), RequestTo(server.serverPort()));
    CHECK(heard.status == status);
    CHECK(heard.ends == 1);
  }
}

TEST_CASE("Silence ends a call in each phase") {
  CallTimeouts short_ones;
  short_ones.connect = std::chrono::milliseconds(300);
  short_ones.first_byte = std::chrono::milliseconds(200);
  short_ones.between_bytes = std::chrono::milliseconds(200);
  for (const std::string_view sent :
       {"", "HTTP/1.1 200", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhe"}) {
    CAPTURE(sent);
    RawServer server([&](QTcpSocket* socket) { Answer(socket, sent); });
    BackendCallRequest request = RequestTo(server.serverPort());
    request.timeouts = short_ones;
    const auto client = MakeHttpBackendClient();
    const Heard heard = Run(*client, request);
    CHECK(heard.failure == CallFailure::kSilent);
    CHECK(SpinUntil([&] { return server.closed == 1; }));
    CHECK(server.requests == 1);
  }
}

// A socket that listens and whose queue of waiting connections is full.
class FullListener {
 public:
  FullListener() : listener_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
    REQUIRE(listen(listener_, 0) == 0);
    socklen_t size = sizeof(address);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    port = ntohs(address.sin_port);
    for (QTcpSocket& filler : fillers_) {
      filler.connectToHost(QHostAddress::LocalHost, port);
      filler.waitForConnected(200);
    }
  }
  FullListener(const FullListener&) = delete;
  FullListener& operator=(const FullListener&) = delete;
  ~FullListener() { close(listener_); }

  std::uint16_t port = 0;

 private:
  int listener_;
  std::array<QTcpSocket, 3> fillers_;
};

TEST_CASE("A call is reported as not sent only if there was no connection") {
  const auto client = MakeHttpBackendClient();
  std::uint16_t free_port = 0;
  {
    const RawServer closed_server([](QTcpSocket*) {});
    free_port = closed_server.serverPort();
  }
  for (const Shape& shape : kShapes) {
    CAPTURE(shape.method);
    const Heard refused = Run(*client, RequestTo(free_port, shape.method, shape.body));
    CHECK(refused.failure == CallFailure::kNotSent);
  }
  const FullListener full;
  BackendCallRequest request = RequestTo(full.port);
  request.timeouts.connect = std::chrono::milliseconds(200);
  CHECK(Run(*client, request).failure == CallFailure::kNotSent);
}

TEST_CASE("Cancelling a call closes its connection and runs no hook") {
  for (const bool answered : {false, true}) {
    RawServer server([&](QTcpSocket* socket) {
      if (answered) Answer(socket, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhe");
    });
    const auto client = MakeHttpBackendClient();
    Heard heard;
    auto call = client->Start(RequestTo(server.serverPort()), HooksInto(&heard));
    CHECK(SpinUntil([&] { return server.requests == 1 && (!answered || heard.data == "he"); }));
    call.reset();
    CHECK(SpinUntil([&] { return server.closed == 1; }));
    CHECK(!heard.done());
  }
}

TEST_CASE("A call may be destroyed by its own hooks") {
  RawServer server([&](QTcpSocket* socket) {
    Answer(socket, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello");
  });
  const auto client = MakeHttpBackendClient();
  for (int hook = 0; hook < 3; ++hook) {
    std::unique_ptr<BackendCall> call;
    bool ran = false;
    const auto destroy = [&](int number) {
      if (number != hook) return;
      ran = true;
      call.reset();
    };
    call = client->Start(RequestTo(server.serverPort()),
                         {.on_headers = [&](int, const HttpHeaders&) { destroy(0); },
                          .on_data = [&](std::string_view) { destroy(1); },
                          .on_end = [&] { destroy(2); },
                          .on_failure = {}});
    CHECK(SpinUntil([&] { return ran; }));
  }
}

TEST_CASE("Calls to one server run side by side, and a new connection is one") {
  std::vector<QTcpSocket*> waiting;
  RawServer server([&](QTcpSocket* socket) { waiting.push_back(socket); });
  const auto client = MakeHttpBackendClient();
  constexpr int kCalls = 40;
  const Burst burst(*client, server.serverPort(), kCalls);
  CHECK(SpinUntil([&] { return server.requests == kCalls; }));
  for (QTcpSocket* socket : waiting) Answer(socket, kWholeAnswer);
  CHECK(SpinUntil([&] {
    return std::all_of(burst.heard.begin(), burst.heard.end(),
                       [](const Heard& one) { return one.ends == 1; });
  }));
  BackendCallRequest request = RequestTo(server.serverPort());
  request.new_connection = true;
  Heard fresh;
  const auto call = client->Start(request, HooksInto(&fresh));
  CHECK(SpinUntil([&] { return server.connections == kCalls + 1; }));
}

// Servers count the connections of all routers together and reset what comes beyond their limit,
// and a request is lost with its connection.
TEST_CASE("Few connections wait at a server for their next call") {
  std::vector<QTcpSocket*> waiting;
  int closed = 0;
  RawServer server([&](QTcpSocket* socket) {
    waiting.push_back(socket);
    QObject::connect(socket, &QTcpSocket::disconnected, socket, [&closed] { ++closed; });
  });
  const auto client = MakeHttpBackendClient();
  constexpr int kCalls = 12;
  const Burst burst(*client, server.serverPort(), kCalls);
  CHECK(SpinUntil([&] { return server.requests == kCalls; }));
  for (QTcpSocket* socket : waiting) Answer(socket, kWholeAnswer);
  CHECK(SpinUntil([&] { return closed == kCalls - 4; }));
}

// Answers each request with a beginning and then the same piece again and again, until the caller
// closes.
class FloodingServer : public QTcpServer {
 public:
  FloodingServer(std::string begin, std::string piece)
      : begin_(std::move(begin)), piece_(std::move(piece)) {
    while (piece_.size() < kWriteBytes / 2) piece_ += piece_;
    listen(QHostAddress::LocalHost);
  }

  // Returns the bytes that have left this process.
  std::int64_t sent() const { return sent_; }
  bool closed() const { return closed_; }

 protected:
  void incomingConnection(qintptr descriptor) override {
    auto* socket = new QTcpSocket(this);
    socket->setSocketDescriptor(descriptor);
    connect(socket, &QTcpSocket::readyRead, this, [this, socket] {
      socket->readAll();
      Answer(socket, begin_);
      Answer(socket, piece_);
    });
    connect(socket, &QTcpSocket::bytesWritten, this, [this, socket](qint64 bytes) {
      sent_ += bytes;
      if (socket->bytesToWrite() < static_cast<qint64>(kWriteBytes)) Answer(socket, piece_);
    });
    connect(socket, &QTcpSocket::disconnected, this, [this] { closed_ = true; });
  }

 private:
  static constexpr std::size_t kWriteBytes = 64 * 1024;
  std::string begin_;
  std::string piece_;
  std::int64_t sent_ = 0;
  bool closed_ = false;
};

// What the sockets on both sides may hold beside what the client takes.
constexpr std::int64_t kSocketBytes = 16 * 1024 * 1024;
constexpr std::string_view kChunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

TEST_CASE("Bytes without end that are no answer end the call soon, wherever they come") {
  struct Flood {
    std::string where;
    std::string begin;
    std::string piece;
  };
  const std::string chunked(kChunkedHead);
  const std::vector<Flood> floods = {
      {"status line", "", "x"},
      {"head line", "HTTP/1.1 200 OK\r\nX: ", "x"},
      {"head lines", "HTTP/1.1 200 OK\r\n", "X: y\r\n"},
      {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"other calls' answers", "", "HTTP/1.1 200 OK\r\nX: other\r\nContent-Length: 1\r\n\r\ns"},
      {"chunk extension", chunked + "5;", "x"},
      {"chunk size", chunked, "0"},
      {"trailer", chunked + "0\r\nX: ", "x"},
      {"trailers", chunked + "0\r\n", "X: y\r\n"},
      {"other call's body", "HTTP/1.1 200 OK\r\nX: other\r\n\r\n", "x"},
  };
  for (const Flood& flood : floods) {
    CAPTURE(flood.where);
    FloodingServer server(flood.begin, flood.piece);
    BackendCallRequest request = RequestTo(server.serverPort());
    request.takes_unframed_answer = true;
    request.is_own_answer = [](int, const HttpHeaders& headers) {
      return HeaderValue(headers, "X") != "other";
    };
    const Heard heard = Run(*MakeHttpBackendClient(), request);
    CHECK(heard.failure == CallFailure::kBroken);
    CHECK(SpinUntil([&] { return server.closed(); }));
    CHECK(server.sent() < kSocketBytes);
  }
}

TEST_CASE("A gathered answer without end is given up, by its length or its time") {
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n";
  FloodingServer flood(head, "x");
  RawServer drip([&](QTcpSocket* socket) {
    Answer(socket, head);
    auto* timer = new QTimer(socket);
    QObject::connect(timer, &QTimer::timeout, socket, [socket] { Answer(socket, "x"); });
    timer->start(20);
  });
  const auto client = MakeHttpBackendClient();
  const GatherLimits limits{std::chrono::milliseconds(400), 100'000};
  for (const std::uint16_t port : {flood.serverPort(), drip.serverPort()}) {
    std::optional<int> status;
    const auto call = StartGathered(*client, RequestTo(port), limits,
                                    [&](int code, std::string_view) { status = code; });
    CHECK(SpinUntil([&] { return status.has_value(); }));
    CHECK(status == 0);
  }
  CHECK(SpinUntil([&] { return flood.closed() && drip.closed == 1; }));
  CHECK(flood.sent() < kSocketBytes);
}

// Runs the event loop for a while.
void Wait(std::chrono::milliseconds time) {
  const QDeadlineTimer deadline(time);
  SpinUntil([&] { return deadline.hasExpired(); });
}

TEST_CASE("A call that isn't read slows its server down, isn't silent, and comes whole later") {
  const std::string body(2 * kSocketBytes, 'x');
  const std::string head =
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  QTcpSocket* peer = nullptr;
  RawServer server([&](QTcpSocket* socket) {
    peer = socket;
    Answer(socket, head + body);
  });
  const auto client = MakeHttpBackendClient();
  BackendCallRequest request = RequestTo(server.serverPort());
  request.timeouts.first_byte = request.timeouts.between_bytes = std::chrono::milliseconds(200);
  request.new_connection = true;
  for (const bool before_answer : {false, true}) {
    Heard heard;
    std::unique_ptr<BackendCall> call;
    BackendCallHooks hooks = HooksInto(&heard);
    hooks.on_data = [&](std::string_view data) {
      if (heard.data.empty() && !before_answer) call->SetReading(false);
      heard.data += data;
    };
    call = client->Start(request, std::move(hooks));
    if (before_answer) call->SetReading(false);
    CHECK(SpinUntil([&] { return server.requests == (before_answer ? 2 : 1); }));
    Wait(std::chrono::milliseconds(700));
    CHECK(!heard.done());
    CHECK(heard.data.size() < kSocketBytes);
    CHECK(peer->bytesToWrite() > 0);
    call->SetReading(true);
    CHECK(SpinUntil([&] { return heard.done(); }));
    CHECK(heard.ends == 1);
    CHECK((heard.data == body));
  }
}

TEST_CASE("A call that isn't read ends with its longest time, and by its destruction") {
  RawServer server(
      [](QTcpSocket* socket) { Answer(socket, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab"); });
  const auto client = MakeHttpBackendClient();
  BackendCallRequest request = RequestTo(server.serverPort());
  for (const bool is_timed : {true, false}) {
    if (is_timed) request.max_time = std::chrono::milliseconds(400);
    if (!is_timed) request.max_time.reset();
    Heard heard;
    auto call = client->Start(request, HooksInto(&heard));
    CHECK(SpinUntil([&] { return heard.data == "ab"; }));
    call->SetReading(false);
    if (!is_timed) call.reset();
    CHECK(SpinUntil([&] { return server.closed == (is_timed ? 1 : 2); }));
    CHECK(heard.failure.has_value() == is_timed);
  }
}

TEST_CASE("A connection whose call stopped reading at the end of its answer serves the next call") {
  RawServer server([](QTcpSocket* socket) { Answer(socket, kWholeAnswer); });
  const auto client = MakeHttpBackendClient();
  Heard first;
  std::unique_ptr<BackendCall> call;
  BackendCallHooks hooks = HooksInto(&first);
  hooks.on_data = [&](std::string_view) { call->SetReading(false); };
  call = client->Start(RequestTo(server.serverPort()), std::move(hooks));
  CHECK(SpinUntil([&] { return first.done(); }));
  CHECK(first.ends == 1);
  CHECK(Run(*client, RequestTo(server.serverPort())).ends == 1);
  CHECK(server.connections == 1);
}

TEST_CASE("A gathered answer comes whole, or as status 0 without what had come of it") {
  std::vector<std::pair<int, std::string>> answers;
  const auto on_answer = [&answers](int status, std::string_view body) {
    answers.emplace_back(status, body);
  };
  const BackendCallHooks whole = GatherAnswer(on_answer);
  whole.on_headers(202, {});
  whole.on_data("ab");
  whole.on_data("c");
  CHECK(answers.empty());
  whole.on_end();
  const BackendCallHooks broken = GatherAnswer(on_answer);
  broken.on_headers(200, {});
  broken.on_data("ab");
  broken.on_failure(CallFailure::kBroken, "");
  CHECK(answers == std::vector<std::pair<int, std::string>>{{202, "abc"}, {0, ""}});
}

}  // namespace
}  // namespace kumquat
