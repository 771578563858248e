#include "transport/frame_socket.h"

#include <QHostAddress>
#include <QNetworkProxy>
#include <QtEndian>
#include <utility>

#include "utils/durations.h"
#include "utils/log.h"

namespace kumquat::Internal {
namespace {

constexpr qsizetype kHeaderBytes = 5;
constexpr qsizetype kReadChunkBytes = 256 * 1024;

int ToMillis(Duration duration) { return static_cast<int>(Milliseconds(duration)); }

}  // namespace

std::shared_ptr<FrameSocket> FrameSocket::Make(std::unique_ptr<QTcpSocket> socket,
                                               const FrameLimits& limits, Hooks hooks) {
  std::shared_ptr<FrameSocket> made(new FrameSocket(std::move(socket), limits, std::move(hooks)));
  made->Watch();
  return made;
}

FrameSocket::FrameSocket(std::unique_ptr<QTcpSocket> socket, const FrameLimits& limits, Hooks hooks)
    : limits_(limits), hooks_(std::move(hooks)), socket_(std::move(socket)) {
  last_byte_.start();
}

FrameSocket::~FrameSocket() { Close(); }

void FrameSocket::Watch() {
  QTcpSocket* socket = socket_.get();
  socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  QObject::connect(socket, &QTcpSocket::readyRead, socket, [this] { Read(); });
  QObject::connect(socket, &QTcpSocket::errorOccurred, socket,
                   [this](QAbstractSocket::SocketError error) { Fail(error); });
  QObject::connect(socket, &QTcpSocket::connected, socket, [this] {
    socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    Send(FrameKind::kHeartbeat, {});
  });
  QObject::connect(&heartbeat_, &QTimer::timeout, socket,
                   [this] { Send(FrameKind::kHeartbeat, {}); });
  heartbeat_.start(ToMillis(limits_.heartbeat_interval));
  Send(FrameKind::kHeartbeat, {});
}

void FrameSocket::ConnectTo(const Endpoint& endpoint) {
  socket_->setProxy(QNetworkProxy::NoProxy);
  socket_->connectToHost(QHostAddress(QString::fromStdString(endpoint.ip)), endpoint.port);
}

bool FrameSocket::Send(FrameKind kind, std::string_view payload) {
  if (closed_ || socket_->state() != QAbstractSocket::ConnectedState) return false;
  if (static_cast<std::int64_t>(payload.size()) > limits_.max_frame_bytes) return false;
  if (socket_->bytesToWrite() > limits_.max_buffered_bytes) return false;
  char header[kHeaderBytes];
  qToBigEndian(static_cast<quint32>(payload.size()), header);
  header[kHeaderBytes - 1] = static_cast<char>(kind);
  socket_->write(header, kHeaderBytes);
  socket_->write(payload.data(), static_cast<qint64>(payload.size()));
  bytes_transferred_ += kHeaderBytes + static_cast<std::int64_t>(payload.size());
  return true;
}

void FrameSocket::Close() {
  if (closed_) return;
  closed_ = true;
  heartbeat_.stop();
  socket_->disconnect();
  socket_->abort();
  // The socket may be the sender of the signal that led here.
  socket_.release()->deleteLater();
}

Duration FrameSocket::silence() const {
  return std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(last_byte_.nsecsElapsed()));
}

void FrameSocket::Read() {
  const auto self = shared_from_this();
  while (!closed_ && socket_->bytesAvailable() > 0) {
    const QByteArray chunk = socket_->read(kReadChunkBytes);
    bytes_transferred_ += chunk.size();
    last_byte_.restart();
    buffer_ += chunk;
    while (!closed_ && TakeFrame()) {
    }
  }
}

bool FrameSocket::TakeFrame() {
  if (buffer_.size() < kHeaderBytes) return false;
  const auto size = static_cast<std::int64_t>(qFromBigEndian<quint32>(buffer_.constData()));
  const auto kind = static_cast<FrameKind>(buffer_.at(kHeaderBytes - 1));
  if (size > limits_.max_frame_bytes || kind > FrameKind::kNews) {
    LogEvent(LogLevel::kWarning, "frame_malformed", {{"bytes", size}});
    Fail(QAbstractSocket::UnknownSocketError);
    return false;
  }
  if (buffer_.size() < kHeaderBytes + size) return false;
  const QByteArray frame = buffer_.left(kHeaderBytes + size);
  buffer_.remove(0, frame.size());
  heard_ = true;
  hooks_.on_frame(kind, {frame.constData() + kHeaderBytes, static_cast<std::size_t>(size)});
  return true;
}

void FrameSocket::Fail(QAbstractSocket::SocketError error) {
  if (closed_) return;
  const auto self = shared_from_this();
  Close();
  hooks_.on_closed(error);
}

}  // namespace kumquat::Internal
