#include "platform/model_versions.h"

namespace kumquat::platform {
namespace {

constexpr std::size_t kMaxModels = 1024;

}  // namespace

std::vector<std::pair<std::string, std::int64_t>> ReadModelVersions(JsonFields& fields) {
  std::vector<std::pair<std::string, std::int64_t>> models;
  for (const QJsonValue& item : fields.Array("models", kMaxModels)) {
    auto& [name, version] = models.emplace_back();
    JsonFields named(item.toObject());
    named.Read("name", &name).Read("version", &version);
    if (!named.ok()) fields.Fail("models", named.last_reason());
  }
  return models;
}

}  // namespace kumquat::platform
