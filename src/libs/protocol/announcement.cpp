#include "protocol/announcement.h"

#include <array>
#include <utility>

#include "protocol/json_fields.h"

namespace kumquat {
namespace {

constexpr std::size_t kMaxModels = 256;
constexpr std::size_t kMaxOperations = 256;
constexpr std::int64_t kMaxConcurrentRequests = 100'000;
constexpr std::int64_t kMaxLoad = 1'000'000'000;
constexpr double kMaxPrefillMsPer1kTokens = 1e6;

template <typename Enum, std::size_t N>
using NameTable = std::array<std::pair<Enum, const char*>, N>;

constexpr NameTable<BackendKind, 3> kKindNames = {{{BackendKind::kEngine, "engine"},
                                                   {BackendKind::kService, "service"},
                                                   {BackendKind::kCacheStore, "cache_store"}}};
constexpr NameTable<BackendState, 2> kStateNames = {
    {{BackendState::kServing, "serving"}, {BackendState::kLeaving, "leaving"}}};

template <typename Enum, std::size_t N>
const char* NameOf(const NameTable<Enum, N>& table, Enum value) {
  for (const auto& [entry, name] : table) {
    if (entry == value) return name;
  }
  return "";
}

template <typename Enum, std::size_t N>
void ReadEnum(JsonFields& fields, const char* key, const NameTable<Enum, N>& table, Enum* value) {
  std::string text;
  fields.Read(key, &text);
  for (const auto& [entry, name] : table) {
    if (text != name) continue;
    *value = entry;
    return;
  }
  fields.Fail(key, "the name is not known.");
}

void ReadOperations(JsonFields& fields, std::vector<ServiceOperation>* operations) {
  for (const QJsonValue& item : fields.Array("operations", kMaxOperations)) {
    ServiceOperation operation;
    JsonFields operation_fields(item.toObject());
    operation_fields.Read("method", &operation.method)
        .Read("path", &operation.path)
        .Read("repeatable", &operation.repeatable);
    if (!operation_fields.ok()) fields.Fail("operations", operation_fields.last_reason());
    operations->push_back(std::move(operation));
  }
}

void ReadModels(JsonFields& fields, std::vector<ModelVersion>* models) {
  for (const QJsonValue& item : fields.Array("models", kMaxModels)) {
    std::string reason;
    auto model = ParseModelVersion(item.toObject(), &reason);
    if (!model) {
      fields.Fail("models", reason);
      return;
    }
    models->push_back(std::move(*model));
  }
}

void ReadEndpoint(JsonFields& fields, Endpoint* endpoint) {
  std::string text;
  fields.Read("address", &text);
  const auto parsed = ParseEndpoint(text);
  if (!parsed || parsed->port == 0) {
    fields.Fail("address", "an IP number with a port is needed.");
    return;
  }
  *endpoint = *parsed;
}

}  // namespace

QJsonObject ToJson(const Announcement& announcement) {
  QJsonArray models;
  for (const ModelVersion& model : announcement.models) models.append(ToJson(model));
  QJsonArray operations;
  for (const ServiceOperation& operation : announcement.operations) {
    operations.append(QJsonObject{{"method", ToQString(operation.method)},
                                  {"path", ToQString(operation.path)},
                                  {"repeatable", operation.repeatable}});
  }
  const BackendLoad& load = announcement.load;
  return {{"backend_id", ToQString(announcement.backend_id)},
          {"address", ToQString(announcement.endpoint.ToString())},
          {"failure_domain", ToQString(announcement.failure_domain)},
          {"kind", NameOf(kKindNames, announcement.kind)},
          {"incarnation", static_cast<qint64>(announcement.incarnation)},
          {"sequence", static_cast<qint64>(announcement.sequence)},
          {"state", NameOf(kStateNames, announcement.state)},
          {"software_version", ToQString(announcement.software_version)},
          {"models", models},
          {"model_slots", static_cast<qint64>(announcement.model_slots)},
          {"service", ToQString(announcement.service)},
          {"operations", operations},
          {"checks_fencing", announcement.checks_fencing},
          {"concurrent_requests", static_cast<qint64>(announcement.concurrent_requests)},
          {"prefill_ms_per_1k_tokens", announcement.prefill_ms_per_1k_tokens},
          {"load", QJsonObject{{"running_requests", static_cast<qint64>(load.running_requests)},
                               {"queued_requests", static_cast<qint64>(load.queued_requests)},
                               {"queued_tokens", static_cast<qint64>(load.queued_tokens)}}}};
}

std::optional<Announcement> ParseAnnouncement(const QJsonObject& json, std::string* reason) {
  Announcement announcement;
  JsonFields fields(json);
  fields.Read("backend_id", &announcement.backend_id)
      .Read("failure_domain", &announcement.failure_domain)
      .Read("incarnation", &announcement.incarnation)
      .Read("sequence", &announcement.sequence)
      .ReadOptional("service", &announcement.service)
      .ReadOptional("software_version", &announcement.software_version)
      .ReadOptional("model_slots", &announcement.model_slots, std::int64_t{0},
                    static_cast<std::int64_t>(kMaxModels))
      .ReadOptional("checks_fencing", &announcement.checks_fencing)
      .ReadOptional("concurrent_requests", &announcement.concurrent_requests, std::int64_t{1},
                    kMaxConcurrentRequests)
      .ReadOptional("prefill_ms_per_1k_tokens", &announcement.prefill_ms_per_1k_tokens);
  ReadEndpoint(fields, &announcement.endpoint);
  ReadEnum(fields, "kind", kKindNames, &announcement.kind);
  ReadEnum(fields, "state", kStateNames, &announcement.state);
  ReadModels(fields, &announcement.models);
  ReadOperations(fields, &announcement.operations);
  JsonFields load(fields.Object("load"));
  load.ReadOptional("running_requests", &announcement.load.running_requests, std::int64_t{0},
                    kMaxLoad)
      .ReadOptional("queued_requests", &announcement.load.queued_requests, std::int64_t{0},
                    kMaxLoad)
      .ReadOptional("queued_tokens", &announcement.load.queued_tokens, std::int64_t{0}, kMaxLoad);
  if (!load.ok()) fields.Fail("load", load.last_reason());
  if (announcement.backend_id.empty()) fields.Fail("backend_id", "a name is needed.");
  if (announcement.kind == BackendKind::kService && announcement.service.empty()) {
    fields.Fail("service", "a service needs a name.");
  }
  const double prefill = announcement.prefill_ms_per_1k_tokens;
  if (prefill < 0 || prefill > kMaxPrefillMsPer1kTokens) {
    fields.Fail("prefill_ms_per_1k_tokens", "the number is out of range.");
  }
  *reason = fields.last_reason();
  if (!fields.ok()) return std::nullopt;
  return announcement;
}

}  // namespace kumquat
