#include "transport/sse_parser.h"

#include <utility>

namespace kumquat {
namespace {

constexpr std::size_t kMaxEventBytes = std::size_t{4} * 1024 * 1024;
constexpr std::string_view kDataField = "data:";

}  // namespace

void SseParser::Feed(std::string_view bytes,
                     const std::function<void(std::string_view data)>& on_event) {
  while (!bytes.empty() && !overflowed_) {
    const auto line_feed = bytes.find('\n');
    const std::string_view piece = bytes.substr(0, line_feed);
    if (line_.size() + data_.size() + piece.size() > kMaxEventBytes) {
      overflowed_ = true;
      return;
    }
    line_ += piece;
    if (line_feed == std::string_view::npos) return;
    bytes.remove_prefix(line_feed + 1);
    EndLine(on_event);
  }
}

void SseParser::EndLine(const std::function<void(std::string_view data)>& on_event) {
  std::string line = std::exchange(line_, {});
  if (line.ends_with('\r')) line.pop_back();
  if (line.empty()) {
    const std::string data = std::exchange(data_, {});
    if (std::exchange(has_data_, false)) on_event(data);
    return;
  }
  if (!line.starts_with(kDataField)) return;
  std::string_view value = line;
  value.remove_prefix(kDataField.size());
  if (value.starts_with(' ')) value.remove_prefix(1);
  if (has_data_) data_ += '\n';
  data_ += value;
  has_data_ = true;
}

}  // namespace kumquat
