#include "caller_identity.h"

#include <algorithm>

#include "protocol/key_digest.h"

namespace kumquat {
namespace {

constexpr std::string_view kBearer = "Bearer ";

const ModelVersion* FindIn(const Allowance& allowance, std::string_view name) {
  const auto model =
      std::find_if(allowance.models.begin(), allowance.models.end(),
                   [name](const ModelVersion& entry) { return entry.CallerName() == name; });
  return model == allowance.models.end() ? nullptr : &*model;
}

}  // namespace

std::optional<Caller> IdentifyCaller(std::string_view authorization_field, const Lists& lists) {
  if (authorization_field.substr(0, kBearer.size()) != kBearer) return std::nullopt;
  const std::string digest = KeyDigest(authorization_field.substr(kBearer.size()));
  for (const Organisation& organisation : lists.plans) {
    const auto& digests = organisation.key_digests;
    if (std::find(digests.begin(), digests.end(), digest) == digests.end()) continue;
    const Allowance* allowance = lists.AllowanceOf(organisation);
    if (!allowance) return std::nullopt;
    return Caller{&organisation, allowance};
  }
  return std::nullopt;
}

std::optional<ModelVersion> FindModel(const Caller& caller, std::string_view name,
                                      const Lists& lists, Error* error) {
  if (const ModelVersion* model = FindIn(*caller.allowance, name)) return *model;
  const bool exists = std::any_of(
      lists.allowances.begin(), lists.allowances.end(),
      [name](const Allowance& allowance) { return FindIn(allowance, name) != nullptr; });
  error->kind = exists ? ErrorKind::kModelNotAllowed : ErrorKind::kModelUnknown;
  return std::nullopt;
}

}  // namespace kumquat
