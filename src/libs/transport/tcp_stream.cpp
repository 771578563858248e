#include "transport/tcp_stream.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include "utils/log.h"

namespace kumquat {
namespace {

constexpr std::size_t kReadBytes = 64 * 1024;
// A peer that goes on sending doesn't keep its connection from being closed.
constexpr std::size_t kMaxDiscardedBytes = 1024 * 1024;
// The probes of an idle connection, which together take the dead-peer timeout.
constexpr int kKeepAliveProbes = 3;

void SetOption(int descriptor, int level, int option, int value) {
  if (setsockopt(descriptor, level, option, &value, sizeof(value)) == 0) return;
  LogEvent(LogLevel::kDebug, "socket_option_failed", {{"option", option}, {"errno", errno}});
}

void LimitUnacknowledged(int descriptor, Duration timeout) {
  const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(timeout);
  SetOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(millis.count()));
}

void SetOptions(int descriptor, const TcpOptions& options) {
  const int step = std::max(
      1, static_cast<int>(options.dead_peer_timeout / std::chrono::seconds(kKeepAliveProbes + 1)));
  SetOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(descriptor, SOL_SOCKET, SO_RCVBUF, options.receive_buffer_bytes);
  SetOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, step);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, step);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
  LimitUnacknowledged(descriptor, options.dead_peer_timeout);
}

bool WouldBlock(int error) { return error == EAGAIN || error == EWOULDBLOCK || error == EINTR; }

}  // namespace

std::unique_ptr<TcpStream> TcpStream::Connect(const Endpoint& endpoint, const TcpOptions& options,
                                              Hooks hooks) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  std::unique_ptr<TcpStream> stream(
      new TcpStream(descriptor, State::kConnecting, options, std::move(hooks)));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  const bool is_address = inet_pton(AF_INET, endpoint.ip.c_str(), &address.sin_addr) == 1;
  const bool begun =
      descriptor >= 0 && is_address &&
      (connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0 ||
       errno == EINPROGRESS);
  stream->connect_timer_ = std::make_unique<DeadlineTimer>();
  const TcpEnd end = errno == ECONNREFUSED ? TcpEnd::kRefused : TcpEnd::kNotConnected;
  stream->connect_timer_->OnReached(
      [stream = stream.get(), begun, end] { stream->End(begun ? TcpEnd::kNotConnected : end); });
  stream->connect_timer_->StartAfter(begun ? options.connect_timeout : Duration(0));
  if (begun) stream->Watch();
  return stream;
}

std::unique_ptr<TcpStream> TcpStream::Adopt(int descriptor, const TcpOptions& options,
                                            Hooks hooks) {
  const int flags = fcntl(descriptor, F_GETFL);
  if (fcntl(descriptor, F_SETFL, flags | O_NONBLOCK) != 0) {
    LogEvent(LogLevel::kError, "socket_stays_blocking", {{"errno", errno}});
  }
  std::unique_ptr<TcpStream> stream(
      new TcpStream(descriptor, State::kOpen, options, std::move(hooks)));
  stream->Watch();
  return stream;
}

TcpStream::TcpStream(int descriptor, State state, const TcpOptions& options, Hooks hooks)
    : descriptor_(descriptor), state_(state), hooks_(std::make_shared<Hooks>(std::move(hooks))) {
  if (descriptor >= 0) SetOptions(descriptor, options);
}

TcpStream::~TcpStream() {
  *alive_ = false;
  Release();
}

void TcpStream::Watch() {
  readable_ = std::make_unique<QSocketNotifier>(descriptor_, QSocketNotifier::Read);
  writable_ = std::make_unique<QSocketNotifier>(descriptor_, QSocketNotifier::Write);
  readable_->setEnabled(state_ == State::kOpen);
  writable_->setEnabled(state_ == State::kConnecting);
  QObject::connect(readable_.get(), &QSocketNotifier::activated, readable_.get(),
                   [this] { HandleReadable(); });
  QObject::connect(writable_.get(), &QSocketNotifier::activated, writable_.get(),
                   [this] { HandleWritable(); });
}

void TcpStream::HandleWritable() {
  if (state_ == State::kConnecting) {
    HandleConnected();
  } else {
    Flush();
  }
}

void TcpStream::HandleConnected() {
  int error = 0;
  socklen_t size = sizeof(error);
  getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0) {
    End(error == ECONNREFUSED ? TcpEnd::kRefused : TcpEnd::kNotConnected);
    return;
  }
  state_ = State::kOpen;
  connect_timer_->Stop();
  writable_->setEnabled(false);
  readable_->setEnabled(true);
  const auto alive = alive_;
  const auto hooks = hooks_;
  if (hooks->on_connected) hooks->on_connected();
  if (*alive && state_ == State::kOpen && pending_bytes() > 0) Flush();
}

void TcpStream::HandleReadable() {
  // One loop on one thread, so that one buffer serves all connections.
  static std::array<char, kReadBytes> buffer;
  const ssize_t count = recv(descriptor_, buffer.data(), buffer.size(), 0);
  if (count > 0) {
    const auto hooks = hooks_;
    if (hooks->on_data) hooks->on_data({buffer.data(), static_cast<std::size_t>(count)});
    return;
  }
  if (count < 0 && WouldBlock(errno)) return;
  End(count == 0 && !is_reset_ ? TcpEnd::kFinished : TcpEnd::kReset);
}

// EPIPE comes where the peer had finished in order before it reset the connection: Linux reports a
// reset as ECONNRESET unless the end of the peer's side has come in.
void TcpStream::NoteWriteError(int error) {
  if (!WouldBlock(error) && error != EPIPE) is_reset_ = true;
}

void TcpStream::Write(std::string_view bytes) {
  if (state_ == State::kEnded || bytes.empty()) return;
  const bool was_empty = pending_bytes() == 0;
  if (state_ == State::kOpen && was_empty) {
    // What the system takes at once needs no copy.
    const ssize_t count = send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (count < 0) NoteWriteError(errno);
    if (count > 0) bytes.remove_prefix(static_cast<std::size_t>(count));
    if (bytes.empty()) return;
  }
  if (out_sent_ > 0) {
    out_.erase(0, out_sent_);
    out_sent_ = 0;
  }
  out_ += bytes;
  if (state_ == State::kOpen) writable_->setEnabled(true);
}

void TcpStream::Flush() {
  while (pending_bytes() > 0) {
    const ssize_t count =
        send(descriptor_, out_.data() + out_sent_, out_.size() - out_sent_, MSG_NOSIGNAL);
    if (count < 0 && WouldBlock(errno)) {
      writable_->setEnabled(true);
      return;
    }
    if (count < 0) {
      NoteWriteError(errno);
      // What the peer sent before it closed may still be unread; the reader sees the end.
      writable_->setEnabled(false);
      if (!readable_->isEnabled()) End(TcpEnd::kReset);
      return;
    }
    out_sent_ += static_cast<std::size_t>(count);
  }
  out_.clear();
  out_sent_ = 0;
  writable_->setEnabled(false);
  if (finish_writing_) shutdown(descriptor_, SHUT_WR);
  const auto hooks = hooks_;
  if (hooks->on_flushed) hooks->on_flushed();
}

std::int64_t TcpStream::unacknowledged_bytes() const {
  int bytes = 0;
  if (descriptor_ < 0 || ioctl(descriptor_, SIOCOUTQ, &bytes) != 0) return pending_bytes();
  return pending_bytes() + bytes;
}

std::int64_t TcpStream::unread_bytes() const {
  int bytes = 0;
  return descriptor_ >= 0 && ioctl(descriptor_, SIOCINQ, &bytes) == 0 ? bytes : 0;
}

bool TcpStream::has_peer_closed() const {
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (descriptor_ < 0 || getsockopt(descriptor_, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
    return descriptor_ < 0;
  }
  return info.tcpi_state == TCP_CLOSE_WAIT || info.tcpi_state == TCP_CLOSE;
}

void TcpStream::SetDeadPeerTimeout(Duration timeout) {
  if (descriptor_ >= 0) LimitUnacknowledged(descriptor_, timeout);
}

void TcpStream::DiscardInput() {
  static std::array<char, kReadBytes> buffer;
  std::size_t discarded = 0;
  while (descriptor_ >= 0 && discarded < kMaxDiscardedBytes) {
    const ssize_t count = recv(descriptor_, buffer.data(), buffer.size(), 0);
    if (count <= 0) return;
    discarded += static_cast<std::size_t>(count);
  }
}

void TcpStream::SetReading(bool reading) {
  if (readable_ && state_ == State::kOpen) readable_->setEnabled(reading);
}

void TcpStream::FinishWriting() {
  finish_writing_ = true;
  if (state_ == State::kOpen && pending_bytes() == 0) shutdown(descriptor_, SHUT_WR);
}

void TcpStream::LimitSendBuffer(int bytes) { SetOption(descriptor_, SOL_SOCKET, SO_SNDBUF, bytes); }

void TcpStream::Release() {
  state_ = State::kEnded;
  // A notifier may be the sender of the signal that led here.
  for (std::unique_ptr<QSocketNotifier>* notifier : {&readable_, &writable_}) {
    if (!*notifier) continue;
    (*notifier)->setEnabled(false);
    notifier->release()->deleteLater();
  }
  connect_timer_.reset();
  if (descriptor_ >= 0) close(std::exchange(descriptor_, -1));
}

void TcpStream::End(TcpEnd end) {
  if (state_ == State::kEnded) return;
  Release();
  const auto hooks = std::exchange(hooks_, std::make_shared<Hooks>());
  if (hooks->on_end) hooks->on_end(end);
}

}  // namespace kumquat
