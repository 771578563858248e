#include "engine/answer_text.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <QJsonObject>

namespace kumquat {

std::string AnswerHash(const QJsonArray& messages) {
  std::string text;
  for (const auto& value : messages) {
    const QJsonObject message = value.toObject();
    text += message.value(QLatin1String("role")).toString().toStdString() + '\0';
    text += message.value(QLatin1String("content")).toString().toStdString() + '\0';
  }
  return fmt::format("{:04x}", XXH64(text.data(), text.size(), 0) & 0xffff);
}

std::string AnswerToken(std::string_view hash, std::int64_t offset) {
  return fmt::format("t{}-{} ", offset, hash);
}

}  // namespace kumquat
