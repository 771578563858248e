#include "protocol/engine_messages.h"

#include "protocol/json_fields.h"

namespace kumquat {
namespace {

constexpr std::size_t kMaxPrefixPieces = 4096;
constexpr std::size_t kMaxResumeTextBytes = 16 * 1024 * 1024;
constexpr std::size_t kMaxTokenBytes = 1024 * 1024;
constexpr std::size_t kMaxModels = 256;

}  // namespace

QJsonObject ToJson(const EngineRequest& request) {
  return {{"request_id", ToQString(request.request_id)},
          {"attempt_id", ToQString(request.attempt_id)},
          {"model", ToJson(request.model)},
          {"incarnation", static_cast<qint64>(request.incarnation)},
          {"class", ToQString(RequestClassName(request.request_class))},
          {"prefix", ToJsonArray(request.prefix)},
          {"prompt_tokens", static_cast<qint64>(request.prompt_tokens)},
          {"max_tokens", static_cast<qint64>(request.max_tokens)},
          {"resume_offset", static_cast<qint64>(request.resume_offset)},
          {"resume_text", ToQString(request.resume_text)}};
}

std::optional<EngineRequest> ParseEngineRequest(const QJsonObject& json, std::string* reason) {
  EngineRequest request;
  std::string class_name;
  JsonFields fields(json);
  fields.Read("request_id", &request.request_id)
      .Read("attempt_id", &request.attempt_id)
      .Read("incarnation", &request.incarnation)
      .Read("class", &class_name)
      .Read("prefix", &request.prefix, kMaxPrefixPieces)
      .Read("prompt_tokens", &request.prompt_tokens)
      .Read("max_tokens", &request.max_tokens)
      .Read("resume_offset", &request.resume_offset)
      .Read("resume_text", &request.resume_text, kMaxResumeTextBytes);
  request.request_class = class_name == "draft" ? RequestClass::kDraft : RequestClass::kReply;
  const auto model = ParseModelVersion(fields.Object("model"), reason);
  if (!model) return std::nullopt;
  request.model = *model;
  *reason = fields.last_reason();
  if (!fields.ok()) return std::nullopt;
  return request;
}

std::string ToJsonText(const EngineEvent& event) {
  QJsonObject json{{"attempt_id", ToQString(event.attempt_id)},
                   {"offset", static_cast<qint64>(event.offset)}};
  if (!event.is_end) {
    json["text"] = ToQString(event.text);
    return ToJsonText(json);
  }
  json["finish_reason"] = ToQString(event.finish_reason);
  json["usage"] =
      QJsonObject{{"prompt_tokens", static_cast<qint64>(event.usage.prompt_tokens)},
                  {"cached_tokens", static_cast<qint64>(event.usage.cached_tokens)},
                  {"completion_tokens", static_cast<qint64>(event.usage.completion_tokens)}};
  return ToJsonText(json);
}

std::optional<EngineEvent> ParseEngineEvent(std::string_view json_text) {
  const auto json = ParseJsonObject(json_text);
  if (!json) return std::nullopt;
  EngineEvent event;
  JsonFields fields(*json);
  fields.Read("attempt_id", &event.attempt_id).Read("offset", &event.offset);
  event.is_end = fields.Has("finish_reason");
  if (!event.is_end) {
    fields.Read("text", &event.text, kMaxTokenBytes);
  } else {
    fields.Read("finish_reason", &event.finish_reason);
    JsonFields usage(fields.Object("usage"));
    usage.Read("prompt_tokens", &event.usage.prompt_tokens)
        .Read("cached_tokens", &event.usage.cached_tokens)
        .Read("completion_tokens", &event.usage.completion_tokens);
    if (!usage.ok()) return std::nullopt;
  }
  if (!fields.ok()) return std::nullopt;
  return event;
}

QJsonObject ToJson(const CacheEvent& event) {
  return {{"sequence", static_cast<qint64>(event.sequence)},
          {"stored", event.stored},
          {"block", ToQString(event.block)}};
}

std::optional<CacheEvent> ParseCacheEvent(const QJsonObject& json) {
  CacheEvent event;
  JsonFields fields(json);
  fields.Read("sequence", &event.sequence, 1)
      .Read("stored", &event.stored)
      .Read("block", &event.block);
  if (!fields.ok()) return std::nullopt;
  return event;
}

QJsonObject ToJson(const EngineOrder& order) {
  QJsonArray models;
  for (const ModelVersion& model : order.models) models.append(ToJson(model));
  return {{"fencing_number", static_cast<qint64>(order.fencing_number)}, {"models", models}};
}

std::optional<EngineOrder> ParseEngineOrder(const QJsonObject& json, std::string* reason) {
  EngineOrder order;
  JsonFields fields(json);
  fields.Read("fencing_number", &order.fencing_number);
  for (const QJsonValue& item : fields.Array("models", kMaxModels)) {
    const auto model = ParseModelVersion(item.toObject(), reason);
    if (!model) return std::nullopt;
    order.models.push_back(*model);
  }
  *reason = fields.last_reason();
  if (!fields.ok()) return std::nullopt;
  return order;
}

}  // namespace kumquat
