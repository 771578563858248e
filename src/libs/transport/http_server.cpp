#include "transport/http_server.h"

#include <QAbstractHttpServer>
#include <QHttpServerRequest>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <map>
#include <utility>

#include "transport/http_connection.h"
#include "utils/log.h"

namespace kumquat {
namespace Internal {
namespace {

constexpr int kSendBufferBytes = 256 * 1024;
// Connections the kernel keeps until they are accepted.
constexpr int kListenBacklog = 1024;
constexpr std::chrono::milliseconds kSweepInterval{250};

}  // namespace

// Accepts connections, and looks at the bytes of each before Qt's parser does.
class Acceptor : public QTcpServer {
 public:
  using OnAccepted = std::function<bool(QTcpSocket* socket)>;

  explicit Acceptor(OnAccepted on_accepted) : on_accepted_(std::move(on_accepted)) {
    setListenBacklogSize(kListenBacklog);
  }

 protected:
  void incomingConnection(qintptr descriptor) override {
    auto* socket = new QTcpSocket(this);
    if (!socket->setSocketDescriptor(descriptor) || !on_accepted_(socket)) {
      delete socket;
      return;
    }
    // The system's own buffer would grow to several megabytes for a caller that reads slowly.
    socket->setSocketOption(QAbstractSocket::SendBufferSizeSocketOption, kSendBufferBytes);
    addPendingConnection(socket);
  }

 private:
  OnAccepted on_accepted_;
};

class HttpServerImpl : public QAbstractHttpServer {
 public:
  explicit HttpServerImpl(std::shared_ptr<HttpServerShared> shared) : shared_(std::move(shared)) {
    connect(&sweep_timer_, &QTimer::timeout, this, [this] { Sweep(); });
    sweep_timer_.start(kSweepInterval);
  }

  ~HttpServerImpl() override {
    for (const auto& [socket, connection] : std::exchange(connections_, {})) {
      disconnect(socket, nullptr, this, nullptr);
      connection->HandleDisconnected();
    }
  }

  bool Listen(const Endpoint& endpoint, std::string* reason) {
    acceptor_ = new Acceptor([this](QTcpSocket* socket) { return Accept(socket); });
    acceptor_->setParent(this);
    if (!acceptor_->listen(QHostAddress(QString::fromStdString(endpoint.ip)), endpoint.port)) {
      *reason = endpoint.ToString() + ": " + acceptor_->errorString().toStdString();
      return false;
    }
    bind(acceptor_);
    // Connected after Qt's own slot, so that its parser is connected to each socket by then.
    connect(acceptor_, &QTcpServer::newConnection, this, [this] { WatchParsed(); });
    return true;
  }

  void StopListening() {
    shared_->stopping = true;
    if (acceptor_) acceptor_->close();
  }

  std::uint16_t port() const { return acceptor_ ? acceptor_->serverPort() : 0; }
  std::int64_t open_requests() const { return shared_->open_requests; }

 protected:
  bool handleRequest(const QHttpServerRequest& request, QTcpSocket* socket) override {
    const auto found = connections_.find(socket);
    if (found == connections_.end()) return true;
    HttpRequest copy;
    for (const auto& [name, value] : request.headers()) {
      copy.headers.emplace_back(name.toStdString(), value.toStdString());
    }
    copy.body = request.body().toStdString();
    const auto connection = found->second;
    connection->Enqueue(std::move(copy));
    return true;
  }

  // Every request is taken by handleRequest.
  void missingHandler(const QHttpServerRequest&, QTcpSocket*) override {}

 private:
  bool Accept(QTcpSocket* socket) {
    if (static_cast<std::int64_t>(connections_.size()) >= shared_->limits.max_connections) {
      LogEvent(LogLevel::kWarning, "http_too_many_connections");
      return false;
    }
    socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    socket->setSocketOption(QAbstractSocket::KeepAliveOption, 1);
    const auto connection = std::make_shared<HttpConnection>(socket, shared_);
    connections_[socket] = connection;
    unwatched_.push_back(socket);
    connect(socket, &QTcpSocket::readyRead, this, [this, socket, connection] {
      // Qt's parser is the only other slot of this object on the signal.
      if (!connection->InspectInput()) StopParsing(socket, connection);
    });
    connect(socket, &QTcpSocket::disconnected, this, [this, socket, connection] {
      connections_.erase(socket);
      std::erase(unwatched_, socket);
      connection->HandleDisconnected();
    });
    return true;
  }

  void WatchParsed() {
    for (QTcpSocket* socket : std::exchange(unwatched_, {})) {
      connect(socket, &QTcpSocket::readyRead, socket,
              [connection = connections_[socket]] { connection->InputParsed(); });
    }
  }

  void StopParsing(QTcpSocket* socket, const std::shared_ptr<HttpConnection>& connection) {
    disconnect(socket, &QTcpSocket::readyRead, this, nullptr);
    if (connections_.count(socket) == 0) return;
    connect(socket, &QTcpSocket::readyRead, socket, [connection] { connection->InspectInput(); });
  }

  void Sweep() {
    const Instant now = shared_->clock();
    std::vector<std::shared_ptr<HttpConnection>> timed_out;
    for (const auto& [socket, connection] : connections_) {
      if (connection->TimedOut(now)) timed_out.push_back(connection);
    }
    for (const auto& connection : timed_out) connection->Close();
  }

  std::shared_ptr<HttpServerShared> shared_;
  std::map<QTcpSocket*, std::shared_ptr<HttpConnection>> connections_;
  std::vector<QTcpSocket*> unwatched_;
  Acceptor* acceptor_ = nullptr;
  QTimer sweep_timer_;
};

}  // namespace Internal

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

std::unique_ptr<HttpServer> HttpServer::Builder::Build() {
  auto shared = std::make_shared<Internal::HttpServerShared>();
  shared->limits = limits_;
  shared->handler = std::move(handler_);
  shared->limit_body = std::move(limit_body_);
  shared->clock = SteadyClock();
  return std::unique_ptr<HttpServer>(
      new HttpServer(std::make_unique<Internal::HttpServerImpl>(std::move(shared))));
}

HttpServer::HttpServer(std::unique_ptr<Internal::HttpServerImpl> impl) : impl_(std::move(impl)) {}

HttpServer::~HttpServer() = default;

bool HttpServer::Listen(const Endpoint& endpoint) { return impl_->Listen(endpoint, &last_reason_); }

void HttpServer::StopListening() { impl_->StopListening(); }

std::uint16_t HttpServer::port() const { return impl_->port(); }

std::int64_t HttpServer::open_requests() const { return impl_->open_requests(); }

}  // namespace kumquat
