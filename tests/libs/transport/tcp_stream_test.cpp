#include "transport/tcp_stream.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <QElapsedTimer>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "raw_peer.h"

namespace kumquat {
namespace {

constexpr std::int64_t kMegabyte = 1024 * 1024;

// Accepts one connection, and sends on it what the test asks for or as fast as the system takes it.
class TestPeer {
 public:
  TestPeer() : listener_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    REQUIRE(bind(listener_, reinterpret_cast<sockaddr*>(&address), size) == 0);
    REQUIRE(listen(listener_, 1) == 0);
    REQUIRE(getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size) == 0);
    port_ = ntohs(address.sin_port);
  }
  TestPeer(const TestPeer&) = delete;
  TestPeer& operator=(const TestPeer&) = delete;
  ~TestPeer() {
    close(listener_);
    if (connection_ >= 0) close(connection_);
  }

  Endpoint endpoint() const { return {"127.0.0.1", port_}; }

  void Accept() {
    connection_ = accept(listener_, nullptr, nullptr);
    REQUIRE(connection_ >= 0);
    // What waits here is the peer's memory, not the stream's.
    const int send_buffer = 64 * 1024;
    REQUIRE(setsockopt(connection_, SOL_SOCKET, SO_SNDBUF, &send_buffer, sizeof(send_buffer)) == 0);
    REQUIRE(fcntl(connection_, F_SETFL, O_NONBLOCK) == 0);
  }

  void Finish() const { REQUIRE(shutdown(connection_, SHUT_WR) == 0); }

  void Reset() {
    const linger now{1, 0};
    REQUIRE(setsockopt(connection_, SOL_SOCKET, SO_LINGER, &now, sizeof(now)) == 0);
    close(std::exchange(connection_, -1));
  }

  void Send(std::string_view bytes) const {
    REQUIRE(send(connection_, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(bytes.size()));
  }

  // Returns the bytes that the system took.
  std::int64_t Send() {
    const std::string bytes(256 * 1024, 'x');
    std::int64_t taken = 0;
    while (true) {
      const ssize_t count = send(connection_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (count <= 0) return taken;
      taken += count;
    }
  }

 private:
  int listener_;
  int connection_ = -1;
  std::uint16_t port_ = 0;
};

// Bytes that have arrived and aren't read count towards a machine's memory. The system's own limit
// grows to several megabytes a connection once much has been read.
TEST_CASE("A stream that isn't read takes less than 1 MB, also after much was read quickly") {
  TestPeer peer;
  std::int64_t read_bytes = 0;
  bool is_connected = false;
  TcpStream::Hooks hooks;
  hooks.on_connected = [&is_connected] { is_connected = true; };
  hooks.on_data = [&read_bytes](std::string_view bytes) {
    read_bytes += static_cast<std::int64_t>(bytes.size());
  };
  const auto stream = TcpStream::Connect(peer.endpoint(), {}, std::move(hooks));
  CHECK(SpinUntil([&] { return is_connected; }));
  peer.Accept();
  CHECK(SpinUntil([&] {
    peer.Send();
    return read_bytes > 200 * kMegabyte;
  }));
  stream->SetReading(false);
  std::int64_t unread_bytes = 0;
  QElapsedTimer timer;
  timer.start();
  while (timer.elapsed() < 500) {
    unread_bytes += peer.Send();
    QCoreApplication::processEvents(QEventLoop::AllEvents, 10);
  }
  CHECK(unread_bytes < kMegabyte);
}

// What a stream hears of its peer, which sends a few bytes and then closes the connection in some
// way before the stream reads any of it.
struct Closed {
  std::string received;
  std::optional<TcpEnd> end;
};

Closed CloseBeforeWrite(bool finishes_first, std::size_t write_bytes, int writes) {
  TestPeer peer;
  Closed closed;
  bool is_connected = false;
  TcpStream::Hooks hooks;
  hooks.on_connected = [&is_connected] { is_connected = true; };
  hooks.on_data = [&closed](std::string_view bytes) { closed.received += bytes; };
  hooks.on_end = [&closed](TcpEnd end) { closed.end = end; };
  const auto stream = TcpStream::Connect(peer.endpoint(), {}, std::move(hooks));
  CHECK(SpinUntil([&] { return is_connected; }));
  peer.Accept();
  peer.Send("part");
  if (finishes_first) peer.Finish();
  peer.Reset();
  // The system tells of the reset here, before the stream reads.
  const std::string upload(write_bytes, 'x');
  for (int i = 0; i < writes; ++i) stream->Write(upload);
  CHECK(SpinUntil([&] { return closed.end.has_value(); }));
  return closed;
}

// Guards against an answer that was cut by a reset and is taken for whole, as a write was told of
// the reset and the read after it was not.
TEST_CASE("A reset that a write is told of ends the stream as reset, after what came before it") {
  for (const std::size_t write_bytes : {std::size_t{1}, std::size_t{3'000'000}}) {
    for (const int writes : {0, 1, 3}) {
      CAPTURE(write_bytes);
      CAPTURE(writes);
      const Closed closed = CloseBeforeWrite(false, write_bytes, writes);
      CHECK(closed.received == "part");
      CHECK(closed.end == TcpEnd::kReset);
    }
  }
}

TEST_CASE("A peer that finishes in order and resets its connection afterwards has finished") {
  for (const int writes : {0, 1, 3}) {
    const Closed closed = CloseBeforeWrite(true, 1000, writes);
    CHECK(closed.received == "part");
    CHECK(closed.end == TcpEnd::kFinished);
  }
}

}  // namespace
}  // namespace kumquat
