#include "transport/tcp_stream.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <QElapsedTimer>
#include <memory>
#include <string>

#include "raw_peer.h"

namespace kumquat {
namespace {

constexpr std::int64_t kMegabyte = 1024 * 1024;

// Accepts one connection and sends on it as fast as the system takes it.
class FloodingPeer {
 public:
  FloodingPeer() : listener_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    REQUIRE(bind(listener_, reinterpret_cast<sockaddr*>(&address), size) == 0);
    REQUIRE(listen(listener_, 1) == 0);
    REQUIRE(getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size) == 0);
    port_ = ntohs(address.sin_port);
  }
  FloodingPeer(const FloodingPeer&) = delete;
  FloodingPeer& operator=(const FloodingPeer&) = delete;
  ~FloodingPeer() {
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
  FloodingPeer peer;
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

}  // namespace
}  // namespace kumquat
