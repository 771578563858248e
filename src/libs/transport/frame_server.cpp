#include <QHostAddress>
#include <QTcpServer>
#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "transport/frame_link.h"
#include "transport/frame_socket.h"

namespace kumquat {
namespace Internal {
namespace {

// A connection is closed after this many silence limits: the peer replaced it long before.
constexpr int kSilenceLimitsToClose = 4;

class Connection : public FrameConnection {
 public:
  void Send(FrameKind kind, std::string_view payload) override {
    const auto open = socket.lock();
    if (open && !open->Send(kind, payload)) on_refused(open);
  }

  std::int64_t waiting_bytes() const override {
    const auto open = socket.lock();
    return open ? open->waiting_bytes() : 0;
  }

  // Gone when the connection is closed, and with the server.
  std::weak_ptr<FrameSocket> socket;
  std::function<void(const std::shared_ptr<FrameSocket>& socket)> on_refused;
};

class TcpFrameServer : public FrameServer {
 public:
  TcpFrameServer(OnFrame on_frame, const FrameLimits& limits)
      : on_frame_(std::move(on_frame)), limits_(limits) {
    QObject::connect(&server_, &QTcpServer::newConnection, &server_, [this] { Accept(); });
    QObject::connect(&check_, &QTimer::timeout, &server_, [this] { DropSilent(); });
    check_.start(std::chrono::duration_cast<std::chrono::milliseconds>(limits.silence_limit));
  }

  bool Listen(const Endpoint& endpoint) override {
    const QHostAddress address(QString::fromStdString(endpoint.ip));
    if (server_.listen(address, endpoint.port)) return true;
    last_reason_ = endpoint.ToString() + ": " + server_.errorString().toStdString() + ".";
    return false;
  }

  std::uint16_t port() const override { return server_.serverPort(); }
  const std::string& last_reason() const override { return last_reason_; }

  void Broadcast(FrameKind kind, std::string_view payload) override {
    const auto sockets = sockets_;
    for (const auto& socket : sockets) {
      if (!socket->Send(kind, payload)) Drop(socket);
    }
  }

 private:
  void Accept() {
    while (QTcpSocket* accepted = server_.nextPendingConnection()) {
      accepted->setParent(nullptr);
      AddConnection(std::unique_ptr<QTcpSocket>(accepted));
    }
  }

  void AddConnection(std::unique_ptr<QTcpSocket> accepted) {
    const auto connection = std::make_shared<Connection>();
    FrameSocket::Hooks hooks;
    hooks.on_frame = [this, connection](FrameKind kind, std::string_view payload) {
      if (kind != FrameKind::kHeartbeat) on_frame_(connection, kind, payload);
    };
    hooks.on_closed = [this, connection](QAbstractSocket::SocketError) {
      sockets_.erase(connection->socket.lock());
    };
    const auto socket = FrameSocket::Make(std::move(accepted), limits_, std::move(hooks));
    connection->socket = socket;
    connection->on_refused = [this](const std::shared_ptr<FrameSocket>& refused) { Drop(refused); };
    sockets_.insert(socket);
  }

  void Drop(const std::shared_ptr<FrameSocket>& socket) {
    socket->Close();
    sockets_.erase(socket);
  }

  void DropSilent() {
    const auto sockets = sockets_;
    for (const auto& socket : sockets) {
      if (socket->silence() > kSilenceLimitsToClose * limits_.silence_limit) Drop(socket);
    }
  }

  OnFrame on_frame_;
  FrameLimits limits_;
  std::string last_reason_;
  QTcpServer server_;
  QTimer check_;
  std::set<std::shared_ptr<FrameSocket>> sockets_;
};

}  // namespace
}  // namespace Internal

std::unique_ptr<FrameServer> MakeFrameServer(FrameServer::OnFrame on_frame,
                                             const FrameLimits& limits) {
  return std::make_unique<Internal::TcpFrameServer>(std::move(on_frame), limits);
}

}  // namespace kumquat
