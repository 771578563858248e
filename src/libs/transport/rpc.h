// JSON-RPC 2.0 between the system's own processes, by libjsonrpccpp over frames.
#pragma once

#include <QJsonObject>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "transport/frame_link.h"
#include "utils/hooks.h"

namespace kumquat {

// Answers one call, at once or later, and at most once.
using RpcReply = std::function<void(const QJsonObject& result)>;

// Serves named methods. Each takes one object of named parameters and answers with an object.
class RpcServer {
 public:
  using Method = std::function<void(const QJsonObject& params, RpcReply reply)>;

  virtual ~RpcServer() = default;

  // Adds a method; before the first call only.
  virtual void AddMethod(std::string_view name, Method method) = 0;

  // Takes the payload of a kJsonRpc frame and answers it on the connection, with error -32700 when
  // it is not JSON, -32600 when it is not one request (batches are not taken), -32601 for an
  // unknown method and -32602 when the parameters are not an object.
  virtual void Handle(const std::shared_ptr<FrameConnection>& connection,
                      std::string_view payload) = 0;
};

std::unique_ptr<RpcServer> MakeRpcServer();

// What became of a call that has no result.
enum class RpcFailure {
  // Nothing was sent.
  kNotSent,
  // It was sent and no answer came, in time or before the connection was lost. It may have run.
  kTimedOut,
  // The process answered with an error.
  kRefused,
};

// Calls the methods of one process.
class RpcClient {
 public:
  // `result` is empty when the call failed; `failure` then says how.
  using OnResult =
      std::function<void(const std::optional<QJsonObject>& result, RpcFailure failure)>;

  virtual ~RpcClient() = default;

  // Calls a method; the hook runs once, never before Call returns.
  virtual void Call(std::string_view method, const QJsonObject& params, Duration timeout,
                    OnResult on_result) = 0;

  // Sends a frame of another kind on the same connection; false as FrameLink::Send().
  virtual bool Send(FrameKind kind, std::string_view payload) = 0;

  // Returns the link below, for its state.
  virtual const FrameLink& link() const = 0;
};

// Connects to the endpoint; frames of kind kCbor that come back go to `on_cbor`.
std::unique_ptr<RpcClient> MakeRpcClient(const Endpoint& endpoint, Random random,
                                         const FrameLimits& limits = {},
                                         std::function<void(std::string_view)> on_cbor = {});

}  // namespace kumquat
