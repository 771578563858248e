// A versioned text that operators set as a whole.
#pragma once

#include <QJsonObject>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace kumquat {

// The document that holds the routing table.
inline constexpr std::string_view kRoutingDocument = "routing";
// A model's name stands behind it; the version is that of the weights, and the content is empty.
inline constexpr std::string_view kWeightsDocumentPrefix = "weights/";

// Of two documents with one name the higher version counts, and of equal versions the first one.
struct Document {
  std::string name;
  std::int64_t version = 0;
  std::string content;

  bool operator==(const Document&) const = default;
};

QJsonObject ToJson(const Document& document);

// Returns nothing when a field is missing or wrong, with the reason in `reason`.
std::optional<Document> ParseDocument(const QJsonObject& json, std::string* reason);

}  // namespace kumquat
