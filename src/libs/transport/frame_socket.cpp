#include "transport/frame_socket.h"

#include <QHostAddress>
#include <QNetworkProxy>
#include <QtEndian>
#include <algorithm>
#include <utility>

#include "utils/durations.h"
#include "utils/log.h"

namespace kumquat::Internal {
namespace {

constexpr qsizetype kHeaderBytes = 5;
constexpr qsizetype kReadChunkBytes = 64 * 1024;
// Frames that one connection has handled before others get their turn. A peer that sends tiny
// frames without end would otherwise hold up the process, and what is answered to it would pile up.
constexpr int kFramesPerTurn = 32;
// A buffer that was larger gives its memory back once it is mostly empty.
constexpr qsizetype kKeptCapacity = 4 * 1024;
constexpr qsizetype kSqueezeDivisor = 4;

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
  made_.start();
  last_byte_.start();
  last_taken_.start();
}

FrameSocket::~FrameSocket() { Close(); }

void FrameSocket::Watch() {
  QTcpSocket* socket = socket_.get();
  socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  socket->setReadBufferSize(kReadChunkBytes);
  QObject::connect(socket, &QTcpSocket::readyRead, socket, [this] { Read(); });
  next_turn_.setSingleShot(true);
  QObject::connect(&next_turn_, &QTimer::timeout, socket, [this] { Read(); });
  QObject::connect(socket, &QTcpSocket::bytesWritten, socket, [this] { last_taken_.restart(); });
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
  if (socket_->bytesToWrite() == 0) last_taken_.restart();
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
  next_turn_.stop();
  socket_->disconnect();
  socket_->abort();
  // The socket may be the sender of the signal that led here.
  socket_.release()->deleteLater();
}

Duration FrameSocket::Since(const QElapsedTimer& timer) {
  return std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(timer.nsecsElapsed()));
}

Duration FrameSocket::silence() const { return Since(last_byte_); }

std::optional<Duration> FrameSocket::frame_age() const {
  return last_frame_.isValid() ? std::optional(Since(last_frame_)) : std::nullopt;
}

Duration FrameSocket::unread_age() const {
  return waiting_bytes() > 0 ? Since(last_taken_) : Duration(0);
}

void FrameSocket::Read() {
  const auto self = shared_from_this();
  int frames = 0;
  while (!closed_ && frames < kFramesPerTurn) {
    if (TakeFrame()) {
      ++frames;
      continue;
    }
    if (closed_ || socket_->bytesAvailable() == 0) break;
    // The chunk takes as much memory as is asked for, and may become the buffer.
    const QByteArray chunk =
        socket_->read(std::min<qint64>(kReadChunkBytes, socket_->bytesAvailable()));
    bytes_transferred_ += chunk.size();
    last_byte_.restart();
    buffer_ += chunk;
  }
  if (closed_) return;
  if (frames == kFramesPerTurn) next_turn_.start(0);
  const bool is_mostly_empty = buffer_.size() < buffer_.capacity() / kSqueezeDivisor;
  if (buffer_.capacity() > kKeptCapacity && is_mostly_empty) buffer_.squeeze();
  if (hooks_.on_read) hooks_.on_read();
}

bool FrameSocket::TakeFrame() {
  if (buffer_.size() < kHeaderBytes) return false;
  const auto size = static_cast<std::int64_t>(qFromBigEndian<quint32>(buffer_.constData()));
  const auto kind = static_cast<FrameKind>(buffer_.at(kHeaderBytes - 1));
  if (size > limits_.max_frame_bytes || kind > FrameKind::kNews) {
    LogEvent(LogLevel::kWarning, "frame_malformed", {{"bytes", size}});
    Fail(kMalformedFrame);
    return false;
  }
  if (buffer_.size() < kHeaderBytes + size) return false;
  // A long frame isn't copied where nothing follows it.
  const bool is_all = buffer_.size() == kHeaderBytes + size;
  const QByteArray frame = is_all ? std::exchange(buffer_, {}) : buffer_.left(kHeaderBytes + size);
  if (!is_all) buffer_.remove(0, frame.size());
  last_frame_.start();
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
