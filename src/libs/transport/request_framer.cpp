#include "transport/request_framer.h"

#include <algorithm>
#include <charconv>

#include "transport/http_message.h"

namespace kumquat::Internal {
namespace {

// The line end after the data of a chunk.
constexpr std::int64_t kChunkEndBytes = 2;

std::string_view Trimmed(std::string_view text) {
  const auto first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

bool ParseNumber(std::string_view text, int base, std::int64_t* value) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), *value, base);
  return error == std::errc() && end == text.data() + text.size() && *value >= 0;
}

bool ParseRequestLine(std::string_view line, RequestHead* head) {
  const auto method_end = line.find(' ');
  const auto target_end = line.rfind(' ');
  if (method_end == std::string_view::npos || target_end <= method_end + 1) return false;
  const std::string_view version = line.substr(target_end + 1);
  if (version != "HTTP/1.1" && version != "HTTP/1.0") return false;
  head->method = line.substr(0, method_end);
  head->target = line.substr(method_end + 1, target_end - method_end - 1);
  head->chunked_answers = version == "HTTP/1.1";
  head->keep_alive = head->chunked_answers;
  return !head->method.empty();
}

}  // namespace

FramingProblem RequestFramer::Feed(std::string_view bytes) {
  FramingProblem problem = FramingProblem::kNone;
  while (!bytes.empty() && problem == FramingProblem::kNone) {
    const bool in_data = state_ == State::kBody || state_ == State::kChunkData;
    problem = in_data ? TakeData(&bytes) : TakeLine(&bytes);
  }
  return problem;
}

FramingProblem RequestFramer::TakeLine(std::string_view* bytes) {
  const auto line_feed = bytes->find('\n');
  const std::size_t taken = line_feed == std::string_view::npos ? bytes->size() : line_feed + 1;
  header_bytes_ += static_cast<std::int64_t>(taken);
  if (header_bytes_ > max_header_bytes_) {
    return state_ == State::kChunkSize ? FramingProblem::kMalformed
                                       : FramingProblem::kHeaderTooLong;
  }
  line_ += bytes->substr(0, taken);
  bytes->remove_prefix(taken);
  return line_feed == std::string_view::npos ? FramingProblem::kNone : EndLine();
}

FramingProblem RequestFramer::EndLine() {
  std::string line;
  line.swap(line_);
  line.pop_back();
  if (line.ends_with('\r')) line.pop_back();
  if (state_ == State::kChunkSize) {
    line_ = std::move(line);
    return StartChunk();
  }
  if (state_ == State::kTrailer) {
    if (line.empty()) EndRequest();
    return FramingProblem::kNone;
  }
  if (!line.empty()) {
    lines_.push_back(std::move(line));
    return FramingProblem::kNone;
  }
  return lines_.empty() ? FramingProblem::kMalformed : EndHead();
}

FramingProblem RequestFramer::EndHead() {
  RequestHead head;
  if (!ParseRequestLine(lines_.front(), &head)) return FramingProblem::kMalformed;
  lines_.pop_front();
  for (const std::string& line : lines_) {
    const FramingProblem problem = ReadField(line, &head);
    if (problem != FramingProblem::kNone) return problem;
  }
  lines_.clear();
  // A request framed in two ways is how requests are smuggled past one of two readers.
  if (chunked_ && content_length_ >= 0) return FramingProblem::kMalformed;
  heads_.push_back(std::move(head));
  if (chunked_) {
    state_ = State::kChunkSize;
  } else if (content_length_ > 0) {
    state_ = State::kBody;
    data_left_ = content_length_;
  } else {
    EndRequest();
  }
  return FramingProblem::kNone;
}

FramingProblem RequestFramer::ReadField(std::string_view line, RequestHead* head) {
  const auto colon = line.find(':');
  if (colon == std::string_view::npos || colon == 0) return FramingProblem::kMalformed;
  const std::string_view name = line.substr(0, colon);
  const std::string_view value = Trimmed(line.substr(colon + 1));
  if (name.find_first_of(" \t") != std::string_view::npos) return FramingProblem::kMalformed;
  if (EqualInAnyCase(name, "content-length")) return ReadContentLength(value);
  if (EqualInAnyCase(name, "transfer-encoding")) {
    if (!EqualInAnyCase(value, "chunked") || chunked_) return FramingProblem::kMalformed;
    chunked_ = true;
  } else if (EqualInAnyCase(name, "connection")) {
    if (EqualInAnyCase(value, "close")) head->keep_alive = false;
    if (EqualInAnyCase(value, "keep-alive")) head->keep_alive = true;
  } else if (EqualInAnyCase(name, "expect")) {
    head->expects_continue = EqualInAnyCase(value, "100-continue");
  }
  return FramingProblem::kNone;
}

FramingProblem RequestFramer::ReadContentLength(std::string_view value) {
  std::int64_t length = 0;
  if (!ParseNumber(value, 10, &length)) {
    const bool is_huge = !value.empty() && value.find_first_not_of("0123456789") == value.npos;
    return is_huge ? FramingProblem::kBodyTooLarge : FramingProblem::kMalformed;
  }
  if (content_length_ >= 0 && content_length_ != length) return FramingProblem::kMalformed;
  content_length_ = length;
  return length > max_body_bytes_ ? FramingProblem::kBodyTooLarge : FramingProblem::kNone;
}

FramingProblem RequestFramer::StartChunk() {
  const std::string_view line = line_;
  const std::string_view digits = Trimmed(line.substr(0, line.find(';')));
  std::int64_t size = 0;
  const bool valid = ParseNumber(digits, 16, &size);
  line_.clear();
  if (!valid) return FramingProblem::kMalformed;
  if (size == 0) {
    state_ = State::kTrailer;
    return FramingProblem::kNone;
  }
  if (size > max_body_bytes_) return FramingProblem::kBodyTooLarge;
  data_left_ = size + kChunkEndBytes;
  state_ = State::kChunkData;
  return FramingProblem::kNone;
}

FramingProblem RequestFramer::TakeData(std::string_view* bytes) {
  const auto taken = std::min(data_left_, static_cast<std::int64_t>(bytes->size()));
  bytes->remove_prefix(static_cast<std::size_t>(taken));
  data_left_ -= taken;
  body_bytes_ += taken;
  // Lines and line ends of chunks count as well, since they are buffered with the data.
  if (body_bytes_ > max_body_bytes_) return FramingProblem::kBodyTooLarge;
  if (data_left_ > 0) return FramingProblem::kNone;
  if (state_ == State::kBody) {
    EndRequest();
    return FramingProblem::kNone;
  }
  body_bytes_ += header_bytes_;
  header_bytes_ = 0;
  state_ = State::kChunkSize;
  return FramingProblem::kNone;
}

void RequestFramer::EndRequest() {
  state_ = State::kHead;
  header_bytes_ = 0;
  body_bytes_ = 0;
  content_length_ = -1;
  chunked_ = false;
}

}  // namespace kumquat::Internal
