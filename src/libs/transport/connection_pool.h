// Connections to servers that wait for their next call.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "transport/tcp_stream.h"
#include "utils/endpoint.h"
#include "utils/hooks.h"

namespace kumquat::Internal {

class ConnectionPool {
 public:
  explicit ConnectionPool(Clock clock) : clock_(std::move(clock)) {}

  // Returns the connection that was used last; null when there is none.
  std::unique_ptr<TcpStream> Take(const Endpoint& endpoint);

  // Keeps a connection whose last answer was whole, for `kept_for` at most. It is dropped when the
  // server closes it or says anything unasked.
  void Keep(const Endpoint& endpoint, std::unique_ptr<TcpStream> stream, Duration kept_for);

 private:
  struct Idle {
    std::int64_t number = 0;
    std::unique_ptr<TcpStream> stream;
    Instant ends{0};
  };

  void Drop(const Endpoint& endpoint, std::int64_t number);
  void DropEnded(std::vector<Idle>* idle);

  Clock clock_;
  std::map<Endpoint, std::vector<Idle>> idle_;
  std::int64_t last_number_ = 0;
};

}  // namespace kumquat::Internal
