// Framed messages between the system's own processes over TCP: a length, a kind, a payload.
//
// Every connection carries heartbeats both ways. A link whose connection has gone silent opens a
// new one beside it and uses that from then on; a frame that was sent on the old one may be lost.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "transport/caller_refusal.h"
#include "utils/endpoint.h"
#include "utils/hooks.h"

namespace kumquat {

// What a frame holds.
enum class FrameKind : std::uint8_t {
  kHeartbeat = 0,
  // A JSON-RPC 2.0 request, notification or answer.
  kJsonRpc = 1,
  // A message in CBOR.
  kCbor = 2,
  // What a control replica and a router tell each other unasked, in CBOR.
  kNews = 3,
};

struct FrameLimits {
  std::int64_t max_frame_bytes = 64 * 1024 * 1024;
  // While more than this waits to be sent, further frames are refused.
  std::int64_t max_buffered_bytes = 8 * 1024 * 1024;
  Duration heartbeat_interval = std::chrono::milliseconds(500);
  // Silence after which a connection is replaced.
  Duration silence_limit = std::chrono::milliseconds(1500);
  // Within a region connections come about within milliseconds. What goes out to an instance
  // without power is lost and not sent again for a second, so that a new attempt is sooner.
  Duration connect_timeout = std::chrono::milliseconds(400);
  // Between attempts to connect, doubled up to the longest, with full jitter.
  Duration reconnect_shortest = std::chrono::milliseconds(50);
  Duration reconnect_longest = std::chrono::milliseconds(1000);
};

// Receive buffer of a connection that a server accepts. It is set before connections are made, so
// that the system doesn't let it grow to megabytes for each. The system doubles it for its own
// overhead; within a region it suffices for some 100 MB/s on a connection.
inline constexpr int kFrameReceiveBufferBytes = 64 * 1024;

// What all connections of a server may take together. Whoever reaches its address may connect, so
// that the limits of each connection don't bound the process.
struct FrameServerLimits {
  // Bytes of frames that haven't come whole, and a fixed part for each connection. Past it, frames
  // that don't come on are given up first, see RequestMemory. A frame alone is always taken.
  std::int64_t max_partial_bytes = 16 * 1024 * 1024;
  // Bytes that wait to be sent. Past it, connections whose peer takes nothing are closed.
  std::int64_t max_waiting_bytes = 16 * 1024 * 1024;
  // At the limit, the connection on which no frame has come for longest makes room, unless all are
  // in use.
  std::int64_t max_connections = 1000;
};

// What became of the last attempt to connect. A connection counts once the peer's first heartbeat
// came in: a process that is stopped still has its connections accepted by its system.
enum class ConnectOutcome { kNone, kConnected, kRefused, kSilent };

// One accepted connection, on the server's side.
class FrameConnection {
 public:
  virtual ~FrameConnection() = default;
  virtual void Send(FrameKind kind, std::string_view payload) = 0;

  // Returns the bytes of frames that the system hasn't taken yet; 0 when the connection is closed.
  virtual std::int64_t waiting_bytes() const = 0;
};

// Accepts connections from other processes.
class FrameServer {
 public:
  // A frame came in. The connection may be kept to answer later.
  using OnFrame = std::function<void(const std::shared_ptr<FrameConnection>& connection,
                                     FrameKind kind, std::string_view payload)>;

  virtual ~FrameServer() = default;

  // False when the address can't be had; last_reason() then says why. Port 0 takes a free one.
  virtual bool Listen(const Endpoint& endpoint) = 0;
  virtual std::uint16_t port() const = 0;
  virtual const std::string& last_reason() const = 0;

  // Sends the frame on every open connection.
  virtual void Broadcast(FrameKind kind, std::string_view payload) = 0;
};

// A lasting link to one process, which reconnects by itself.
class FrameLink {
 public:
  using OnFrame = std::function<void(FrameKind kind, std::string_view payload)>;

  virtual ~FrameLink() = default;

  // Sends a frame; false when there is no connection now or too much waits to be sent, and then
  // nothing is kept for later.
  virtual bool Send(FrameKind kind, std::string_view payload) = 0;

  // Returns whether there is a connection that has not gone silent.
  virtual bool connected() const = 0;

  // Returns the last attempt's outcome. `kRefused` proves that no process listened there then.
  virtual ConnectOutcome last_outcome() const = 0;

  // Returns the bytes sent and received so far, with frame headers and heartbeats.
  virtual std::int64_t bytes_transferred() const = 0;

  // Sets a hook for each change of connected().
  virtual void OnConnectedChanged(std::function<void(bool connected)> hook) = 0;
};

// Closes a connection that sent an oversized or malformed frame, does not take what is sent to it,
// or has been silent for several silence limits. `on_refused` is called for each connection that is
// closed for one of the server's limits.
std::unique_ptr<FrameServer> MakeFrameServer(
    FrameServer::OnFrame on_frame, const FrameLimits& limits = {},
    const FrameServerLimits& server_limits = {},
    std::function<void(CallerRefusal reason)> on_refused = {});
std::unique_ptr<FrameLink> MakeFrameLink(const Endpoint& endpoint, FrameLink::OnFrame on_frame,
                                         Random random, const FrameLimits& limits = {});

}  // namespace kumquat
