// One TCP connection in the event loop.
//
// Qt's socket reports a reset like an orderly end, and an answer that ends with its connection is
// whole only after an orderly end. So this reads and writes the descriptor itself, and tells them
// apart.
#pragma once

#include <QSocketNotifier>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "utils/deadline_timer.h"
#include "utils/endpoint.h"
#include "utils/hooks.h"

namespace kumquat {

// How a connection came to its end.
enum class TcpEnd {
  // Nothing listened at the address.
  kRefused,
  // The connection was not made in time, or not for another reason; nothing was sent.
  kNotConnected,
  // The peer ended its side in order.
  kFinished,
  // The connection was reset, or the peer did not acknowledge in time.
  kReset,
};

struct TcpOptions {
  Duration connect_timeout = std::chrono::milliseconds(500);
  // How long sent bytes may stay unacknowledged, and how long an idle peer may leave probes
  // unanswered.
  Duration dead_peer_timeout = std::chrono::seconds(5);
  // The system's buffer for what has come in and isn't read. Its own limit grows to several
  // megabytes a connection, which count as memory of the process. The system doubles the value for
  // its own overhead.
  int receive_buffer_bytes = 128 * 1024;
};

class TcpStream {
 public:
  // Each hook may destroy the stream. After `on_end` no further hook runs.
  struct Hooks {
    std::function<void()> on_connected;
    std::function<void(std::string_view bytes)> on_data;
    std::function<void(TcpEnd end)> on_end;
    // Bytes that the system did not take at once have been handed to it.
    std::function<void()> on_flushed;
  };

  // Begins to connect. No hook runs before this returns.
  static std::unique_ptr<TcpStream> Connect(const Endpoint& endpoint, const TcpOptions& options,
                                            Hooks hooks);

  // Takes over an accepted connection.
  static std::unique_ptr<TcpStream> Adopt(int descriptor, const TcpOptions& options, Hooks hooks);

  ~TcpStream();
  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;

  void SetHooks(Hooks hooks) { hooks_ = std::make_shared<Hooks>(std::move(hooks)); }

  // Sends the bytes, or keeps what the system doesn't take yet.
  void Write(std::string_view bytes);

  // Returns the bytes that the system has not taken yet.
  std::int64_t pending_bytes() const { return static_cast<std::int64_t>(out_.size() - out_sent_); }

  // Returns the bytes that the peer's system has not acknowledged, with those that this one has not
  // taken yet.
  std::int64_t unacknowledged_bytes() const;

  // Replaces how long sent bytes may stay unacknowledged. A peer that reads nothing for as long
  // counts as dead too.
  void SetDeadPeerTimeout(Duration timeout);

  // Returns the bytes that have come in and are unread.
  std::int64_t unread_bytes() const;

  // Returns whether the peer has ended its side or reset the connection. Tells this also while
  // reading is stopped.
  bool has_peer_closed() const;

  // Throws away what has come in and is unread, as closing the connection would else reset it.
  void DiscardInput();

  // Stops or goes on reading. While it is stopped, the peer is slowed by the system's windows, and
  // no hook tells the end of the connection; see has_peer_closed().
  void SetReading(bool reading);

  // Ends the own side in order once everything is written; the peer may go on sending.
  void FinishWriting();

  // Limits the system's buffer for sending, which else grows to megabytes for a slow peer.
  void LimitSendBuffer(int bytes);

  bool connected() const { return state_ == State::kOpen; }

 private:
  enum class State { kConnecting, kOpen, kEnded };

  TcpStream(int descriptor, State state, const TcpOptions& options, Hooks hooks);

  void Watch();
  void HandleWritable();
  void HandleReadable();
  void HandleConnected();
  void Flush();
  // Notes that the system didn't take bytes because of this error.
  void NoteWriteError(int error);
  void Release();
  void End(TcpEnd end);

  int descriptor_;
  State state_;
  // Shared, so that a hook outlives its own call when it destroys the stream.
  std::shared_ptr<Hooks> hooks_;
  std::string out_;
  std::size_t out_sent_ = 0;
  bool finish_writing_ = false;
  // A write was told of a reset. The system tells of it once, and reads then look as if the peer
  // had finished in order.
  bool is_reset_ = false;
  // Outlives the stream where a hook destroys it.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::unique_ptr<QSocketNotifier> readable_;
  std::unique_ptr<QSocketNotifier> writable_;
  std::unique_ptr<DeadlineTimer> connect_timer_;
};

}  // namespace kumquat
