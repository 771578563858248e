// The operators' two lists: plans (which organisation is on which plan) and allowances (what each
// plan may use).
#pragma once

#include <QJsonObject>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kumquat {

// A model with its adapter (empty for none) and its weights version.
struct ModelVersion {
  std::string model;
  std::string adapter;
  std::string version;

  auto operator<=>(const ModelVersion&) const = default;

  // Returns the name that callers use: "model", or "model:adapter".
  std::string CallerName() const;

  // Returns the version where versions are whole numbers that grow; 0 where it is none.
  std::int64_t VersionNumber() const;
};

// The class of a request: replies go before drafts.
enum class RequestClass { kReply, kDraft };

// Returns "reply" or "draft".
std::string_view RequestClassName(RequestClass request_class);

// An entry of the plans list.
struct Organisation {
  std::string name;
  std::string plan;
  // SHA-256 digests of the organisation's bearer keys, as 64 hexadecimal digits.
  std::vector<std::string> key_digests;

  bool operator==(const Organisation&) const = default;
};

// The capacity that each organisation on a plan may take, over all routers together.
struct Capacity {
  std::int64_t requests_per_second = 0;
  std::int64_t tokens_per_second = 0;
  std::int64_t concurrent_requests = 0;

  bool operator==(const Capacity&) const = default;
};

// An entry of the allowances list: what one plan may use.
struct Allowance {
  std::string plan;
  std::vector<ModelVersion> models;
  std::vector<std::string> services;
  Capacity capacity;
  // The organisation's weight when backend servers are busy.
  std::int64_t share = 1;
  // Whether requests of the class `reply` are allowed; drafts always are.
  bool replies = true;

  bool operator==(const Allowance&) const = default;
};

// Names one of the two lists.
enum class ListName { kPlans, kAllowances };

// Returns "plans" or "allowances".
std::string_view ListNameText(ListName list);
std::optional<ListName> ParseListName(std::string_view text);

using PlanList = std::vector<Organisation>;
using AllowanceList = std::vector<Allowance>;

// Both lists with the revision that each reached. A list starts at revision 0, empty.
struct Lists {
  std::int64_t plans_revision = 0;
  std::int64_t allowances_revision = 0;
  PlanList plans;
  AllowanceList allowances;

  bool operator==(const Lists&) const = default;

  // Returns the allowance of the organisation's plan; null when it has none.
  const Allowance* AllowanceOf(const Organisation& organisation) const;
};

// Each codec's Parse returns nothing for invalid content and puts the reason in `reason`: a field
// that is missing, wrong or too long, or a name that stands twice.
QJsonObject ToJson(const PlanList& plans);
QJsonObject ToJson(const AllowanceList& allowances);
QJsonObject ToJson(const ModelVersion& model);
std::optional<PlanList> ParsePlanList(const QJsonObject& json, std::string* reason);
std::optional<AllowanceList> ParseAllowanceList(const QJsonObject& json, std::string* reason);
std::optional<ModelVersion> ParseModelVersion(const QJsonObject& json, std::string* reason);

// Returns why the two lists do not fit together (an organisation on a plan without an allowance);
// nothing when they do. Plans without organisations are fine.
std::optional<std::string> ListsProblem(const PlanList& plans, const AllowanceList& allowances);

}  // namespace kumquat
