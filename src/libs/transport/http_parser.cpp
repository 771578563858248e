#include "transport/http_parser.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/optional.hpp>
#include <cctype>
#include <limits>
#include <utility>

namespace kumquat::Internal {
namespace {

namespace http = boost::beast::http;
using boost::beast::error_code;
using View = boost::beast::string_view;

// Longest header of an answer; no server of ours comes near it.
constexpr std::uint32_t kMaxResponseHeaderBytes = 64 * 1024;
// Longest line of a chunk's size or of a trailer, all trailers together. Beast itself bounds
// neither.
constexpr std::size_t kMaxLineBytes = 64 * 1024;
// A length with more digits than this is larger than any body.
constexpr std::size_t kMaxLengthDigits = 18;
// Other statuses are invalid, and such an answer is to be taken for a server's error (RFC 9110,
// section 15). What it says of the request isn't known, so it isn't passed on either.
constexpr int kFirstStatus = 100;
constexpr int kLastStatus = 599;

std::string ToString(View view) { return {view.data(), view.size()}; }

std::uint32_t HeaderLimit(std::int64_t bytes) {
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(bytes, 1, std::numeric_limits<std::uint32_t>::max()));
}

ParseProblem ProblemOf(const error_code& error) {
  if (!error || error == http::error::need_more) return ParseProblem::kNone;
  if (error == http::error::header_limit) return ParseProblem::kHeaderTooLong;
  if (error == http::error::body_limit) return ParseProblem::kBodyTooLarge;
  return ParseProblem::kMalformed;
}

// Returns whether the header has a single Content-Length of more digits than a number can hold.
bool HasHugeLength(std::string_view input) {
  constexpr std::string_view kName = "\r\ncontent-length:";
  std::string lower(input.substr(0, input.find("\r\n\r\n")));
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  const std::size_t at = lower.find(kName);
  if (at == std::string::npos || lower.find(kName, at + 1) != std::string::npos) return false;
  const std::size_t begin = lower.find_first_not_of(" \t", at + kName.size());
  const std::size_t end = lower.find_first_not_of("0123456789", begin);
  const std::size_t digits = std::min(end, lower.size()) - std::min(begin, lower.size());
  return digits > kMaxLengthDigits && (end == std::string::npos || lower[end] == '\r');
}

// Collects what Beast's parser finds.
template <bool kIsRequest>
class Collector : public http::basic_parser<kIsRequest> {
 public:
  HttpRequest request;
  // Ten times the major version plus the minor one, as Beast counts.
  int version = 0;
  int status = 0;
  std::string body;

 protected:
  void on_request_impl(http::verb /*method*/, View method, View target, int message_version,
                       error_code& /*error*/) override {
    version = message_version;
    request.method = ToString(method);
    request.target = ToString(target);
  }
  void on_response_impl(int code, View /*reason*/, int /*version*/, error_code& error) override {
    status = code;
    if (code < kFirstStatus || code > kLastStatus) error = http::error::bad_status;
  }
  void on_field_impl(http::field name, View name_text, View value, error_code& error) override {
    // Fields behind the body are of no use here.
    if (has_header_) return;
    const bool is_coding = name == http::field::transfer_encoding;
    if (is_coding && !EqualInAnyCase({value.data(), value.size()}, "chunked")) {
      error = http::error::bad_transfer_encoding;
      return;
    }
    if (name == http::field::content_length && std::exchange(has_length_, true)) {
      error = http::error::bad_content_length;
      return;
    }
    request.headers.emplace_back(ToString(name_text), ToString(value));
  }
  void on_header_impl(error_code& /*error*/) override { has_header_ = true; }
  void on_body_init_impl(const boost::optional<std::uint64_t>& length,
                         error_code& /*error*/) override {
    if (length) length_ = *length;
  }
  std::size_t on_body_impl(View bytes, error_code& /*error*/) override {
    AppendToBody(bytes);
    return bytes.size();
  }
  void on_chunk_header_impl(std::uint64_t /*size*/, View /*extensions*/,
                            error_code& /*error*/) override {}
  std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, View bytes,
                                 error_code& /*error*/) override {
    AppendToBody(bytes);
    return bytes.size();
  }
  void on_finish_impl(error_code& /*error*/) override {}

 private:
  // Grows as a string does, but not past a length that is known.
  void AppendToBody(View bytes) {
    const std::size_t needed = body.size() + bytes.size();
    if (needed > body.capacity() && length_ && *length_ >= needed) {
      body.reserve(std::min<std::size_t>(std::max(needed, 2 * body.capacity()), *length_));
    }
    body.append(bytes.data(), bytes.size());
  }

  bool has_header_ = false;
  bool has_length_ = false;
  std::optional<std::uint64_t> length_;
};

// Feeds the parser until it needs more or has a whole message.
template <bool kIsRequest>
std::size_t FeedAll(Collector<kIsRequest>& parser, std::string_view input, ParseProblem* problem) {
  std::size_t taken = 0;
  while (!parser.is_done() && *problem == ParseProblem::kNone) {
    error_code error;
    const std::size_t count =
        parser.put(boost::asio::const_buffer(input.data() + taken, input.size() - taken), error);
    taken += count;
    *problem = ProblemOf(error);
    if (error || taken == input.size()) break;
  }
  const bool wants_more =
      *problem == ParseProblem::kNone && parser.is_header_done() && !parser.is_done();
  if (wants_more && input.size() - taken > kMaxLineBytes) *problem = ParseProblem::kMalformed;
  return taken;
}

}  // namespace

class RequestParser::Impl : public Collector<true> {};

RequestParser::RequestParser(std::int64_t max_header_bytes, std::int64_t max_body_bytes)
    : impl_(std::make_unique<Impl>()) {
  impl_->eager(true);
  impl_->header_limit(HeaderLimit(max_header_bytes));
  impl_->body_limit(static_cast<std::uint64_t>(max_body_bytes));
}

RequestParser::~RequestParser() = default;

std::size_t RequestParser::Feed(std::string_view input) {
  const std::size_t taken = FeedAll(*impl_, input, &problem_);
  if (problem_ == ParseProblem::kMalformed && !header_done() && HasHugeLength(input)) {
    problem_ = ParseProblem::kBodyTooLarge;
  }
  if (done()) impl_->request.body = std::move(impl_->body);
  return taken;
}

bool RequestParser::header_done() const { return impl_->is_header_done(); }
bool RequestParser::done() const { return impl_->is_done(); }
bool RequestParser::keep_alive() const { return impl_->keep_alive(); }

bool RequestParser::allows_chunks() const {
  constexpr int kFirstVersionWithChunks = 11;
  return impl_->version >= kFirstVersionWithChunks;
}

bool RequestParser::expects_continue() const {
  return EqualInAnyCase(HeaderValue(impl_->request.headers, "Expect"), "100-continue");
}

std::int64_t RequestParser::kept_bytes() const {
  return static_cast<std::int64_t>(impl_->body.capacity()) + MemoryOf(impl_->request);
}

HttpRequest& RequestParser::request() { return impl_->request; }

class ResponseParser::Impl : public Collector<false> {};

ResponseParser::ResponseParser(bool is_head) : impl_(std::make_unique<Impl>()) {
  impl_->eager(true);
  impl_->skip(is_head);
  impl_->header_limit(kMaxResponseHeaderBytes);
  impl_->body_limit(std::numeric_limits<std::uint64_t>::max());
}

ResponseParser::~ResponseParser() = default;

std::size_t ResponseParser::Feed(std::string_view input) {
  return FeedAll(*impl_, input, &problem_);
}

void ResponseParser::FeedEnd() {
  error_code error;
  impl_->put_eof(error);
  problem_ = error ? ParseProblem::kMalformed : ParseProblem::kNone;
}

bool ResponseParser::header_done() const { return impl_->is_header_done(); }
bool ResponseParser::done() const { return impl_->is_done(); }
int ResponseParser::status() const { return impl_->status; }
const HttpHeaders& ResponseParser::headers() const { return impl_->request.headers; }
bool ResponseParser::keep_alive() const { return impl_->keep_alive(); }
bool ResponseParser::ends_with_connection() const { return impl_->need_eof(); }
std::string ResponseParser::TakeBody() { return std::exchange(impl_->body, {}); }

}  // namespace kumquat::Internal
