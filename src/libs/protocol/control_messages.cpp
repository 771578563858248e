#include "protocol/control_messages.h"

#include <QByteArray>
#include <array>
#include <utility>

#include "protocol/json_fields.h"

namespace kumquat {
namespace {

constexpr std::size_t kMaxShares = 10'000;
constexpr std::size_t kMaxBodyBytes = 1024 * 1024;

constexpr std::array<std::pair<ClaimVerdict, std::string_view>, 6> kVerdictNames = {{
    {ClaimVerdict::kGranted, "granted"},
    {ClaimVerdict::kRunning, "running"},
    {ClaimVerdict::kRecorded, "recorded"},
    {ClaimVerdict::kOutcomeUnknown, "outcome_unknown"},
    {ClaimVerdict::kConflict, "conflict"},
    {ClaimVerdict::kFull, "full"},
}};

QJsonObject ToJson(const Capacity& capacity) {
  return {{"rps", static_cast<qint64>(capacity.requests_per_second)},
          {"tps", static_cast<qint64>(capacity.tokens_per_second)},
          {"concurrent", static_cast<qint64>(capacity.concurrent_requests)}};
}

Capacity ReadCapacity(JsonFields& outer, const char* key) {
  Capacity capacity;
  JsonFields fields(outer.Object(key));
  fields.Read("rps", &capacity.requests_per_second)
      .Read("tps", &capacity.tokens_per_second)
      .Read("concurrent", &capacity.concurrent_requests);
  if (!fields.ok()) outer.Fail(key, fields.last_reason());
  return capacity;
}

QJsonObject ToJson(const RecordedAnswer& answer) {
  const QByteArray body = QByteArray::fromStdString(answer.body).toBase64();
  return {{"status", static_cast<qint64>(answer.status)},
          {"content_type", ToQString(answer.content_type)},
          {"body", QString::fromLatin1(body)}};
}

std::optional<RecordedAnswer> ReadRecorded(JsonFields& outer) {
  if (!outer.Has("recorded")) return std::nullopt;
  RecordedAnswer answer;
  std::string body;
  JsonFields fields(outer.Object("recorded"));
  fields.Read("status", &answer.status)
      .Read("content_type", &answer.content_type)
      .Read("body", &body, kMaxBodyBytes * 4 / 3 + 4);
  if (!fields.ok()) outer.Fail("recorded", fields.last_reason());
  answer.body = QByteArray::fromBase64(QByteArray::fromStdString(body)).toStdString();
  return answer;
}

// Returns the value when the fields were all right, else nothing with the reason.
template <typename Value>
std::optional<Value> Finish(const JsonFields& fields, Value value, std::string* reason) {
  *reason = fields.last_reason();
  if (!fields.ok()) return std::nullopt;
  return value;
}

// Reads a nested object by its own Parse function.
template <typename Parse>
auto ReadNested(JsonFields& outer, const char* key, Parse parse) {
  std::string reason;
  auto value = parse(outer.Object(key), &reason);
  if (!value) outer.Fail(key, reason);
  return value;
}

}  // namespace

std::string_view ClaimVerdictName(ClaimVerdict verdict) {
  return kVerdictNames[static_cast<std::size_t>(verdict)].second;
}

QJsonObject ToJson(const LeaseRequest& request) {
  QJsonArray shares;
  for (const ShareRequest& share : request.shares) {
    shares.append(QJsonObject{{"organisation", ToQString(share.organisation)},
                              {"held", ToJson(share.held)},
                              {"wanted", ToJson(share.wanted)}});
  }
  return {{"router_id", ToQString(request.router_id)},
          {"router_incarnation", static_cast<qint64>(request.router_incarnation)},
          {"sequence", static_cast<qint64>(request.sequence)},
          {"term", static_cast<qint64>(request.term)},
          {"plans_revision", static_cast<qint64>(request.plans_revision)},
          {"allowances_revision", static_cast<qint64>(request.allowances_revision)},
          {"shares", shares}};
}

std::optional<LeaseRequest> ParseLeaseRequest(const QJsonObject& json, std::string* reason) {
  LeaseRequest request;
  JsonFields fields(json);
  fields.Read("router_id", &request.router_id)
      .Read("router_incarnation", &request.router_incarnation)
      .Read("sequence", &request.sequence)
      .Read("term", &request.term)
      .Read("plans_revision", &request.plans_revision)
      .Read("allowances_revision", &request.allowances_revision);
  for (const QJsonValue& item : fields.Array("shares", kMaxShares)) {
    ShareRequest share;
    JsonFields share_fields(item.toObject());
    share_fields.Read("organisation", &share.organisation);
    share.held = ReadCapacity(share_fields, "held");
    share.wanted = ReadCapacity(share_fields, "wanted");
    if (!share_fields.ok()) fields.Fail("shares", share_fields.last_reason());
    request.shares.push_back(std::move(share));
  }
  return Finish(fields, std::move(request), reason);
}

QJsonObject ToJson(const LeaseAnswer& answer) {
  QJsonArray shares;
  for (const ShareGrant& share : answer.shares) {
    shares.append(QJsonObject{{"organisation", ToQString(share.organisation)},
                              {"granted", ToJson(share.granted)}});
  }
  QJsonObject json{{"term", static_cast<qint64>(answer.term)},
                   {"lease_ms", static_cast<qint64>(answer.lease_ms)},
                   {"plans_revision", static_cast<qint64>(answer.plans_revision)},
                   {"allowances_revision", static_cast<qint64>(answer.allowances_revision)},
                   {"shares", shares},
                   {"voters", ToJsonArray(answer.voters)}};
  if (answer.plans) json["plans"] = ToJson(*answer.plans);
  if (answer.allowances) json["allowances"] = ToJson(*answer.allowances);
  return json;
}

std::optional<LeaseAnswer> ParseLeaseAnswer(const QJsonObject& json, std::string* reason) {
  LeaseAnswer answer;
  JsonFields fields(json);
  fields.Read("term", &answer.term)
      .Read("lease_ms", &answer.lease_ms)
      .Read("plans_revision", &answer.plans_revision)
      .Read("allowances_revision", &answer.allowances_revision)
      .Read("voters", &answer.voters);
  if (fields.Has("plans")) answer.plans = ReadNested(fields, "plans", ParsePlanList);
  if (fields.Has("allowances")) {
    answer.allowances = ReadNested(fields, "allowances", ParseAllowanceList);
  }
  for (const QJsonValue& item : fields.Array("shares", kMaxShares)) {
    ShareGrant share;
    JsonFields share_fields(item.toObject());
    share_fields.Read("organisation", &share.organisation);
    share.granted = ReadCapacity(share_fields, "granted");
    if (!share_fields.ok()) fields.Fail("shares", share_fields.last_reason());
    answer.shares.push_back(std::move(share));
  }
  return Finish(fields, std::move(answer), reason);
}

QJsonObject ToJson(const ClaimId& id) {
  return {{"organisation", ToQString(id.organisation)},
          {"idempotency_key", ToQString(id.idempotency_key)},
          {"claimant", ToQString(id.claimant)}};
}

std::optional<ClaimId> ParseClaimId(const QJsonObject& json, std::string* reason) {
  ClaimId id;
  JsonFields fields(json);
  fields.Read("organisation", &id.organisation)
      .Read("idempotency_key", &id.idempotency_key)
      .Read("claimant", &id.claimant);
  return Finish(fields, std::move(id), reason);
}

QJsonObject ToJson(const ClaimRequest& request) {
  return {{"id", ToJson(request.id)},
          {"digest", ToQString(request.digest)},
          {"router_id", ToQString(request.router_id)},
          {"router_incarnation", static_cast<qint64>(request.router_incarnation)}};
}

std::optional<ClaimRequest> ParseClaimRequest(const QJsonObject& json, std::string* reason) {
  ClaimRequest request;
  JsonFields fields(json);
  fields.Read("digest", &request.digest)
      .Read("router_id", &request.router_id)
      .Read("router_incarnation", &request.router_incarnation);
  if (const auto id = ReadNested(fields, "id", ParseClaimId)) request.id = *id;
  return Finish(fields, std::move(request), reason);
}

QJsonObject ToJson(const ClaimAnswer& answer) {
  QJsonObject json{{"verdict", ToQString(ClaimVerdictName(answer.verdict))}};
  if (answer.recorded) json["recorded"] = ToJson(*answer.recorded);
  return json;
}

std::optional<ClaimAnswer> ParseClaimAnswer(const QJsonObject& json, std::string* reason) {
  std::string name;
  JsonFields fields(json);
  fields.Read("verdict", &name);
  for (const auto& [verdict, verdict_name] : kVerdictNames) {
    if (name != verdict_name) continue;
    ClaimAnswer answer{verdict, ReadRecorded(fields)};
    return Finish(fields, std::move(answer), reason);
  }
  *reason = "verdict: the name is not known.";
  return std::nullopt;
}

QJsonObject ToJson(const ClaimFinish& finish) {
  QJsonObject json{{"id", ToJson(finish.id)}};
  if (finish.recorded) json["recorded"] = ToJson(*finish.recorded);
  return json;
}

std::optional<ClaimFinish> ParseClaimFinish(const QJsonObject& json, std::string* reason) {
  ClaimFinish finish;
  JsonFields fields(json);
  if (const auto id = ReadNested(fields, "id", ParseClaimId)) finish.id = *id;
  finish.recorded = ReadRecorded(fields);
  return Finish(fields, std::move(finish), reason);
}

QJsonObject ToJson(const ListEdit& edit) {
  return {{"list", ToQString(ListNameText(edit.list))},
          {"replaces_revision", static_cast<qint64>(edit.replaces_revision)},
          {"content", edit.content}};
}

std::optional<ListEdit> ParseListEdit(const QJsonObject& json, std::string* reason) {
  ListEdit edit;
  std::string list;
  JsonFields fields(json);
  fields.Read("list", &list).Read("replaces_revision", &edit.replaces_revision);
  const auto list_name = ParseListName(list);
  if (!list_name) fields.Fail("list", "the name is not known.");
  edit.list = list_name.value_or(ListName::kPlans);
  edit.content = fields.Object("content");
  return Finish(fields, std::move(edit), reason);
}

QJsonObject ToJson(const Error& error) {
  QJsonObject json{{"kind", ToQString(AnswerFor(error.kind).name)},
                   {"detail", ToQString(error.detail)}};
  if (error.retry_after) json["retry_after"] = static_cast<qint64>(error.retry_after->count());
  return json;
}

std::optional<Error> ParseError(const QJsonObject& json, std::string* reason) {
  constexpr std::size_t kMaxDetailBytes = 4096;
  constexpr std::int64_t kNoRetryAfter = -1;
  Error error;
  std::string kind;
  std::int64_t retry_after = kNoRetryAfter;
  JsonFields fields(json);
  fields.Read("kind", &kind)
      .Read("detail", &error.detail, kMaxDetailBytes)
      .ReadOptional("retry_after", &retry_after);
  const auto known = ErrorKindFromName(kind);
  if (!known) fields.Fail("kind", "the name is not known.");
  error.kind = known.value_or(ErrorKind::kInternal);
  if (retry_after != kNoRetryAfter) error.retry_after = std::chrono::seconds(retry_after);
  return Finish(fields, std::move(error), reason);
}

QJsonObject ToJson(const ListAnswer& answer) {
  QJsonObject json{{"revision", static_cast<qint64>(answer.revision)},
                   {"content", answer.content},
                   {"in_force", answer.in_force}};
  if (answer.error) json["error"] = ToJson(*answer.error);
  return json;
}

std::optional<ListAnswer> ParseListAnswer(const QJsonObject& json, std::string* reason) {
  ListAnswer answer;
  JsonFields fields(json);
  fields.Read("revision", &answer.revision).Read("in_force", &answer.in_force);
  answer.content = fields.Object("content");
  if (fields.Has("error")) answer.error = ReadNested(fields, "error", ParseError);
  return Finish(fields, std::move(answer), reason);
}

}  // namespace kumquat
