// One TCP connection that carries frames: a big-endian 32-bit length of the payload, one byte of
// kind, the payload.
#pragma once

#include <QByteArray>
#include <QElapsedTimer>
#include <QTcpSocket>
#include <QTimer>
#include <functional>
#include <memory>
#include <optional>

#include "transport/frame_link.h"

namespace kumquat::Internal {

// Cuts the byte stream into frames and sends heartbeats while connected.
class FrameSocket : public std::enable_shared_from_this<FrameSocket> {
 public:
  // Given to on_closed where the peer sent a frame that is too long or of an unknown kind.
  static constexpr auto kMalformedFrame = QAbstractSocket::UnknownSocketError;

  struct Hooks {
    // Every frame, heartbeats too.
    std::function<void(FrameKind kind, std::string_view payload)> on_frame;
    // The connection closed or failed; runs at most once, and not after Close().
    std::function<void(QAbstractSocket::SocketError error)> on_closed;
    // Bytes came in, and the frames that are whole were handled; may be empty.
    std::function<void()> on_read;
  };

  // Takes the socket over, connected or not yet.
  static std::shared_ptr<FrameSocket> Make(std::unique_ptr<QTcpSocket> socket,
                                           const FrameLimits& limits, Hooks hooks);
  ~FrameSocket();

  void ConnectTo(const Endpoint& endpoint);

  // False when it isn't connected, the frame is too large, or too much waits to be sent.
  bool Send(FrameKind kind, std::string_view payload);

  // Drops the connection at once, without a further hook.
  void Close();

  // Returns the time since the last byte came in, or since the start.
  Duration silence() const;

  // Returns the time since the last whole frame came in; nothing before the first one.
  std::optional<Duration> frame_age() const;

  // Returns the time since the socket was taken over.
  Duration age() const { return Since(made_); }

  // Returns the bytes that are kept of a frame that hasn't come whole.
  std::int64_t partial_bytes() const { return buffer_.isEmpty() ? 0 : buffer_.capacity(); }

  // Returns the time since the system last took something of what waits, or since it began to wait.
  Duration unread_age() const;

  // Returns the bytes that the system hasn't taken yet.
  std::int64_t waiting_bytes() const { return closed_ ? 0 : socket_->bytesToWrite(); }

  std::int64_t bytes_transferred() const { return bytes_transferred_; }

 private:
  FrameSocket(std::unique_ptr<QTcpSocket> socket, const FrameLimits& limits, Hooks hooks);

  void Watch();
  void Read();
  // Handles the first frame of the buffer; false when none is whole.
  bool TakeFrame();
  void Fail(QAbstractSocket::SocketError error);
  static Duration Since(const QElapsedTimer& timer);

  FrameLimits limits_;
  Hooks hooks_;
  std::unique_ptr<QTcpSocket> socket_;
  QTimer heartbeat_;
  QTimer next_turn_;
  QElapsedTimer made_;
  QElapsedTimer last_byte_;
  QElapsedTimer last_frame_;
  QElapsedTimer last_taken_;
  QByteArray buffer_;
  std::int64_t bytes_transferred_ = 0;
  bool closed_ = false;
};

}  // namespace kumquat::Internal
