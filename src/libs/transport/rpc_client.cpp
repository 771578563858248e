#include <map>
#include <utility>

#include "transport/json_convert.h"
#include "transport/rpc.h"
#include "utils/deadline_timer.h"
#include "utils/log.h"

namespace kumquat {
namespace Internal {
namespace {

class JsonRpcClient : public RpcClient {
 public:
  JsonRpcClient(const Endpoint& endpoint, Random random, const FrameLimits& limits,
                std::function<void(std::string_view)> on_cbor)
      : on_cbor_(std::move(on_cbor)),
        link_(MakeFrameLink(
            endpoint, [this](FrameKind kind, std::string_view payload) { Received(kind, payload); },
            std::move(random), limits)) {
    // Answers come on the connection of their call, so none comes once that is lost.
    link_->OnConnectedChanged([this](bool connected) {
      if (!connected) FailAll();
    });
  }

  void Call(std::string_view method, const QJsonObject& params, Duration timeout,
            OnResult on_result) override {
    const std::int64_t id = ++last_id_;
    const auto [call, added] = calls_.try_emplace(id, std::move(on_result));
    DeadlineTimer& timer = call->second.timer;
    const bool sent = link_->Send(FrameKind::kJsonRpc, Request(id, method, params));
    const RpcFailure failure = sent ? RpcFailure::kTimedOut : RpcFailure::kNotSent;
    const Duration wait = sent ? timeout : Duration(0);
    timer.OnReached([this, id, failure] { Finish(id, std::nullopt, failure); });
    timer.StartAfter(wait);
  }

  bool Send(FrameKind kind, std::string_view payload) override {
    return link_->Send(kind, payload);
  }

  const FrameLink& link() const override { return *link_; }

 private:
  struct PendingCall {
    explicit PendingCall(OnResult hook) : on_result(std::move(hook)) {}

    OnResult on_result;
    DeadlineTimer timer;
  };

  static std::string Request(std::int64_t id, std::string_view method, const QJsonObject& params) {
    Json::Value message(Json::objectValue);
    message["jsonrpc"] = "2.0";
    message["id"] = static_cast<Json::Int64>(id);
    message["method"] = std::string(method);
    message["params"] = ToJsonCpp(params);
    return ToText(message);
  }

  void Received(FrameKind kind, std::string_view payload) {
    if (kind == FrameKind::kCbor && on_cbor_) on_cbor_(payload);
    if (kind != FrameKind::kJsonRpc) return;
    const auto answer = ParseJsonCpp(payload);
    if (!answer || !answer->isObject() || !(*answer)["id"].isInt64()) {
      LogEvent(LogLevel::kWarning, "rpc_answer_malformed");
      return;
    }
    const std::int64_t id = (*answer)["id"].asInt64();
    const bool has_result = answer->isMember("result") && (*answer)["result"].isObject();
    if (!has_result) {
      Finish(id, std::nullopt, RpcFailure::kRefused);
      return;
    }
    Finish(id, FromJsonCpp((*answer)["result"]).toObject(), RpcFailure::kRefused);
  }

  // Does nothing when the call has been finished before.
  void Finish(std::int64_t id, const std::optional<QJsonObject>& result, RpcFailure failure) {
    const auto call = calls_.find(id);
    if (call == calls_.end()) return;
    const OnResult on_result = std::move(call->second.on_result);
    calls_.erase(call);
    on_result(result, failure);
  }

  // Ends the calls that were sent. The hooks run from the event loop, as the link is changing now.
  void FailAll() {
    for (auto& [id, call] : calls_) call.timer.StartAfter(Duration(0));
  }

  std::function<void(std::string_view)> on_cbor_;
  std::map<std::int64_t, PendingCall> calls_;
  std::int64_t last_id_ = 0;
  std::unique_ptr<FrameLink> link_;
};

}  // namespace
}  // namespace Internal

std::unique_ptr<RpcClient> MakeRpcClient(const Endpoint& endpoint, Random random,
                                         const FrameLimits& limits,
                                         std::function<void(std::string_view)> on_cbor) {
  return std::make_unique<Internal::JsonRpcClient>(endpoint, std::move(random), limits,
                                                   std::move(on_cbor));
}

}  // namespace kumquat
