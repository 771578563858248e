// Conversion between Qt's JSON values and those of jsoncpp, which libjsonrpccpp speaks.
#pragma once

#include <jsoncpp/json/json.h>

#include <QJsonObject>
#include <QJsonValue>
#include <optional>
#include <string>
#include <string_view>

namespace kumquat::Internal {

Json::Value ToJsonCpp(const QJsonValue& value);
QJsonValue FromJsonCpp(const Json::Value& value);

// Parses one JSON text; nothing when it is not one.
std::optional<Json::Value> ParseJsonCpp(std::string_view text);

// Renders the value on one line.
std::string ToText(const Json::Value& value);

}  // namespace kumquat::Internal
