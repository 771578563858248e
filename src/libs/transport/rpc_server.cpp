#include <jsonrpccpp/common/errors.h>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iclientconnectionhandler.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <map>
#include <utility>

#include "transport/json_convert.h"
#include "transport/rpc.h"

namespace kumquat {
namespace Internal {
namespace {

// Where the answer to one request goes.
struct PendingAnswer {
  std::shared_ptr<FrameConnection> connection;
  Json::Value id;
  bool answered = false;

  void Answer(const QJsonObject& result) {
    if (std::exchange(answered, true)) return;
    Json::Value message(Json::objectValue);
    message["jsonrpc"] = "2.0";
    message["id"] = id;
    message["result"] = ToJsonCpp(result);
    connection->Send(FrameKind::kJsonRpc, ToText(message));
  }
};

// Lets libjsonrpccpp's protocol handler check and dispatch each request. The handler answers
// before it returns, so its answer is used for errors only; that of a method goes out when the
// method gives it, under the stored request id.
class JsonRpcServer : public RpcServer, public jsonrpc::IProcedureInvokationHandler {
 public:
  JsonRpcServer()
      : handler_(jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2,
                                                                       *this)) {}

  void AddMethod(std::string_view name, Method method) override {
    const std::string text(name);
    handler_->AddProcedure(jsonrpc::Procedure(text, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT,
                                              static_cast<void*>(nullptr)));
    methods_[text] = std::move(method);
  }

  void Handle(const std::shared_ptr<FrameConnection>& connection,
              std::string_view payload) override {
    const auto request = ParseJsonCpp(payload);
    const bool single = request && request->isObject();
    if (!single) {
      SendError(connection, request ? jsonrpc::Errors::ERROR_RPC_INVALID_REQUEST
                                    : jsonrpc::Errors::ERROR_RPC_JSON_PARSE_ERROR);
      return;
    }
    pending_ = std::make_shared<PendingAnswer>(PendingAnswer{connection, (*request)["id"]});
    std::string answer;
    handler_->HandleRequest(std::string(payload), answer);
    const bool dispatched = std::exchange(pending_, nullptr) == nullptr;
    if (!dispatched && !answer.empty()) connection->Send(FrameKind::kJsonRpc, answer);
  }

  void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input,
                        Json::Value& /*output*/) override {
    if (!input.isObject() && !input.isNull()) {
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS);
    }
    const auto pending = std::exchange(pending_, nullptr);
    methods_[procedure.GetProcedureName()](
        FromJsonCpp(input).toObject(),
        [pending](const QJsonObject& result) { pending->Answer(result); });
  }

  void HandleNotificationCall(jsonrpc::Procedure& /*procedure*/,
                              const Json::Value& /*input*/) override {}

 private:
  static void SendError(const std::shared_ptr<FrameConnection>& connection, int code) {
    Json::Value message(Json::objectValue);
    message["jsonrpc"] = "2.0";
    message["id"] = Json::nullValue;
    message["error"]["code"] = code;
    message["error"]["message"] = jsonrpc::Errors::GetErrorMessage(code);
    connection->Send(FrameKind::kJsonRpc, ToText(message));
  }

  std::unique_ptr<jsonrpc::IProtocolHandler> handler_;
  std::map<std::string, Method> methods_;
  // The request that the handler is dispatching now.
  std::shared_ptr<PendingAnswer> pending_;
};

}  // namespace
}  // namespace Internal

std::unique_ptr<RpcServer> MakeRpcServer() { return std::make_unique<Internal::JsonRpcServer>(); }

}  // namespace kumquat
