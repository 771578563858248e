// The messages between a router and an engine. A chat request goes as
// `POST /v1/chat/completions` with the usual body and one more member, "kumquat", which holds an
// EngineRequest; the answer is a stream of server-sent events, each an EngineEvent.
#pragma once

#include <QJsonObject>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/lists.h"

namespace kumquat {

// What a router tells an engine about one attempt.
struct EngineRequest {
  std::string request_id;
  std::string attempt_id;
  ModelVersion model;
  // The engine refuses the request (status 409) when this is not its own incarnation.
  std::int64_t incarnation = 0;
  RequestClass request_class = RequestClass::kReply;
  // Identity of each whole piece of the prompt, chained from the first on, in hexadecimal.
  std::vector<std::string> prefix;
  // Prompt length by the router's own estimate, in tokens.
  std::int64_t prompt_tokens = 0;
  // Most tokens to generate.
  std::int64_t max_tokens = 0;
  // First token offset to send, for a stream that broke off; the text so far is `resume_text`.
  std::int64_t resume_offset = 0;
  std::string resume_text;

  bool operator==(const EngineRequest&) const = default;
};

QJsonObject ToJson(const EngineRequest& request);
std::optional<EngineRequest> ParseEngineRequest(const QJsonObject& json, std::string* reason);

// What an engine counted for one answer.
struct EngineUsage {
  std::int64_t prompt_tokens = 0;
  // Prompt tokens that were found in its cache.
  std::int64_t cached_tokens = 0;
  std::int64_t completion_tokens = 0;

  bool operator==(const EngineUsage&) const = default;
};

// One event of an engine's stream: a token, or the end with its usage.
struct EngineEvent {
  std::string attempt_id;
  // The token's place in the answer, from 0. At the end: the number of tokens in all.
  std::int64_t offset = 0;
  std::string text;
  bool is_end = false;
  // Why the answer ended: "stop" or "length".
  std::string finish_reason;
  EngineUsage usage;

  bool operator==(const EngineEvent&) const = default;
};

// Renders the JSON of one event's `data:` line, and reads it.
std::string ToJsonText(const EngineEvent& event);
std::optional<EngineEvent> ParseEngineEvent(std::string_view json_text);

// A change in an engine's cache. Events are numbered from 1 in each incarnation; a gap in the
// numbers means that some were lost. Engines offer them at `GET /cache/events?after=N` as
// {"incarnation", "last_sequence", "events": [...]}, and what they hold at `GET /cache/blocks` as
// {"incarnation", "last_sequence", "blocks": [identity...]}.
struct CacheEvent {
  std::int64_t sequence = 0;
  bool stored = true;
  // Identity of the piece, as in EngineRequest::prefix.
  std::string block;

  bool operator==(const CacheEvent&) const = default;
};

QJsonObject ToJson(const CacheEvent& event);
std::optional<CacheEvent> ParseCacheEvent(const QJsonObject& json);

// An order to an engine, sent as `POST /orders`: the models that it shall hold. Engines that
// check fencing refuse (status 409) a number lower than the highest that they have seen.
struct EngineOrder {
  std::int64_t fencing_number = 0;
  std::vector<ModelVersion> models;

  bool operator==(const EngineOrder&) const = default;
};

QJsonObject ToJson(const EngineOrder& order);
std::optional<EngineOrder> ParseEngineOrder(const QJsonObject& json, std::string* reason);

}  // namespace kumquat
