#include "transport/json_convert.h"

#include <QCborValue>
#include <QJsonArray>
#include <memory>

namespace kumquat::Internal {
namespace {

Json::Value ObjectToJsonCpp(const QJsonObject& object) {
  Json::Value converted(Json::objectValue);
  for (auto member = object.begin(); member != object.end(); ++member) {
    converted[member.key().toStdString()] = ToJsonCpp(member.value());
  }
  return converted;
}

Json::Value ArrayToJsonCpp(const QJsonArray& array) {
  Json::Value converted(Json::arrayValue);
  for (const auto& item : array) converted.append(ToJsonCpp(item));
  return converted;
}

Json::Value NumberToJsonCpp(const QJsonValue& value) {
  // Only CBOR tells whole numbers from others without a loss above 2^53.
  const QCborValue number = QCborValue::fromJsonValue(value);
  if (number.isInteger()) return static_cast<Json::Int64>(number.toInteger());
  return value.toDouble();
}

QJsonObject ObjectFromJsonCpp(const Json::Value& value) {
  QJsonObject converted;
  for (auto member = value.begin(); member != value.end(); ++member) {
    converted.insert(QString::fromStdString(member.name()), FromJsonCpp(*member));
  }
  return converted;
}

QJsonArray ArrayFromJsonCpp(const Json::Value& value) {
  QJsonArray converted;
  for (const Json::Value& item : value) converted.append(FromJsonCpp(item));
  return converted;
}

}  // namespace

Json::Value ToJsonCpp(const QJsonValue& value) {
  switch (value.type()) {
    case QJsonValue::Bool:
      return value.toBool();
    case QJsonValue::Double:
      return NumberToJsonCpp(value);
    case QJsonValue::String:
      return value.toString().toStdString();
    case QJsonValue::Array:
      return ArrayToJsonCpp(value.toArray());
    case QJsonValue::Object:
      return ObjectToJsonCpp(value.toObject());
    default:
      return Json::nullValue;
  }
}

QJsonValue FromJsonCpp(const Json::Value& value) {
  switch (value.type()) {
    case Json::booleanValue:
      return value.asBool();
    case Json::intValue:
      return static_cast<qint64>(value.asInt64());
    case Json::uintValue:
      return value.isInt64() ? QJsonValue(static_cast<qint64>(value.asInt64()))
                             : QJsonValue(value.asDouble());
    case Json::realValue:
      return value.asDouble();
    case Json::stringValue:
      return QString::fromStdString(value.asString());
    case Json::arrayValue:
      return ArrayFromJsonCpp(value);
    case Json::objectValue:
      return ObjectFromJsonCpp(value);
    default:
      return {};
  }
}

std::optional<Json::Value> ParseJsonCpp(std::string_view text) {
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["strictRoot"] = false;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  try {
    if (reader->parse(text.data(), text.data() + text.size(), &value, nullptr)) return value;
  } catch (const Json::Exception&) {
    // Nested too deeply.
  }
  return std::nullopt;
}

std::string ToText(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

}  // namespace kumquat::Internal
