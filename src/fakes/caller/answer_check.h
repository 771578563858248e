// Checks that a streamed answer of the fake engine is whole and in order.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "transport/backend_client.h"
#include "transport/sse_parser.h"

namespace kumquat {

// Takes the bytes of one answer. The fake engine's tokens read "t0-abcd t1-abcd ...": a counter and
// a mark of the prompt, so that a missing, doubled or foreign token shows.
class AnswerCheck {
 public:
  void Feed(std::string_view bytes);

  // Returns what is wrong with the answer, now that it has ended; nothing when it is whole.
  std::optional<std::string> Problem(std::int64_t expected_tokens) const;

  std::int64_t tokens() const { return tokens_; }
  std::int64_t prompt_tokens() const { return prompt_tokens_; }
  std::int64_t cached_tokens() const { return cached_tokens_; }

 private:
  void TakeEvent(std::string_view data);
  void TakeText(const std::string& text);

  SseParser parser_;
  std::int64_t tokens_ = 0;
  std::string mark_;
  bool has_finish_ = false;
  bool is_done_ = false;
  std::int64_t prompt_tokens_ = 0;
  std::int64_t cached_tokens_ = 0;
  std::string problem_;
};

}  // namespace kumquat
