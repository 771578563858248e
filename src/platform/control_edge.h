// The calls of the users' backend servers and operators to control.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "control_api.h"
#include "transport/http_server.h"
#include "utils/endpoint.h"

namespace kumquat::platform {

// What the edge shares with the process's other servers; none of it is owned.
struct ControlEdgeResources {
  RequestMemory* request_memory = nullptr;
  AnswerMemory* answer_memory = nullptr;
  std::int64_t max_connections = 0;
  std::function<void(CallerRefusal reason)> on_refused;
};

// Decodes each call, hands it to the control replica, and encodes the outcome.
class ControlEdge {
 public:
  ControlEdge(ControlApi api, ControlEdgeResources resources);

  // False when the address can't be had, with last_reason().
  bool Listen(const Endpoint& endpoint) { return server_->Listen(endpoint); }

  const std::string& last_reason() const { return server_->last_reason(); }

 private:
  using Responder = std::shared_ptr<HttpResponder>;

  void Handle(const HttpRequest& request, const Responder& responder);
  void HandleHeartbeat(const std::string& id, const HttpRequest& request,
                       const Responder& responder);
  void HandleLeave(const std::string& id, const Responder& responder);
  void HandlePutConfiguration(const HttpRequest& request, const Responder& responder);
  void HandleGetConfiguration(const Responder& responder);
  void HandleNameWeights(const HttpRequest& request, const Responder& responder);

  ControlApi api_;
  std::unique_ptr<HttpServer> server_;
};

}  // namespace kumquat::platform
