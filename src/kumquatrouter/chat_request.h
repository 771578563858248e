// A caller's chat request, read from its HTTP form.
#pragma once

#include <QJsonObject>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/lists.h"
#include "transport/http_message.h"

namespace kumquat {

// One message of the conversation.
struct ChatMessage {
  std::string role;
  std::string content;
};

// A chat request as the router handles it.
struct ChatRequest {
  // As the caller named it: "model", or "model:adapter".
  std::string model_name;
  std::vector<ChatMessage> messages;
  std::int64_t max_tokens = 256;
  bool stream = false;
  // The caller's own body, which goes on to the engine.
  QJsonObject body;
};

// Reads the body; nothing when it isn't a chat request, with the reason in `reason`.
std::optional<ChatRequest> ParseChatRequest(std::string_view body, std::string* reason);

// Returns the class that the Priority field (RFC 9218) asks for. Only a low urgency has an effect:
// it lowers the class to a draft.
RequestClass RequestClassOf(std::string_view priority_field);

// Renders one `chat.completion.chunk` event of a streamed answer, with the token's text.
std::string ChatChunk(std::string_view request_id, std::string_view model, std::string_view text);

// What the last event and the whole answer tell of the tokens.
struct ChatUsage {
  std::int64_t prompt_tokens = 0;
  std::int64_t cached_tokens = 0;
  std::int64_t completion_tokens = 0;
};

// Renders the last event of a streamed answer, followed by `[DONE]`.
std::string ChatEnd(std::string_view request_id, std::string_view model,
                    std::string_view finish_reason, const ChatUsage& usage);

// Renders a whole answer for a caller that didn't ask for a stream.
std::string ChatCompletion(std::string_view request_id, std::string_view model,
                           std::string_view text, std::string_view finish_reason,
                           const ChatUsage& usage);

}  // namespace kumquat
