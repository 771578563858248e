// The text of a fake engine's answers, which a test can work out by itself.
#pragma once

#include <QJsonArray>
#include <cstdint>
#include <string>
#include <string_view>

namespace kumquat {

// Returns four hexadecimal digits of a hash over the roles and contents of a chat's messages.
std::string AnswerHash(const QJsonArray& messages);

// Returns the token at this place of the answer: "t<offset>-<hash> ".
std::string AnswerToken(std::string_view hash, std::int64_t offset);

}  // namespace kumquat
