#include "chat_request.h"

#include <QJsonDocument>
#include <charconv>

#include "protocol/json_fields.h"

namespace kumquat {
namespace {

constexpr std::size_t kMaxMessages = 10'000;
constexpr std::size_t kMaxContentBytes = 64 * 1024 * 1024;
constexpr std::int64_t kMaxTokens = 1'000'000;
// RFC 9218: urgency goes from 0, the highest, to 7; 3 is the default.
constexpr int kDefaultUrgency = 3;

// Returns the text of a content member: a string, or a list of parts of which some are text.
std::optional<std::string> ContentText(const QJsonValue& content) {
  if (content.isString()) return content.toString().toStdString();
  if (!content.isArray()) return std::nullopt;
  std::string text;
  const QJsonArray parts = content.toArray();
  for (const auto& part : parts) text += part.toObject()["text"].toString().toStdString();
  return text;
}

std::optional<ChatMessage> ParseMessage(const QJsonObject& json, std::string* reason) {
  ChatMessage message;
  JsonFields fields(json);
  fields.Read("role", &message.role);
  const auto content = ContentText(json["content"]);
  if (!content) fields.Fail("content", "a string or a list of parts is needed.");
  if (content && content->size() > kMaxContentBytes) fields.Fail("content", "it is too long.");
  *reason = fields.last_reason();
  if (!fields.ok()) return std::nullopt;
  message.content = *content;
  return message;
}

QJsonObject UsageJson(const ChatUsage& usage) {
  return {{"prompt_tokens", static_cast<qint64>(usage.prompt_tokens)},
          {"completion_tokens", static_cast<qint64>(usage.completion_tokens)},
          {"total_tokens", static_cast<qint64>(usage.prompt_tokens + usage.completion_tokens)},
          {"prompt_tokens_details",
           QJsonObject{{"cached_tokens", static_cast<qint64>(usage.cached_tokens)}}}};
}

QJsonObject Envelope(std::string_view object, std::string_view request_id, std::string_view model) {
  return {
      {"id", ToQString(request_id)}, {"object", ToQString(object)}, {"model", ToQString(model)}};
}

}  // namespace

std::optional<ChatRequest> ParseChatRequest(std::string_view body, std::string* reason) {
  const auto json = ParseJsonObject(body);
  if (!json) {
    *reason = "The body is not a JSON object.";
    return std::nullopt;
  }
  ChatRequest request;
  request.body = *json;
  JsonFields fields(*json);
  fields.Read("model", &request.model_name)
      .ReadOptional("max_tokens", &request.max_tokens, std::int64_t{1}, kMaxTokens)
      .ReadOptional("stream", &request.stream);
  for (const QJsonValue& item : fields.Array("messages", kMaxMessages)) {
    auto message = ParseMessage(item.toObject(), reason);
    if (!message) return std::nullopt;
    request.messages.push_back(std::move(*message));
  }
  if (fields.ok() && request.messages.empty()) fields.Fail("messages", "one or more are needed.");
  *reason = fields.last_reason();
  if (!fields.ok()) return std::nullopt;
  return request;
}

RequestClass RequestClassOf(std::string_view priority_field) {
  int urgency = kDefaultUrgency;
  const auto place = priority_field.find("u=");
  if (place != std::string_view::npos) {
    const std::string_view digits = priority_field.substr(place + 2);
    std::from_chars(digits.data(), digits.data() + digits.size(), urgency);
  }
  return urgency > kDefaultUrgency ? RequestClass::kDraft : RequestClass::kReply;
}

std::string ChatChunk(std::string_view request_id, std::string_view model, std::string_view text) {
  QJsonObject json = Envelope("chat.completion.chunk", request_id, model);
  const QJsonObject delta{{"role", "assistant"}, {"content", ToQString(text)}};
  json["choices"] =
      QJsonArray{QJsonObject{{"index", 0}, {"delta", delta}, {"finish_reason", QJsonValue::Null}}};
  return "data: " + ToJsonText(json) + "\n\n";
}

std::string ChatEnd(std::string_view request_id, std::string_view model,
                    std::string_view finish_reason, const ChatUsage& usage) {
  QJsonObject json = Envelope("chat.completion.chunk", request_id, model);
  json["choices"] = QJsonArray{QJsonObject{
      {"index", 0}, {"delta", QJsonObject{}}, {"finish_reason", ToQString(finish_reason)}}};
  json["usage"] = UsageJson(usage);
  return "data: " + ToJsonText(json) + "\n\ndata: [DONE]\n\n";
}

std::string ChatCompletion(std::string_view request_id, std::string_view model,
                           std::string_view text, std::string_view finish_reason,
                           const ChatUsage& usage) {
  QJsonObject json = Envelope("chat.completion", request_id, model);
  const QJsonObject message{{"role", "assistant"}, {"content", ToQString(text)}};
  json["choices"] = QJsonArray{
      QJsonObject{{"index", 0}, {"message", message}, {"finish_reason", ToQString(finish_reason)}}};
  json["usage"] = UsageJson(usage);
  return ToJsonText(json);
}

}  // namespace kumquat
