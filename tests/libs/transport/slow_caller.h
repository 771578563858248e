// A caller that reads only when it is told to, through a small receive buffer.
#pragma once

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <string>
#include <string_view>

#include "utils/endpoint.h"

namespace kumquat {

class SlowCaller {
 public:
  // Connects and sends the request.
  SlowCaller(const Endpoint& endpoint, std::string_view request)
      : descriptor_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    // Set before the connection is made, which is when the window's scale is agreed.
    const int size = kReceiveBufferBytes;
    setsockopt(descriptor_, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    inet_pton(AF_INET, endpoint.ip.c_str(), &address.sin_addr);
    REQUIRE(connect(descriptor_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) ==
            0);
    while (!request.empty()) {
      const ssize_t count = send(descriptor_, request.data(), request.size(), MSG_NOSIGNAL);
      REQUIRE(count > 0);
      request.remove_prefix(static_cast<std::size_t>(count));
    }
  }
  SlowCaller(const SlowCaller&) = delete;
  SlowCaller& operator=(const SlowCaller&) = delete;
  ~SlowCaller() { close(descriptor_); }

  // Reads a little of what has arrived.
  void Read() {
    std::array<char, kReadBytes> bytes{};
    const ssize_t count = recv(descriptor_, bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (count > 0) received_.append(bytes.data(), static_cast<std::size_t>(count));
    if (count == 0) ended_ = true;
    if (count < 0 && errno != EAGAIN) ended_ = was_reset_ = true;
  }

  void Write(std::string_view bytes) const {
    [[maybe_unused]] const auto count =
        send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  }

  // Returns the bytes that have arrived and aren't read.
  std::size_t unread() const {
    int bytes = 0;
    ioctl(descriptor_, FIONREAD, &bytes);
    return static_cast<std::size_t>(bytes);
  }

  const std::string& received() const { return received_; }
  bool ended() const { return ended_; }
  bool was_reset() const { return was_reset_; }

 private:
  static constexpr int kReceiveBufferBytes = 4096;
  static constexpr std::size_t kReadBytes = 2048;

  int descriptor_;
  std::string received_;
  bool ended_ = false;
  bool was_reset_ = false;
};

}  // namespace kumquat
