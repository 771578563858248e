#include "platform/control_edge.h"

#include <utility>

#include "platform/configuration.h"
#include "platform/heartbeat.h"
#include "protocol/json_fields.h"
#include "utils/log.h"

namespace kumquat::platform {
namespace {

constexpr std::string_view kInstancesPath = "/instances/";
constexpr std::string_view kConfigurationPath = "/config";
constexpr std::string_view kWeightsPath = "/version-put";
// The page lets configurations reach 4 MiB.
constexpr std::int64_t kMaxBodyBytes = 6 * 1024 * 1024;
// Decoding takes many times the memory of the text, and no heartbeat comes near this.
constexpr std::size_t kMaxHeartbeatBytes = 64 * 1024;

using Responder = std::shared_ptr<HttpResponder>;

void SendJson(const Responder& responder, int status, const QJsonObject& body) {
  responder->Send(status, {{"Content-Type", "application/json"}}, ToJsonText(body));
}

void SendError(const Responder& responder, int status, const std::string& reason) {
  SendJson(responder, status, {{"error", ToQString(reason)}});
}

// Callers go to another replica after a 503.
void SendOutcome(const Responder& responder, bool acknowledged) {
  if (acknowledged) return SendJson(responder, 200, {});
  SendError(responder, 503, "This replica can't reach a majority of control.");
}

HttpServerLimits ServerLimits(std::int64_t max_connections) {
  HttpServerLimits limits;
  limits.max_body_bytes = kMaxBodyBytes;
  limits.max_connections = max_connections;
  return limits;
}

}  // namespace

ControlEdge::ControlEdge(ControlApi api, ControlEdgeResources resources)
    : api_(std::move(api)),
      server_(HttpServer::Builder()
                  .WithLimits(ServerLimits(resources.max_connections))
                  .WithRequestMemory(resources.request_memory)
                  .WithAnswerMemory(resources.answer_memory)
                  .WithOnRefused(std::move(resources.on_refused))
                  .WithHandler([this](const HttpRequest& request, const Responder& responder) {
                    Handle(request, responder);
                  })
                  .Build()) {}

void ControlEdge::Handle(const HttpRequest& request, const Responder& responder) {
  const bool is_get = request.method == "GET";
  const bool is_put = request.method == "PUT";
  if (request.path.starts_with(kInstancesPath)) {
    const std::string id = request.path.substr(kInstancesPath.size());
    if (is_put) return HandleHeartbeat(id, request, responder);
    if (request.method == "DELETE") return HandleLeave(id, responder);
  } else if (request.path == kConfigurationPath) {
    if (is_put) return HandlePutConfiguration(request, responder);
    if (is_get) return HandleGetConfiguration(responder);
  } else if (request.path == kWeightsPath && request.method == "POST") {
    return HandleNameWeights(request, responder);
  } else if (request.path != kWeightsPath) {
    return SendError(responder, 404, "There is nothing at this path.");
  }
  SendError(responder, 405, "This path does not take the method.");
}

void ControlEdge::HandleHeartbeat(const std::string& id, const HttpRequest& request,
                                  const Responder& responder) {
  if (request.body.size() > kMaxHeartbeatBytes) {
    return SendError(responder, 400, "A heartbeat is never so long.");
  }
  std::string reason;
  const auto announcement = DecodeHeartbeat(id, request.body, &reason);
  if (!announcement) {
    LogEvent(LogLevel::kWarning, "heartbeat_refused", {{"backend", id}, {"reason", reason}});
    return SendError(responder, 400, reason);
  }
  api_.announce(*announcement,
                [responder](bool acknowledged) { SendOutcome(responder, acknowledged); });
}

void ControlEdge::HandleLeave(const std::string& id, const Responder& responder) {
  api_.leave(id, [responder](bool acknowledged) { SendOutcome(responder, acknowledged); });
}

void ControlEdge::HandlePutConfiguration(const HttpRequest& request, const Responder& responder) {
  std::string reason;
  const auto table = DecodeConfiguration(request.body, &reason);
  const auto problem = table ? ProblemOf(*table) : std::optional(reason);
  if (problem) {
    LogEvent(LogLevel::kWarning, "configuration_refused", {{"reason", *problem}});
    return SendError(responder, 400, *problem);
  }
  const Document document{std::string(kRoutingDocument), table->version, request.body};
  api_.put_document(document, [responder, version = table->version](bool acknowledged) {
    LogEvent(LogLevel::kInfo, "configuration_put",
             {{"version", version}, {"acknowledged", acknowledged ? "yes" : "no"}});
    SendOutcome(responder, acknowledged);
  });
}

void ControlEdge::HandleGetConfiguration(const Responder& responder) {
  api_.read_document(
      std::string(kRoutingDocument),
      [responder](bool is_confirmed, const std::optional<Document>& document) {
        if (!is_confirmed) return SendOutcome(responder, false);
        if (!document) return SendError(responder, 503, "There is no configuration yet.");
        responder->Send(200, {{"Content-Type", "application/json"}}, document->content);
      });
}

void ControlEdge::HandleNameWeights(const HttpRequest& request, const Responder& responder) {
  const auto json = ParseJsonObject(request.body);
  std::string model;
  Document document;
  JsonFields fields(json.value_or(QJsonObject()));
  fields.Read("model", &model).Read("version", &document.version, 1);
  if (!fields.ok() || model.empty()) {
    LogEvent(LogLevel::kWarning, "weights_refused", {{"reason", fields.last_reason()}});
    return SendError(responder, 400, fields.last_reason());
  }
  document.name = std::string(kWeightsDocumentPrefix) + model;
  api_.put_document(document, [responder, document](bool acknowledged) {
    LogEvent(LogLevel::kInfo, "weights_named",
             {{"weights", document.name},
              {"version", document.version},
              {"acknowledged", acknowledged ? "yes" : "no"}});
    SendOutcome(responder, acknowledged);
  });
}

}  // namespace kumquat::platform
