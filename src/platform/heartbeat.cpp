#include "platform/heartbeat.h"

#include <limits>
#include <utility>

#include "platform/model_versions.h"
#include "protocol/json_fields.h"

namespace kumquat::platform {
namespace {

constexpr std::int64_t kMaxSlots = std::numeric_limits<std::int32_t>::max();

void ReadAddress(JsonFields& fields, Endpoint* endpoint) {
  std::string text;
  fields.Read("addr", &text);
  const auto parsed = ParseEndpoint(text);
  if (fields.ok() && (!parsed || parsed->port == 0)) {
    fields.Fail("addr", "an IP number with a port is needed.");
  }
  *endpoint = parsed.value_or(Endpoint{});
}

void ReadState(JsonFields& fields, BackendState* state) {
  std::string text;
  fields.Read("state", &text);
  const bool is_known = text == "ready" || text == "draining";
  if (fields.ok() && !is_known) fields.Fail("state", "the state is not known.");
  *state = text == "draining" ? BackendState::kLeaving : BackendState::kServing;
}

void ReadModels(JsonFields& fields, std::vector<ModelVersion>* models) {
  for (auto& [name, version] : ReadModelVersions(fields)) {
    ModelVersion model;
    model.model = std::move(name);
    model.version = std::to_string(version);
    models->push_back(std::move(model));
  }
}

}  // namespace

std::optional<Announcement> DecodeHeartbeat(std::string_view id, std::string_view body,
                                            std::string* reason) {
  const auto json = ParseJsonObject(body);
  if (!json || id.empty()) {
    *reason = "The body is not a whole JSON object, or the id is missing.";
    return std::nullopt;
  }
  Announcement announcement;
  announcement.backend_id = id;
  JsonFields fields(*json);
  // "born" is the time at which the server started: a later start is a later incarnation.
  fields.Read("born", &announcement.incarnation)
      .Read("seq", &announcement.sequence)
      .Read("service", &announcement.service)
      .Read("zone", &announcement.failure_domain)
      .Read("version", &announcement.software_version)
      .Read("slots", &announcement.concurrent_requests, 1, kMaxSlots);
  ReadAddress(fields, &announcement.endpoint);
  ReadState(fields, &announcement.state);
  ReadModels(fields, &announcement.models);
  announcement.kind = announcement.models.empty() ? BackendKind::kService : BackendKind::kEngine;
  if (fields.ok() && announcement.service.empty()) fields.Fail("service", "a name is needed.");
  *reason = fields.last_reason();
  if (!fields.ok()) return std::nullopt;
  // Other processes are told of it in this form, and must accept it too.
  return ParseAnnouncement(ToJson(announcement), reason);
}

}  // namespace kumquat::platform
