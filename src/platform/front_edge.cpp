#include "platform/front_edge.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "protocol/json_fields.h"
#include "utils/durations.h"

namespace kumquat::platform {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view kRequestId = "Kumquatcross-Request-Id";
constexpr std::string_view kDeadline = "Kumquatcross-Deadline-Ms";
constexpr std::string_view kKey = "Api-Key";
constexpr std::string_view kTenant = "Kumquatcross-Tenant";
constexpr std::string_view kExpectInstance = "Kumquatcross-Expect-Instance";
constexpr std::string_view kExpectVersion = "Kumquatcross-Expect-Version";
constexpr std::string_view kLastEventId = "Last-Event-Id";
constexpr std::string_view kResumes = "Resumes";
constexpr std::string_view kModel = "Kumquatcross-Model";
constexpr std::string_view kTokenCount = "Kumquatcross-Token-Count";
constexpr std::string_view kPromptPrefix = "Kumquatcross-Prompt-Prefix";
constexpr std::string_view kCacheSalt = "Kumquatcross-Cache-Salt";
constexpr std::string_view kKvFetch = "Kumquatcross-Kv-Fetch";
constexpr std::string_view kKvSave = "Kumquatcross-Kv-Save";
constexpr std::string_view kKvFrom = "Kv-From";
constexpr std::string_view kKvBackup = "Kumquatcross-Kv-Backup";
constexpr std::string_view kPriority = "Kumquatcross-Request-Priority";
constexpr std::string_view kNotRun = "Kumquatcross-Not-Run";
constexpr std::string_view kStamp = "Kumquatcross-Server-Stamp";
constexpr std::string_view kWeightVersions = "Kumquatcross-Weight-Versions";
constexpr std::string_view kContentEncoding = "Content-Encoding";
constexpr std::string_view kConnection = "Connection";

// What only the system may say to a backend server; a caller's own is dropped.
constexpr std::array kSystemFields = {kKey,
                                      kTenant,
                                      kExpectInstance,
                                      kExpectVersion,
                                      kCacheSalt,
                                      kKvFetch,
                                      kKvSave,
                                      kKvFrom,
                                      kKvBackup,
                                      kPriority,
                                      kDeadline,
                                      std::string_view("Kumquatcross-Kv-From"),
                                      std::string_view("Kumquatcross-Kv-Hold"),
                                      std::string_view("Kumquatcross-Pin-Ms")};

// What concerns one connection only.
constexpr std::array<std::string_view, 9> kConnectionFields = {
    "Connection", "Keep-Alive",        "Proxy-Connection", "TE",    "Trailer",
    "Upgrade",    "Transfer-Encoding", "Content-Length",   "Expect"};

constexpr int kOk = 200;
constexpr int kMisdirected = 421;
constexpr int kFirstError = 300;
constexpr std::int64_t kLowestPriority = 9;
// Milliseconds up to this fit as microseconds, and so do sums of all token counts that fit a
// header.
constexpr std::int64_t kLargestNumber = 1'000'000'000'000'000;

template <typename Names>
bool IsAnyOf(std::string_view name, const Names& names) {
  return std::any_of(names.begin(), names.end(),
                     [name](std::string_view other) { return EqualInAnyCase(name, other); });
}

std::string_view Trim(std::string_view text) {
  const auto begin = text.find_first_not_of(" \t");
  if (begin == std::string_view::npos) return {};
  return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

std::vector<std::string_view> Split(std::string_view text, char separator) {
  std::vector<std::string_view> items;
  while (!text.empty()) {
    const auto end = text.find(separator);
    items.push_back(Trim(text.substr(0, end)));
    if (end == std::string_view::npos) break;
    text.remove_prefix(end + 1);
  }
  return items;
}

std::optional<std::int64_t> ParseNumber(std::string_view text) {
  std::int64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, number);
  if (text.empty() || error != std::errc() || rest != end) return std::nullopt;
  if (number < 0 || number > kLargestNumber) return std::nullopt;
  return number;
}

// Returns the fields without those that concern one connection: the known ones, and those that the
// message itself names so.
HttpHeaders WithoutConnectionFields(const HttpHeaders& headers) {
  const auto named = Split(HeaderValue(headers, kConnection), ',');
  HttpHeaders result;
  for (const auto& [name, value] : headers) {
    if (IsAnyOf(name, kConnectionFields) || IsAnyOf(name, named)) continue;
    result.emplace_back(name, value);
  }
  return result;
}

// A part that can't be read ends the prompt there: what follows could not be found in a cache.
std::vector<PromptPart> ParseParts(std::string_view text) {
  std::vector<PromptPart> parts;
  for (const std::string_view item : Split(text, ',')) {
    const auto colon = item.find(':');
    const auto tokens =
        colon == std::string_view::npos ? std::nullopt : ParseNumber(item.substr(colon + 1));
    if (!tokens) break;
    parts.push_back({std::string(item.substr(0, colon)), *tokens});
  }
  return parts;
}

std::optional<Prompt> PromptOf(const HttpRequest& request) {
  const std::string_view model = request.Header(kModel);
  if (model.empty()) return std::nullopt;
  Prompt prompt;
  prompt.model = model;
  prompt.parts = ParseParts(request.Header(kPromptPrefix));
  const auto counts = Split(request.Header(kTokenCount), ',');
  for (const PromptPart& part : prompt.parts) prompt.tokens += part.tokens;
  if (!counts.empty()) prompt.tokens = ParseNumber(counts[0]).value_or(prompt.tokens);
  if (counts.size() > 1) prompt.max_answer_tokens = ParseNumber(counts[1]).value_or(0);
  return prompt;
}

std::optional<std::int64_t> TokensOf(const HttpRequest& request) {
  const auto items = Split(request.Header(kTokenCount), ',');
  if (items.size() != 2) return std::nullopt;
  const auto prompt = ParseNumber(items[0]);
  const auto answer = ParseNumber(items[1]);
  if (!prompt || !answer) return std::nullopt;
  return *prompt + *answer;
}

CallerRequest DecodeRequest(HttpRequest http) {
  CallerRequest request;
  request.id = http.Header(kRequestId);
  request.host = http.Header("Host");
  request.key = http.Header(kKey);
  if (const auto millis = ParseNumber(http.Header(kDeadline))) {
    request.time_left = milliseconds(*millis);
  }
  request.last_event = ParseNumber(http.Header(kLastEventId));
  request.names_last_event = !http.Header(kLastEventId).empty();
  request.resumed_id = http.Header(kResumes);
  request.prompt = PromptOf(http);
  request.tokens = TokensOf(http);
  request.http = std::move(http);
  return request;
}

HttpHeaders HeadersFor(const CallerRequest& request, const ForwardCall& call) {
  HttpHeaders headers;
  for (auto& [name, value] : WithoutConnectionFields(request.http.headers)) {
    if (IsAnyOf(name, kSystemFields)) continue;
    if (call.resume_after && EqualInAnyCase(name, kLastEventId)) continue;
    headers.emplace_back(std::move(name), std::move(value));
  }
  const auto add = [&](std::string_view name, std::string value) {
    headers.emplace_back(name, std::move(value));
  };
  add(kExpectInstance, call.backend.backend_id);
  if (!call.organisation.empty()) add(kTenant, call.organisation);
  if (call.resume_after) add(kLastEventId, std::to_string(*call.resume_after));
  if (!call.cache_salt.empty()) add(kCacheSalt, call.cache_salt);
  if (!request.prompt) return headers;
  add(kPriority, std::to_string(std::clamp<std::int64_t>(call.rank, 0, kLowestPriority)));
  if (call.expected_weights) add(kExpectVersion, std::to_string(*call.expected_weights));
  if (call.fetch_from) add(kKvFetch, call.fetch_from->ToString());
  if (call.save_to) add(kKvSave, call.save_to->ToString());
  if (call.copy) add(kKvFrom, call.copy->holder.ToString() + "/" + call.copy->handle);
  if (call.backup_endpoint) add(kKvBackup, call.backup_endpoint->ToString());
  return headers;
}

BackendCallRequest EncodeCall(const CallerRequest& request, const ForwardCall& call) {
  BackendCallRequest result;
  result.endpoint = call.endpoint;
  result.method = request.http.method;
  result.target = request.http.target;
  result.headers = HeadersFor(request, call);
  result.headers_when_written = [time_left = call.time_left] {
    const std::int64_t millis = std::max<std::int64_t>(1, Milliseconds(time_left()));
    return HttpHeaders{{std::string(kDeadline), std::to_string(millis)}};
  };
  result.body = request.http.body;
  result.is_own_answer = [id = request.id](int /*status*/, const HttpHeaders& headers) {
    const std::string_view echoed = HeaderValue(headers, kRequestId);
    return echoed.empty() || echoed == id;
  };
  // A server's own refusal may lack the id, but then says that nothing has run.
  result.is_own_answer_on_reuse = [id = request.id](int /*status*/, const HttpHeaders& headers) {
    const std::string_view echoed = HeaderValue(headers, kRequestId);
    return echoed == id || (echoed.empty() && !HeaderValue(headers, kNotRun).empty());
  };
  return result;
}

BackendCallRequest EncodeMove(const RunMoveCall& move) {
  BackendCallRequest request;
  request.endpoint = move.from_endpoint;
  request.method = "POST";
  request.target = "/kv-move";
  request.headers = {{"Content-Type", "application/json"},
                     {std::string(kExpectInstance), move.from.backend_id}};
  // With "last" the run stops before the rest of its memory is copied.
  request.body = ToJsonText({{"id", ToQString(move.request_id)},
                             {"to", ToQString(move.to.ToString())},
                             {"last", move.stops_run}});
  return request;
}

MoveAnswer DecodeMove(int status, std::string_view body) {
  MoveAnswer answer;
  answer.is_answered = status != 0;
  const auto json = ParseJsonObject(body);
  if (!json) return answer;
  answer.handle = json->value(QLatin1String("handle")).toVariant().toString().toStdString();
  answer.has_arrived = status == kOk && !answer.handle.empty();
  return answer;
}

BackendCallRequest EncodeFreeCopy(const FreeCopyCall& call) {
  BackendCallRequest request;
  request.endpoint = call.source_endpoint;
  request.method = "DELETE";
  request.target = "/kv-handle/" + call.handle;
  request.headers = {{std::string(kExpectInstance), call.source.backend_id}};
  return request;
}

AnswerHead DecodeHead(const CallerRequest& request, int status, const HttpHeaders& headers) {
  AnswerHead head;
  head.status = status;
  head.confirms_not_run = status == kMisdirected || !HeaderValue(headers, kNotRun).empty();
  // The same status answers a wrong version of the weights, but then tells the right one.
  head.is_misdirected = status == kMisdirected && HeaderValue(headers, kWeightVersions).empty();
  const bool is_success = status < kFirstError;
  const bool has_id = HeaderValue(headers, kRequestId) == request.id;
  const bool has_stamp = !HeaderValue(headers, kStamp).empty();
  // A server never encodes the body, as callers don't ask for it.
  const bool is_plain = HeaderValue(headers, kContentEncoding).empty();
  head.is_from_backend_server = is_plain && (!is_success || (has_id && has_stamp));
  return head;
}

void SendRefusal(HttpResponder& responder, const CallerRequest& request, const Refusal& refusal) {
  HttpHeaders headers = {{"Content-Type", "application/json"}};
  if (!request.id.empty()) headers.emplace_back(kRequestId, request.id);
  if (refusal.retry_after) {
    headers.emplace_back("Retry-After", fmt::format("{:.2f}", Seconds(*refusal.retry_after)));
  }
  const Error error{refusal.kind, "", std::nullopt};
  responder.Send(AnswerFor(refusal.kind).http_status, headers, ErrorBody(error));
}

}  // namespace

ForwardCodec MakeForwardCodec() {
  ForwardCodec codec;
  codec.decode_request = DecodeRequest;
  codec.encode_call = EncodeCall;
  codec.decode_head = DecodeHead;
  codec.encode_move = EncodeMove;
  codec.decode_move = DecodeMove;
  codec.encode_free_copy = EncodeFreeCopy;
  codec.decode_weights_version = [](const HttpHeaders& headers) {
    return ParseNumber(HeaderValue(headers, kWeightVersions));
  };
  codec.headers_for_caller = WithoutConnectionFields;
  codec.send_refusal = SendRefusal;
  return codec;
}

}  // namespace kumquat::platform
