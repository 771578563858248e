// Splits a stream of server-sent events into whole events, kept as they came.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace kumquat {

// One event with the blank line that ends it.
struct RawEvent {
  std::string_view bytes;
  // The number in its id field, where it has one.
  std::optional<std::int64_t> id;
};

class EventSplitter {
 public:
  // Takes the next bytes and calls the hook for each event that is complete. Nothing is read on
  // once the hook says that it wants no more.
  void Feed(std::string_view bytes, const std::function<bool(const RawEvent& event)>& on_event);

  // Returns whether an event has begun and is not complete.
  bool mid_event() const { return !buffer_.empty(); }

  // Returns the bytes of memory that the event which isn't complete takes.
  std::int64_t kept_bytes() const { return static_cast<std::int64_t>(buffer_.capacity()); }

  // Returns whether an event grew past the limit of 4 MiB; nothing more is split then.
  bool overflowed() const { return overflowed_; }

 private:
  std::string buffer_;
  // Up to here the buffer holds no end of an event.
  std::size_t searched_ = 0;
  bool overflowed_ = false;
};

}  // namespace kumquat
