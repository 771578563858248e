#include "protocol/lists.h"

#include <algorithm>
#include <cstdlib>
#include <set>

#include "protocol/json_fields.h"

namespace kumquat {
namespace {

constexpr std::size_t kMaxListEntries = 10'000;
constexpr std::size_t kMaxKeysOfOrganisation = 64;
constexpr std::size_t kMaxModelsOfPlan = 256;
constexpr std::int64_t kMaxCapacity = 1'000'000'000;
constexpr std::int64_t kMaxShare = 1'000;
constexpr std::size_t kDigestHexDigits = 64;

bool IsKeyDigest(std::string_view text) {
  return text.size() == kDigestHexDigits &&
         text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

bool ReadOrganisation(const QJsonObject& json, Organisation* organisation, std::string* reason) {
  JsonFields fields(json);
  fields.Read("organisation", &organisation->name)
      .Read("plan", &organisation->plan)
      .Read("key_digests", &organisation->key_digests, kMaxKeysOfOrganisation);
  if (fields.ok() && organisation->name.empty()) fields.Fail("organisation", "a name is needed.");
  for (const std::string& digest : organisation->key_digests) {
    if (!IsKeyDigest(digest)) fields.Fail("key_digests", "64 lower hexadecimal digits are needed.");
  }
  *reason = fields.last_reason();
  return fields.ok();
}

bool ReadAllowance(const QJsonObject& json, Allowance* allowance, std::string* reason) {
  JsonFields fields(json);
  Capacity& capacity = allowance->capacity;
  fields.Read("plan", &allowance->plan)
      .Read("requests_per_second", &capacity.requests_per_second, 0, kMaxCapacity)
      .Read("tokens_per_second", &capacity.tokens_per_second, 0, kMaxCapacity)
      .Read("concurrent_requests", &capacity.concurrent_requests, 0, kMaxCapacity)
      .ReadOptional("services", &allowance->services)
      .ReadOptional("share", &allowance->share, std::int64_t{1}, kMaxShare)
      .ReadOptional("replies", &allowance->replies);
  for (const QJsonValue& item : fields.Array("models", kMaxModelsOfPlan)) {
    auto model = ParseModelVersion(item.toObject(), reason);
    if (!model) return false;
    allowance->models.push_back(std::move(*model));
  }
  if (fields.ok() && allowance->plan.empty()) fields.Fail("plan", "a name is needed.");
  *reason = fields.last_reason();
  return fields.ok();
}

template <typename Entry, typename ReadEntry>
std::optional<std::vector<Entry>> ParseList(const QJsonObject& json, const char* key,
                                            std::string* reason, ReadEntry read_entry) {
  JsonFields fields(json);
  std::vector<Entry> entries;
  for (const QJsonValue& item : fields.Array(key, kMaxListEntries)) {
    Entry entry;
    if (!read_entry(item.toObject(), &entry, reason)) return std::nullopt;
    entries.push_back(std::move(entry));
  }
  if (fields.ok() && !fields.Has(key)) fields.Fail(key, "the list is missing.");
  *reason = fields.last_reason();
  if (!fields.ok()) return std::nullopt;
  return entries;
}

}  // namespace

std::string ModelVersion::CallerName() const {
  return adapter.empty() ? model : model + ":" + adapter;
}

std::int64_t ModelVersion::VersionNumber() const {
  constexpr int kDecimal = 10;
  return std::strtoll(version.c_str(), nullptr, kDecimal);
}

std::string_view RequestClassName(RequestClass request_class) {
  return request_class == RequestClass::kReply ? "reply" : "draft";
}

std::string_view ListNameText(ListName list) {
  return list == ListName::kPlans ? "plans" : "allowances";
}

std::optional<ListName> ParseListName(std::string_view text) {
  if (text == "plans") return ListName::kPlans;
  if (text == "allowances") return ListName::kAllowances;
  return std::nullopt;
}

const Allowance* Lists::AllowanceOf(const Organisation& organisation) const {
  const auto allowance =
      std::find_if(allowances.begin(), allowances.end(),
                   [&](const Allowance& a) { return a.plan == organisation.plan; });
  return allowance == allowances.end() ? nullptr : &*allowance;
}

QJsonObject ToJson(const ModelVersion& model) {
  return {{"model", ToQString(model.model)},
          {"adapter", ToQString(model.adapter)},
          {"version", ToQString(model.version)}};
}

QJsonObject ToJson(const PlanList& plans) {
  QJsonArray entries;
  for (const Organisation& organisation : plans) {
    entries.append(QJsonObject{{"organisation", ToQString(organisation.name)},
                               {"plan", ToQString(organisation.plan)},
                               {"key_digests", ToJsonArray(organisation.key_digests)}});
  }
  return {{"plans", entries}};
}

QJsonObject ToJson(const AllowanceList& allowances) {
  QJsonArray entries;
  for (const Allowance& allowance : allowances) {
    QJsonArray models;
    for (const ModelVersion& model : allowance.models) models.append(ToJson(model));
    const Capacity& capacity = allowance.capacity;
    entries.append(
        QJsonObject{{"plan", ToQString(allowance.plan)},
                    {"models", models},
                    {"services", ToJsonArray(allowance.services)},
                    {"requests_per_second", static_cast<qint64>(capacity.requests_per_second)},
                    {"tokens_per_second", static_cast<qint64>(capacity.tokens_per_second)},
                    {"concurrent_requests", static_cast<qint64>(capacity.concurrent_requests)},
                    {"share", static_cast<qint64>(allowance.share)},
                    {"replies", allowance.replies}});
  }
  return {{"allowances", entries}};
}

std::optional<ModelVersion> ParseModelVersion(const QJsonObject& json, std::string* reason) {
  ModelVersion model;
  JsonFields fields(json);
  fields.Read("model", &model.model)
      .ReadOptional("adapter", &model.adapter)
      .Read("version", &model.version);
  if (fields.ok() && model.model.empty()) fields.Fail("model", "a name is needed.");
  *reason = fields.last_reason();
  if (!fields.ok()) return std::nullopt;
  return model;
}

std::optional<PlanList> ParsePlanList(const QJsonObject& json, std::string* reason) {
  auto plans = ParseList<Organisation>(json, "plans", reason, ReadOrganisation);
  if (!plans) return std::nullopt;
  std::set<std::string> names;
  std::set<std::string> digests;
  for (const Organisation& organisation : *plans) {
    if (!names.insert(organisation.name).second) {
      *reason = "organisation: " + organisation.name + " stands twice.";
      return std::nullopt;
    }
    for (const std::string& digest : organisation.key_digests) {
      if (digests.insert(digest).second) continue;
      *reason = "key_digests: a digest of " + organisation.name + " stands twice.";
      return std::nullopt;
    }
  }
  return plans;
}

std::optional<AllowanceList> ParseAllowanceList(const QJsonObject& json, std::string* reason) {
  auto allowances = ParseList<Allowance>(json, "allowances", reason, ReadAllowance);
  if (!allowances) return std::nullopt;
  std::set<std::string> names;
  for (const Allowance& allowance : *allowances) {
    if (names.insert(allowance.plan).second) continue;
    *reason = "plan: " + allowance.plan + " stands twice.";
    return std::nullopt;
  }
  return allowances;
}

std::optional<std::string> ListsProblem(const PlanList& plans, const AllowanceList& allowances) {
  std::set<std::string> names;
  for (const Allowance& allowance : allowances) names.insert(allowance.plan);
  for (const Organisation& organisation : plans) {
    if (names.count(organisation.plan) > 0) continue;
    return "The organisation " + organisation.name + " is on the plan " + organisation.plan +
           ", which has no allowance.";
  }
  return std::nullopt;
}

}  // namespace kumquat
