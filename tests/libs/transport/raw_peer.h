// Raw TCP peers for tests of the HTTP client and server.
#pragma once

#include <QCoreApplication>
#include <QDeadlineTimer>
#include <QTcpServer>
#include <QTcpSocket>
#include <functional>
#include <string>

namespace kumquat {

// Runs the event loop until the condition holds; false when it doesn't in a generous time.
inline bool SpinUntil(const std::function<bool()>& condition) {
  const QDeadlineTimer deadline(std::chrono::seconds(20));
  while (!condition()) {
    if (deadline.hasExpired()) return false;
    QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents, 50);
  }
  return true;
}

// Accepts connections and shows each the requests that it gets, once their heads and bodies (by
// Content-Length) are complete.
class RawServer : public QTcpServer {
 public:
  using OnRequest = std::function<void(QTcpSocket* socket)>;

  explicit RawServer(OnRequest on_request) : on_request_(std::move(on_request)) {
    listen(QHostAddress::LocalHost);
  }

  int connections = 0;
  int requests = 0;
  int closed = 0;
  std::int64_t bytes = 0;

 protected:
  void incomingConnection(qintptr descriptor) override {
    ++connections;
    auto* socket = new QTcpSocket(this);
    socket->setSocketDescriptor(descriptor);
    connect(socket, &QTcpSocket::readyRead, this, [this, socket] { Read(socket); });
    connect(socket, &QTcpSocket::disconnected, this, [this] { ++closed; });
  }

 private:
  void Read(QTcpSocket* socket) {
    const QByteArray seen = socket->peek(socket->bytesAvailable());
    const auto head_end = seen.indexOf("\r\n\r\n");
    if (head_end < 0) return;
    const auto field = seen.toLower().indexOf("content-length: ");
    const auto body =
        field < 0 ? 0 : seen.mid(field + 16, seen.indexOf("\r\n", field) - field - 16).toInt();
    if (seen.size() < head_end + 4 + body) return;
    bytes += socket->skip(head_end + 4 + body);
    ++requests;
    on_request_(socket);
  }

  OnRequest on_request_;
};

}  // namespace kumquat
