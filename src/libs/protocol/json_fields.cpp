#include "protocol/json_fields.h"

#include <QJsonDocument>
#include <QJsonParseError>
#include <cmath>

namespace kumquat {

void JsonFields::Fail(const char* key, std::string_view reason) {
  if (!ok()) return;
  last_reason_ = std::string(key) + ": " + std::string(reason);
}

JsonFields& JsonFields::Read(const char* key, std::string* value, std::size_t max_bytes) {
  if (!ok()) return *this;
  if (!Value(key).isString()) {
    Fail(key, "a string is needed.");
    return *this;
  }
  std::string text = Value(key).toString().toStdString();
  if (text.size() > max_bytes) {
    Fail(key, "the string is too long.");
    return *this;
  }
  *value = std::move(text);
  return *this;
}

JsonFields& JsonFields::Read(const char* key, std::int64_t* value, std::int64_t lowest,
                             std::int64_t highest) {
  if (!ok()) return *this;
  const QJsonValue field = Value(key);
  const double as_double = field.toDouble();
  if (!field.isDouble() || as_double != std::floor(as_double)) {
    Fail(key, "a whole number is needed.");
    return *this;
  }
  // A number beyond 64 bits reads as the default.
  const std::int64_t number = field.toInteger(0);
  if (number != field.toInteger(1)) {
    Fail(key, "the number is out of range.");
    return *this;
  }
  if (number < lowest || number > highest) {
    Fail(key, "the number is out of range.");
    return *this;
  }
  *value = number;
  return *this;
}

JsonFields& JsonFields::Read(const char* key, bool* value) {
  if (!ok()) return *this;
  if (!Value(key).isBool()) {
    Fail(key, "true or false is needed.");
    return *this;
  }
  *value = Value(key).toBool();
  return *this;
}

JsonFields& JsonFields::Read(const char* key, double* value) {
  if (!ok()) return *this;
  if (!Value(key).isDouble() || !std::isfinite(Value(key).toDouble())) {
    Fail(key, "a number is needed.");
    return *this;
  }
  *value = Value(key).toDouble();
  return *this;
}

JsonFields& JsonFields::Read(const char* key, std::vector<std::string>* value,
                             std::size_t max_items) {
  if (!ok()) return *this;
  if (!Value(key).isArray()) {
    Fail(key, "a list of strings is needed.");
    return *this;
  }
  std::vector<std::string> texts;
  for (const QJsonValue& item : Array(key, max_items)) {
    if (!item.isString()) Fail(key, "a list of strings is needed.");
    texts.push_back(item.toString().toStdString());
  }
  if (ok()) *value = std::move(texts);
  return *this;
}

std::vector<QJsonValue> JsonFields::Array(const char* key, std::size_t max_items) {
  if (!ok() || !Has(key)) return {};
  if (!Value(key).isArray()) {
    Fail(key, "a list is needed.");
    return {};
  }
  const QJsonArray array = Value(key).toArray();
  if (static_cast<std::size_t>(array.size()) > max_items) {
    Fail(key, "the list is too long.");
    return {};
  }
  return {array.begin(), array.end()};
}

QJsonObject JsonFields::Object(const char* key) {
  if (!ok() || !Has(key)) return {};
  if (!Value(key).isObject()) Fail(key, "an object is needed.");
  return Value(key).toObject();
}

QJsonArray ToJsonArray(const std::vector<std::string>& values) {
  QJsonArray array;
  for (const std::string& value : values) array.append(ToQString(value));
  return array;
}

QString ToQString(std::string_view text) {
  return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

std::optional<QJsonObject> ParseJsonObject(std::string_view bytes) {
  QJsonParseError error;
  const auto document = QJsonDocument::fromJson(
      QByteArray::fromRawData(bytes.data(), static_cast<qsizetype>(bytes.size())), &error);
  if (error.error != QJsonParseError::NoError || !document.isObject()) return std::nullopt;
  return document.object();
}

std::string ToJsonText(const QJsonObject& object) {
  return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

}  // namespace kumquat
