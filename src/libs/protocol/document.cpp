#include "protocol/document.h"

#include "protocol/json_fields.h"

namespace kumquat {
namespace {

constexpr std::size_t kMaxContentBytes = 16 * 1024 * 1024;

}  // namespace

QJsonObject ToJson(const Document& document) {
  return {{"name", ToQString(document.name)},
          {"version", static_cast<qint64>(document.version)},
          {"content", ToQString(document.content)}};
}

std::optional<Document> ParseDocument(const QJsonObject& json, std::string* reason) {
  Document document;
  JsonFields fields(json);
  fields.Read("name", &document.name)
      .Read("version", &document.version)
      .Read("content", &document.content, kMaxContentBytes);
  *reason = fields.last_reason();
  if (!fields.ok()) return std::nullopt;
  return document;
}

}  // namespace kumquat
