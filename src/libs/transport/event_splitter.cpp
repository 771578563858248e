#include "transport/event_splitter.h"

#include <charconv>

namespace kumquat {
namespace {

constexpr std::size_t kMaxEventBytes = 4 * 1024 * 1024;
constexpr std::string_view kIdField = "id:";

// Returns the place behind the blank line that ends the first event; npos when there is none.
std::size_t EndOfEvent(std::string_view bytes, std::size_t from) {
  for (std::size_t at = bytes.find('\n', from); at != std::string_view::npos;
       at = bytes.find('\n', at + 1)) {
    std::size_t next = at + 1;
    if (next < bytes.size() && bytes[next] == '\r') ++next;
    if (next < bytes.size() && bytes[next] == '\n') return next + 1;
  }
  return std::string_view::npos;
}

std::optional<std::int64_t> IdOf(std::string_view event) {
  while (!event.empty()) {
    const std::size_t end = event.find('\n');
    std::string_view line = event.substr(0, end);
    event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
    if (!line.starts_with(kIdField)) continue;
    line.remove_prefix(kIdField.size());
    if (line.starts_with(' ')) line.remove_prefix(1);
    std::int64_t id = 0;
    const auto [rest, error] = std::from_chars(line.data(), line.data() + line.size(), id);
    if (error == std::errc()) return id;
  }
  return std::nullopt;
}

}  // namespace

void EventSplitter::Feed(std::string_view bytes,
                         const std::function<bool(const RawEvent& event)>& on_event) {
  if (overflowed_) return;
  buffer_ += bytes;
  std::size_t taken = 0;
  while (true) {
    const std::string_view rest = std::string_view{buffer_}.substr(taken);
    const std::size_t end = EndOfEvent(rest, searched_);
    if (end == std::string_view::npos) {
      // The end may begin with the last two bytes.
      searched_ = rest.size() > 2 ? rest.size() - 2 : 0;
      break;
    }
    searched_ = 0;
    taken += end;
    const std::string_view event = rest.substr(0, end);
    if (!on_event({event, IdOf(event)})) return;
  }
  buffer_.erase(0, taken);
  overflowed_ = buffer_.size() > kMaxEventBytes;
}

}  // namespace kumquat
