#include "platform/configuration.h"

#include <QString>
#include <limits>
#include <utility>

#include "protocol/json_fields.h"
#include "protocol/key_digest.h"

namespace kumquat::platform {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxItems = 100'000;
constexpr std::int64_t kMaxMillis = 86'400'000;
constexpr std::int64_t kMaxCount = std::numeric_limits<std::int32_t>::max();
constexpr std::size_t kMaxName = 4096;
constexpr std::int64_t kMaxUnits = 1'000'000'000'000;

void ReadMillis(JsonFields& fields, const char* key, Duration* duration) {
  std::int64_t millis = 0;
  fields.Read(key, &millis, 0, kMaxMillis);
  *duration = milliseconds(millis);
}

// "kind" says two things: what may be repeated, and whether the answer is a stream.
void ReadKind(JsonFields& fields, Route* route) {
  std::string kind;
  fields.Read("kind", &kind);
  route->is_stream = kind == "streaming";
  route->repeat_rule = kind == "idempotent" ? RepeatRule::kRepeatable : RepeatRule::kOnce;
  const bool is_known = route->is_stream || kind == "idempotent" || kind == "non_idempotent";
  if (fields.ok() && !is_known) fields.Fail("kind", "the kind is not known.");
}

// A route names one service, or several with weights.
void ReadServices(JsonFields& fields, Route* route) {
  if (!fields.Has("split")) {
    ServiceShare share;
    fields.Read("service", &share.service, kMaxName);
    route->services.push_back(std::move(share));
    return;
  }
  for (const QJsonValue& item : fields.Array("split", kMaxItems)) {
    ServiceShare share;
    JsonFields part(item.toObject());
    part.Read("service", &share.service, kMaxName).Read("weight", &share.weight, 0, kMaxCount);
    if (!part.ok()) fields.Fail("split", part.last_reason());
    route->services.push_back(std::move(share));
  }
}

Route DecodeRoute(JsonFields& fields) {
  Route route;
  fields.ReadOptional("name", &route.name, kMaxName)
      .Read("hostname", &route.host, kMaxName)
      .Read("pathPrefix", &route.path_prefix, kMaxName)
      .ReadOptional("attempts", &route.attempts, std::int64_t{1}, kMaxCount)
      .ReadOptional("priority", &route.rank, std::int64_t{0}, kMaxCount)
      .ReadOptional("public", &route.is_public)
      .ReadOptional("sticky", &route.has_prompt)
      .ReadOptional("resumable", &route.is_resumable);
  ReadKind(fields, &route);
  ReadMillis(fields, "timeoutMs", &route.timeout);
  route.objective = route.timeout;
  if (fields.Has("sloMs")) ReadMillis(fields, "sloMs", &route.objective);
  if (fields.Has("gapTargetMs")) ReadMillis(fields, "gapTargetMs", &route.longest_pause);
  ReadServices(fields, &route);
  route.host = QString::fromStdString(route.host).toLower().toStdString();
  // The page lets only streams be resumed.
  route.is_resumable = route.is_resumable && route.is_stream;
  return route;
}

EngineProfile DecodeEngine(JsonFields& fields) {
  EngineProfile engine;
  double link = 0;
  fields.Read("slots", &engine.slots, 1, kMaxCount)
      .ReadOptional("kvCapacity", &engine.memory_tokens)
      .ReadOptional("tokenBytes", &engine.bytes_per_token)
      .ReadOptional("linkMbps", &link)
      .ReadOptional("maxInflight", &engine.event_reads)
      .ReadOptional("moves", &engine.moves_runs)
      .ReadOptional("backups", &engine.backs_up_runs);
  engine.link_mbps = static_cast<std::int64_t>(link);
  for (const QJsonValue& item : fields.Array("models", kMaxItems)) {
    std::string model;
    JsonFields named(item.toObject());
    named.Read("name", &model, kMaxName);
    if (!named.ok()) fields.Fail("models", named.last_reason());
    engine.models.push_back(std::move(model));
  }
  return engine;
}

// A service with a store's address is a store of kept cache, which no route names.
std::optional<CacheStore> DecodeStore(JsonFields& fields) {
  if (!fields.Has("kvStoreAddr")) return std::nullopt;
  CacheStore store;
  std::string address;
  double link = 0;
  fields.Read("kvStoreAddr", &address)
      .ReadOptional("zone", &store.failure_domain, kMaxName)
      .ReadOptional("kvCapacity", &store.memory_tokens)
      .ReadOptional("linkMbps", &link)
      .ReadOptional("maxInflight", &store.event_reads);
  store.link_mbps = static_cast<std::int64_t>(link);
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) fields.Fail("kvStoreAddr", "an IP number with a port is needed.");
  store.endpoint = endpoint.value_or(Endpoint{});
  return store;
}

Service DecodeService(JsonFields& fields) {
  Service service;
  fields.Read("name", &service.name, kMaxName)
      .ReadOptional("healthPath", &service.health_path, kMaxName)
      .ReadOptional("maxConns", &service.max_connections, std::int64_t{0}, kMaxCount);
  service.store = DecodeStore(fields);
  if (!fields.Has("engine")) return service;
  JsonFields engine(fields.Object("engine"));
  service.engine = DecodeEngine(engine);
  if (!engine.ok()) fields.Fail("engine", engine.last_reason());
  return service;
}

// A rate of 0 means no limit.
std::optional<OrganisationQuota> DecodeQuota(JsonFields& fields) {
  OrganisationQuota quota;
  std::string unit;
  fields.ReadOptional("ratePerS", &quota.rate_per_second, std::int64_t{0}, kMaxUnits)
      .ReadOptional("burst", &quota.burst, std::int64_t{0}, kMaxUnits)
      .ReadOptional("unit", &unit, kMaxName)
      .ReadOptional("plainTokens", &quota.units_without_count, std::int64_t{0}, kMaxUnits);
  quota.counts_tokens = unit == "tokens";
  if (quota.rate_per_second == 0) return std::nullopt;
  return quota;
}

RoutedOrganisation DecodeOrganisation(JsonFields& fields) {
  RoutedOrganisation organisation;
  std::vector<std::string> keys;
  fields.Read("name", &organisation.name, kMaxName)
      .Read("apiKeys", &keys, kMaxItems)
      .ReadOptional("isolated", &organisation.is_isolated);
  if (fields.Has("priority")) fields.Read("priority", &organisation.rank.emplace(), 0, kMaxCount);
  organisation.quota = DecodeQuota(fields);
  for (const std::string& key : keys) organisation.key_digests.push_back(KeyDigest(key));
  return organisation;
}

CallerLimits DecodeLimits(JsonFields& fields) {
  CallerLimits limits;
  if (fields.Has("maxHeaderBytes")) {
    fields.Read("maxHeaderBytes", &limits.max_header_bytes.emplace(), 1, kMaxCount);
  }
  if (fields.Has("maxBodyBytes")) {
    fields.Read("maxBodyBytes", &limits.max_body_bytes.emplace(), 0, kMaxCount);
  }
  if (fields.Has("headerTimeoutMs")) {
    ReadMillis(fields, "headerTimeoutMs", &limits.header_timeout.emplace());
  }
  if (fields.Has("idleTimeoutMs")) {
    ReadMillis(fields, "idleTimeoutMs", &limits.idle_timeout.emplace());
  }
  return limits;
}

// Decodes each object of a list that has to be there.
template <typename Item>
void DecodeList(JsonFields& fields, const char* key, Item (*decode)(JsonFields&),
                std::vector<Item>* items) {
  for (const QJsonValue& value : fields.Array(key, kMaxItems)) {
    if (!value.isObject()) fields.Fail(key, "an object is needed.");
    JsonFields item(value.toObject());
    items->push_back(decode(item));
    if (!item.ok()) fields.Fail(key, item.last_reason());
  }
}

}  // namespace

std::optional<RoutingTable> DecodeConfiguration(std::string_view body, std::string* reason) {
  const auto json = ParseJsonObject(body);
  if (!json) {
    *reason = "The body is not a whole JSON object.";
    return std::nullopt;
  }
  RoutingTable table;
  JsonFields fields(*json);
  fields.Read("version", &table.version, 0);
  if (!fields.Has("routes")) fields.Fail("routes", "the list is missing.");
  if (!fields.Has("services")) fields.Fail("services", "the list is missing.");
  DecodeList(fields, "routes", DecodeRoute, &table.routes);
  DecodeList(fields, "services", DecodeService, &table.services);
  DecodeList(fields, "tenants", DecodeOrganisation, &table.organisations);
  JsonFields limits(fields.Object("limits"));
  table.limits = DecodeLimits(limits);
  if (!limits.ok()) fields.Fail("limits", limits.last_reason());
  *reason = fields.last_reason();
  if (!fields.ok()) return std::nullopt;
  return table;
}

std::optional<Document> CompileDocument(const Document& document) {
  if (document.name != kRoutingDocument) return document;
  std::string reason;
  const auto table = DecodeConfiguration(document.content, &reason);
  if (!table) return std::nullopt;
  return Document{document.name, document.version, Encode(*table)};
}

}  // namespace kumquat::platform
