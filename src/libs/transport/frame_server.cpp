#include <sys/socket.h>

#include <QHostAddress>
#include <QTcpServer>
#include <algorithm>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "transport/frame_link.h"
#include "transport/frame_socket.h"
#include "transport/request_memory.h"

namespace kumquat {
namespace Internal {
namespace {

// A connection is closed after this many silence limits: the peer replaced it long before.
constexpr int kSilenceLimitsToClose = 4;
// Connections the kernel keeps until they are accepted.
constexpr int kListenBacklog = 1024;
// After an accept has failed, for example for want of descriptors.
constexpr std::chrono::milliseconds kAcceptRetryInterval{100};
// What an open connection takes beside its frames.
constexpr std::int64_t kConnectionBytes = 8 * 1024;
constexpr std::chrono::milliseconds kSweepInterval{250};
// Longer than any age of a connection.
constexpr Duration kNoFrame = std::chrono::hours(1'000'000);
// A peer that takes nothing for this long while something waits for it doesn't read.
constexpr Duration kUnreadAfter = std::chrono::milliseconds(500);

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
  TcpFrameServer(OnFrame on_frame, const FrameLimits& limits,
                 const FrameServerLimits& server_limits,
                 std::function<void(CallerRefusal reason)> on_refused)
      : on_frame_(std::move(on_frame)),
        limits_(limits),
        server_limits_(server_limits),
        on_refused_(std::move(on_refused)),
        partial_memory_(server_limits.max_partial_bytes) {
    server_.setListenBacklogSize(kListenBacklog);
    QObject::connect(&server_, &QTcpServer::newConnection, &server_, [this] { Accept(); });
    // The server stops accepting for good at an error unless it is told to go on.
    QObject::connect(&server_, &QTcpServer::acceptError, &server_, [this] {
      CountRefusal(CallerRefusal::kConnections);
      QTimer::singleShot(kAcceptRetryInterval, &server_, [this] {
        if (server_.isListening()) server_.resumeAccepting();
      });
    });
    QObject::connect(&check_, &QTimer::timeout, &server_, [this] { DropSilent(); });
    check_.start(std::chrono::duration_cast<std::chrono::milliseconds>(limits.silence_limit));
    QObject::connect(&sweep_, &QTimer::timeout, &server_, [this] { Sweep(); });
    sweep_.start(kSweepInterval);
  }

  bool Listen(const Endpoint& endpoint) override {
    const QHostAddress address(QString::fromStdString(endpoint.ip));
    if (server_.listen(address, endpoint.port)) {
      setsockopt(static_cast<int>(server_.socketDescriptor()), SOL_SOCKET, SO_RCVBUF,
                 &kFrameReceiveBufferBytes, sizeof(kFrameReceiveBufferBytes));
      return true;
    }
    last_reason_ = endpoint.ToString() + ": " + server_.errorString().toStdString() + ".";
    return false;
  }

  std::uint16_t port() const override { return server_.serverPort(); }
  const std::string& last_reason() const override { return last_reason_; }

  void Broadcast(FrameKind kind, std::string_view payload) override {
    const auto connections = connections_;
    for (const auto& [socket, account] : connections) {
      if (!socket->Send(kind, payload)) Drop(socket);
    }
  }

 private:
  using Socket = std::shared_ptr<FrameSocket>;
  using Account = std::shared_ptr<RequestMemory::Account>;

  void CountRefusal(CallerRefusal reason) const {
    if (on_refused_) on_refused_(reason);
  }

  void Accept() {
    while (QTcpSocket* next = server_.nextPendingConnection()) {
      next->setParent(nullptr);
      std::unique_ptr<QTcpSocket> accepted(next);
      const bool is_full =
          static_cast<std::int64_t>(connections_.size()) >= server_limits_.max_connections;
      if (is_full) CountRefusal(CallerRefusal::kConnections);
      if (!is_full || MakeRoom()) AddConnection(std::move(accepted));
    }
  }

  // Closes the connection that has brought no frame for longest; one of a link in use, which brings
  // heartbeats, isn't closed. False if there is none.
  bool MakeRoom() {
    Socket first;
    Duration longest{0};
    for (const auto& [socket, account] : connections_) {
      const auto frame_age = socket->frame_age();
      if (frame_age && *frame_age <= limits_.silence_limit) continue;
      // What never brought a frame goes first: it is no link.
      const Duration age = frame_age ? *frame_age : kNoFrame + socket->age();
      if (first && age <= longest) continue;
      first = socket;
      longest = age;
    }
    if (first) Drop(first);
    return first != nullptr;
  }

  void AddConnection(std::unique_ptr<QTcpSocket> accepted) {
    const auto connection = std::make_shared<Connection>();
    FrameSocket::Hooks hooks;
    hooks.on_frame = [this, connection](FrameKind kind, std::string_view payload) {
      if (kind != FrameKind::kHeartbeat) on_frame_(connection, kind, payload);
    };
    hooks.on_closed = [this, connection](QAbstractSocket::SocketError error) {
      if (error == FrameSocket::kMalformedFrame) CountRefusal(CallerRefusal::kMalformed);
      connections_.erase(connection->socket.lock());
    };
    hooks.on_read = [this, connection] { ReportPartial(connection->socket.lock()); };
    const auto socket = FrameSocket::Make(std::move(accepted), limits_, std::move(hooks));
    connection->socket = socket;
    connection->on_refused = [this](const Socket& refused) { Drop(refused); };
    const std::weak_ptr<FrameSocket> weak = socket;
    connections_[socket] = partial_memory_.Open({[this, weak] { return DroppableFrame(weak); },
                                                 [this, weak] {
                                                   CountRefusal(CallerRefusal::kMemory);
                                                   Drop(weak.lock());
                                                 }});
    connections_[socket]->Report(kConnectionBytes);
  }

  std::optional<RequestMemory::Droppable> DroppableFrame(
      const std::weak_ptr<FrameSocket>& weak) const {
    const Socket socket = weak.lock();
    if (!socket || socket->partial_bytes() == 0) return std::nullopt;
    const Instant now = clock_();
    // The age of a frame's first byte isn't kept: a connection brings frames one after the other.
    const Duration frame_age = socket->frame_age().value_or(socket->age());
    return RequestMemory::Droppable{socket->partial_bytes(), now - frame_age,
                                    now - socket->silence()};
  }

  void ReportPartial(const Socket& socket) {
    const auto connection = connections_.find(socket);
    if (connection == connections_.end()) return;
    connection->second->Report(kConnectionBytes + socket->partial_bytes());
    partial_memory_.Enforce(clock_());
  }

  void Drop(const Socket& socket) {
    if (!socket) return;
    socket->Close();
    connections_.erase(socket);
  }

  void DropSilent() {
    const auto connections = connections_;
    for (const auto& [socket, account] : connections) {
      if (socket->silence() <= kSilenceLimitsToClose * limits_.silence_limit) continue;
      CountRefusal(CallerRefusal::kTooSlow);
      Drop(socket);
    }
  }

  void Sweep() {
    partial_memory_.Enforce(clock_());
    DropUnread();
  }

  // Closes connections whose peers read nothing, those that keep most first, until what waits is
  // within the limit.
  void DropUnread() {
    std::int64_t waiting = 0;
    std::vector<Socket> unread;
    for (const auto& [socket, account] : connections_) {
      waiting += socket->waiting_bytes();
      if (socket->unread_age() >= kUnreadAfter) unread.push_back(socket);
    }
    if (waiting <= server_limits_.max_waiting_bytes) return;
    std::sort(unread.begin(), unread.end(), [](const Socket& left, const Socket& right) {
      return left->waiting_bytes() > right->waiting_bytes();
    });
    for (const Socket& socket : unread) {
      if (waiting <= server_limits_.max_waiting_bytes) return;
      waiting -= socket->waiting_bytes();
      CountRefusal(CallerRefusal::kUnread);
      Drop(socket);
    }
  }

  OnFrame on_frame_;
  FrameLimits limits_;
  FrameServerLimits server_limits_;
  std::function<void(CallerRefusal reason)> on_refused_;
  Clock clock_ = SteadyClock();
  std::string last_reason_;
  // Outlives the accounts.
  RequestMemory partial_memory_;
  QTcpServer server_;
  QTimer check_;
  QTimer sweep_;
  std::map<Socket, Account> connections_;
};

}  // namespace
}  // namespace Internal

std::unique_ptr<FrameServer> MakeFrameServer(FrameServer::OnFrame on_frame,
                                             const FrameLimits& limits,
                                             const FrameServerLimits& server_limits,
                                             std::function<void(CallerRefusal reason)> on_refused) {
  return std::make_unique<Internal::TcpFrameServer>(std::move(on_frame), limits, server_limits,
                                                    std::move(on_refused));
}

}  // namespace kumquat
