// Server-sent events, as far as the answers of engines use them.
#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace kumquat {

// Splits a stream of server-sent events into the payloads of their `data:` lines. The lines of one
// event are joined by line feeds; other fields and comments are passed over.
class SseParser {
 public:
  // Takes the next bytes and calls the hook for each event that is complete.
  void Feed(std::string_view bytes, const std::function<void(std::string_view data)>& on_event);

  // Returns whether an event has begun and is not complete.
  bool mid_event() const { return !line_.empty() || has_data_; }

  // Returns the bytes of memory that the event which isn't complete takes.
  std::int64_t kept_bytes() const {
    return static_cast<std::int64_t>(line_.capacity() + data_.capacity());
  }

  // Returns whether an event grew past the limit of 4 MiB; nothing more is parsed then.
  bool overflowed() const { return overflowed_; }

 private:
  void EndLine(const std::function<void(std::string_view data)>& on_event);

  std::string line_;
  std::string data_;
  bool has_data_ = false;
  bool overflowed_ = false;
};

}  // namespace kumquat
