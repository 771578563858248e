#include "transport/http_server.h"

#include <sys/socket.h>
#include <unistd.h>

#include <QHostAddress>
#include <QTcpServer>
#include <QTimer>
#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "transport/http_connection.h"
#include "utils/log.h"

namespace kumquat {
namespace Internal {
namespace {

// Connections the kernel keeps until they are accepted.
constexpr int kListenBacklog = 1024;
constexpr std::chrono::milliseconds kSweepInterval{250};
// After an accept has failed, for example for want of descriptors.
constexpr std::chrono::milliseconds kAcceptRetryInterval{100};
// The system announces the window when it makes a connection, so that a smaller buffer has to be
// set before. It doubles the value for its own overhead.
constexpr int kReceiveBufferBytes = 16 * 1024;

// Hands over each accepted descriptor.
class Acceptor : public QTcpServer {
 public:
  explicit Acceptor(std::function<void(int descriptor)> on_accepted)
      : on_accepted_(std::move(on_accepted)) {
    setListenBacklogSize(kListenBacklog);
  }

 protected:
  void incomingConnection(qintptr descriptor) override {
    on_accepted_(static_cast<int>(descriptor));
  }

 private:
  std::function<void(int descriptor)> on_accepted_;
};

}  // namespace

class HttpServerImpl {
 public:
  explicit HttpServerImpl(std::shared_ptr<HttpServerShared> shared)
      : shared_(std::move(shared)), acceptor_([this](int descriptor) { Accept(descriptor); }) {
    shared_->forget = [this](const HttpConnection* connection) { Forget(connection); };
    // The server stops accepting for good at an error unless it is told to go on.
    QObject::connect(&acceptor_, &QTcpServer::acceptError, &acceptor_, [this] {
      shared_->CountRefusal(CallerRefusal::kConnections);
      QTimer::singleShot(kAcceptRetryInterval, &acceptor_, [this] {
        if (acceptor_.isListening()) acceptor_.resumeAccepting();
      });
    });
    QObject::connect(&sweep_timer_, &QTimer::timeout, &sweep_timer_, [this] { Sweep(); });
    sweep_timer_.start(kSweepInterval);
  }
  HttpServerImpl(const HttpServerImpl&) = delete;
  HttpServerImpl& operator=(const HttpServerImpl&) = delete;

  ~HttpServerImpl() {
    shared_->forget = nullptr;
    for (const auto& connection : std::exchange(connections_, {})) connection->Close();
  }

  bool Listen(const Endpoint& endpoint, std::string* reason) {
    if (acceptor_.listen(QHostAddress(QString::fromStdString(endpoint.ip)), endpoint.port)) {
      setsockopt(static_cast<int>(acceptor_.socketDescriptor()), SOL_SOCKET, SO_RCVBUF,
                 &kReceiveBufferBytes, sizeof(kReceiveBufferBytes));
      return true;
    }
    *reason = endpoint.ToString() + ": " + acceptor_.errorString().toStdString();
    return false;
  }

  void StopListening() {
    shared_->stopping = true;
    acceptor_.close();
    const auto connections = connections_;
    for (const auto& connection : connections) connection->CloseIfIdle();
  }

  void CloseAfterAnswers(Duration caller_patience) {
    shared_->stopping = true;
    shared_->caller_patience = caller_patience;
    for (const auto& connection : connections_) connection->SetCallerPatience(caller_patience);
  }

  std::int64_t unacknowledged_connections() const {
    return std::count_if(connections_.begin(), connections_.end(),
                         [](const auto& connection) { return connection->has_unacknowledged(); });
  }

  HttpServerShared& shared() { return *shared_; }
  std::uint16_t port() const { return acceptor_.serverPort(); }
  std::int64_t connections() const { return static_cast<std::int64_t>(connections_.size()); }

 private:
  void Accept(int descriptor) {
    if (connections() >= shared_->limits.max_connections && !MakeRoom()) {
      shared_->CountRefusal(CallerRefusal::kConnections);
      close(descriptor);
      return;
    }
    const auto connection = std::make_shared<HttpConnection>(shared_);
    connections_.insert(connection);
    connection->Start(descriptor);
  }

  // Closes an idle connection, else one that doesn't come on, the one that has waited longest;
  // false if there is none.
  bool MakeRoom() {
    const Instant now = shared_->clock();
    std::shared_ptr<HttpConnection> first;
    HttpConnection::Waiting longest;
    for (const auto& connection : connections_) {
      const HttpConnection::Waiting waiting = connection->waiting(now);
      if (waiting.kind == HttpConnection::WaitKind::kNone) continue;
      if (first && longest < waiting) continue;
      first = connection;
      longest = waiting;
    }
    if (first) first->MakeRoom();
    return first != nullptr;
  }

  void Forget(const HttpConnection* connection) {
    const auto found = connections_.find(connection);
    if (found != connections_.end()) connections_.erase(found);
  }

  void Sweep() {
    const Instant now = shared_->clock();
    const auto connections = connections_;
    for (const auto& connection : connections) connection->CloseIfOverdue(now);
    if (shared_->request_memory) shared_->request_memory->Enforce(now);
  }

  // Lets a connection be found by its plain pointer.
  struct ByPointer {
    using is_transparent = void;
    using Shared = std::shared_ptr<HttpConnection>;
    bool operator()(const Shared& left, const Shared& right) const { return left < right; }
    bool operator()(const Shared& left, const HttpConnection* right) const {
      return std::less<>()(left.get(), right);
    }
    bool operator()(const HttpConnection* left, const Shared& right) const {
      return std::less<>()(left, right.get());
    }
  };

  std::shared_ptr<HttpServerShared> shared_;
  std::set<std::shared_ptr<HttpConnection>, ByPointer> connections_;
  Acceptor acceptor_;
  QTimer sweep_timer_;
};

}  // namespace Internal

HttpServerLimits QuestionLimits() {
  constexpr std::int64_t kKilobyte = 1024;
  HttpServerLimits limits;
  limits.max_header_bytes = 16 * kKilobyte;
  limits.max_body_bytes = 16 * kKilobyte;
  limits.max_connections = 64;
  limits.header_timeout = std::chrono::seconds(3);
  limits.request_timeout = std::chrono::seconds(3);
  limits.idle_timeout = std::chrono::seconds(60);
  return limits;
}

HttpServer::Builder& HttpServer::Builder::WithLimits(const HttpServerLimits& limits) {
  limits_ = limits;
  return *this;
}

HttpServer::Builder& HttpServer::Builder::WithHandler(Handler handler) {
  handler_ = std::move(handler);
  return *this;
}

HttpServer::Builder& HttpServer::Builder::WithLimitBody(LimitBody limit_body) {
  limit_body_ = std::move(limit_body);
  return *this;
}

HttpServer::Builder& HttpServer::Builder::WithAnswerMemory(AnswerMemory* memory) {
  answer_memory_ = memory;
  return *this;
}

HttpServer::Builder& HttpServer::Builder::WithRequestMemory(RequestMemory* memory) {
  request_memory_ = memory;
  return *this;
}

HttpServer::Builder& HttpServer::Builder::WithOnRefused(
    std::function<void(CallerRefusal reason)> on_refused) {
  on_refused_ = std::move(on_refused);
  return *this;
}

std::unique_ptr<HttpServer> HttpServer::Builder::Build() {
  auto shared = std::make_shared<Internal::HttpServerShared>();
  shared->limits = limits_;
  shared->handler = std::move(handler_);
  shared->limit_body = std::move(limit_body_);
  shared->answer_memory = answer_memory_;
  shared->request_memory = request_memory_;
  shared->on_refused = std::move(on_refused_);
  shared->clock = SteadyClock();
  return std::unique_ptr<HttpServer>(
      new HttpServer(std::make_unique<Internal::HttpServerImpl>(std::move(shared))));
}

HttpServer::HttpServer(std::unique_ptr<Internal::HttpServerImpl> impl) : impl_(std::move(impl)) {}

HttpServer::~HttpServer() = default;

bool HttpServer::Listen(const Endpoint& endpoint) { return impl_->Listen(endpoint, &last_reason_); }

void HttpServer::SetLimits(const HttpServerLimits& limits) { impl_->shared().limits = limits; }

void HttpServer::CloseAfterAnswers(Duration caller_patience) {
  impl_->CloseAfterAnswers(caller_patience);
}

void HttpServer::StopListening() { impl_->StopListening(); }

std::uint16_t HttpServer::port() const { return impl_->port(); }

std::int64_t HttpServer::open_requests() const { return impl_->shared().open_requests; }

std::int64_t HttpServer::unacknowledged_connections() const {
  return impl_->unacknowledged_connections();
}

std::int64_t HttpServer::connections() const { return impl_->connections(); }

}  // namespace kumquat
