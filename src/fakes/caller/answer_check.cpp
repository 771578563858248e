#include "answer_check.h"

#include <fmt/format.h>

#include "protocol/json_fields.h"

namespace kumquat {

void AnswerCheck::Feed(std::string_view bytes) {
  parser_.Feed(bytes, [this](std::string_view data) { TakeEvent(data); });
}

void AnswerCheck::TakeEvent(std::string_view data) {
  if (is_done_) problem_ = "There is an event after the end.";
  if (data == "[DONE]") {
    is_done_ = true;
    return;
  }
  const auto json = ParseJsonObject(data);
  if (!json || json->contains("error")) {
    problem_ = "There is an error event: " + std::string(data);
    return;
  }
  const QJsonObject choice = (*json)["choices"].toArray().at(0).toObject();
  const QJsonValue content = choice["delta"].toObject()["content"];
  if (content.isString()) TakeText(content.toString().toStdString());
  if (!choice["finish_reason"].isString()) return;
  has_finish_ = true;
  const QJsonObject usage = (*json)["usage"].toObject();
  prompt_tokens_ = usage["prompt_tokens"].toInteger();
  cached_tokens_ = usage["prompt_tokens_details"].toObject()["cached_tokens"].toInteger();
}

void AnswerCheck::TakeText(const std::string& text) {
  const std::string counter = fmt::format("t{}-", tokens_);
  if (text.substr(0, counter.size()) != counter) {
    problem_ = "The token \"" + text + "\" stands at place " + std::to_string(tokens_) + ".";
    return;
  }
  const std::string mark = text.substr(counter.size());
  if (tokens_ > 0 && mark != mark_) problem_ = "A token of another answer came.";
  mark_ = mark;
  ++tokens_;
}

std::optional<std::string> AnswerCheck::Problem(std::int64_t expected_tokens) const {
  if (!problem_.empty()) return problem_;
  if (!is_done_ || !has_finish_) return "The answer has no end.";
  if (tokens_ != expected_tokens) {
    return "The answer has " + std::to_string(tokens_) + " tokens.";
  }
  return std::nullopt;
}

}  // namespace kumquat
