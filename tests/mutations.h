// Messages that went wrong on their way, for tests of decoders.
#pragma once

#include <QJsonArray>
#include <QJsonObject>
#include <QJsonValue>
#include <string>

#include "property.h"

namespace kumquat {

// Returns a JSON value of a type other than that of `value`.
inline QJsonValue OfOtherType(const QJsonValue& value) {
  if (!value.isString()) return QStringLiteral("text");
  return *rc::gen::arbitrary<bool>() ? QJsonValue(QJsonArray{7}) : QJsonValue(true);
}

// Returns the text with some bytes changed, left out or doubled.
inline std::string Garbled(std::string text) {
  const int changes = *rc::gen::inRange(1, 6);
  for (int i = 0; i < changes && !text.empty(); ++i) {
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    const int kind = *rc::gen::inRange(0, 3);
    if (kind == 0) text[at] = *rc::gen::arbitrary<char>();
    if (kind == 1) text.erase(at, *rc::gen::inRange<std::size_t>(1, 8));
    if (kind == 2) text.insert(at, text.substr(at, *rc::gen::inRange<std::size_t>(1, 8)));
  }
  return text;
}

// Returns a beginning of the text that lacks its last byte at least.
inline std::string CutShort(const std::string& text) {
  return text.substr(0, *rc::gen::inRange<std::size_t>(0, text.size()));
}

}  // namespace kumquat
