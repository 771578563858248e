#include "list_file.h"

#include <fmt/format.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <exception>
#include <toml.hpp>

#include "protocol/json_fields.h"
#include "protocol/lists.h"

namespace kumquat {
namespace {

constexpr const char* kRevisionKey = "revision";

QJsonValue FromToml(const toml::value& value);

QJsonObject TableFromToml(const toml::value& value) {
  QJsonObject object;
  for (const auto& [key, member] : value.as_table()) object[ToQString(key)] = FromToml(member);
  return object;
}

QJsonValue FromToml(const toml::value& value) {
  if (value.is_table()) return TableFromToml(value);
  if (value.is_string()) return ToQString(value.as_string().str);
  if (value.is_integer()) return static_cast<qint64>(value.as_integer());
  if (value.is_boolean()) return value.as_boolean();
  if (value.is_floating()) return value.as_floating();
  if (!value.is_array()) return {};
  QJsonArray array;
  for (const toml::value& item : value.as_array()) array.append(FromToml(item));
  return array;
}

// JSON's form of a string is one of TOML's.
std::string QuotedText(const QString& text) {
  const std::string array =
      QJsonDocument(QJsonArray{text}).toJson(QJsonDocument::Compact).toStdString();
  return array.substr(1, array.size() - 2);
}

std::string ToToml(const QJsonValue& value);

std::string InlineTable(const QJsonObject& object) {
  std::string text;
  for (auto member = object.begin(); member != object.end(); ++member) {
    text += text.empty() ? "{ " : ", ";
    text += member.key().toStdString() + " = " + ToToml(member.value());
  }
  return text.empty() ? "{}" : text + " }";
}

std::string ArrayText(const QJsonArray& array) {
  if (array.isEmpty()) return "[]";
  std::string text = "[\n";
  for (const auto& item : array) text += "  " + ToToml(item) + ",\n";
  return text + "]";
}

std::string ToToml(const QJsonValue& value) {
  if (value.isString()) return QuotedText(value.toString());
  if (value.isBool()) return value.toBool() ? "true" : "false";
  if (value.isObject()) return InlineTable(value.toObject());
  if (value.isArray()) return ArrayText(value.toArray());
  return std::to_string(value.toInteger());
}

// Returns the list as it is understood: with all fields, and without those that are not known.
std::optional<QJsonObject> Normalised(ListName list, const QJsonObject& content,
                                      std::string* reason) {
  if (list == ListName::kPlans) {
    const auto plans = ParsePlanList(content, reason);
    return plans ? std::optional(ToJson(*plans)) : std::nullopt;
  }
  const auto allowances = ParseAllowanceList(content, reason);
  return allowances ? std::optional(ToJson(*allowances)) : std::nullopt;
}

// Returns a key that stands in the value and not in its normal form; nothing when there is none.
std::optional<QString> UnknownKey(const QJsonValue& value, const QJsonValue& normal) {
  const QJsonObject object = value.toObject();
  for (auto member = object.begin(); member != object.end(); ++member) {
    if (!normal.toObject().contains(member.key())) return member.key();
    auto unknown = UnknownKey(member.value(), normal[member.key()]);
    if (unknown) return unknown;
  }
  const QJsonArray array = value.toArray();
  for (qsizetype i = 0; i < array.size(); ++i) {
    auto unknown = UnknownKey(array.at(i), normal.toArray().at(i));
    if (unknown) return unknown;
  }
  return std::nullopt;
}

}  // namespace

std::string RenderListFile(ListName list, std::int64_t revision, const QJsonObject& content) {
  const std::string name(ListNameText(list));
  std::string text = fmt::format("# The edit of this file replaces this revision.\n{} = {}\n",
                                 kRevisionKey, revision);
  for (const auto& entry : content[ToQString(name)].toArray()) {
    text += fmt::format("\n[[{}]]\n", name);
    const QJsonObject fields = entry.toObject();
    for (auto field = fields.begin(); field != fields.end(); ++field) {
      text += fmt::format("{} = {}\n", field.key().toStdString(), ToToml(field.value()));
    }
  }
  return text;
}

std::optional<ListEdit> ReadListFile(ListName list, const std::string& path, std::string* reason) {
  QJsonObject content;
  try {
    content = TableFromToml(toml::parse(path));
  } catch (const std::exception& error) {
    const std::string text = error.what();
    *reason = "The file can't be read as TOML: " + text.substr(0, text.find('\n'));
    return std::nullopt;
  }
  const QJsonValue revision = content.take(kRevisionKey);
  if (!revision.isDouble()) {
    *reason = "revision: a whole number is needed.";
    return std::nullopt;
  }
  const QString name = ToQString(ListNameText(list));
  // A file without entries is an edit that empties the list, which control refuses.
  if (content.isEmpty()) content[name] = QJsonArray();
  const auto normal = Normalised(list, content, reason);
  if (!normal) return std::nullopt;
  if (const auto unknown = UnknownKey(content, *normal)) {
    *reason = unknown->toStdString() + ": there is no such key.";
    return std::nullopt;
  }
  return ListEdit{list, revision.toInteger(), *normal};
}

}  // namespace kumquat
