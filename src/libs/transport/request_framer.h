// Follows the raw bytes of one caller's connection, so that limits hold before a request is
// buffered.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

namespace kumquat::Internal {

// What is wrong with a request.
enum class FramingProblem { kNone, kHeaderTooLong, kBodyTooLarge, kMalformed };

// The request line and the header fields that say how the request is framed.
struct RequestHead {
  std::string method;
  // As sent, with query.
  std::string target;
  // HTTP/1.0 has no chunked answers.
  bool chunked_answers = true;
  bool keep_alive = true;
  bool expects_continue = false;
};

// Finds where each request of a connection begins and ends, whatever pieces the bytes come in.
class RequestFramer {
 public:
  RequestFramer(std::int64_t max_header_bytes, std::int64_t max_body_bytes)
      : max_header_bytes_(max_header_bytes), max_body_bytes_(max_body_bytes) {}

  // Takes the next bytes of the connection. After a problem nothing more may be fed.
  FramingProblem Feed(std::string_view bytes);

  // Returns the heads of the requests that have not been taken yet, in order; the last of them may
  // still wait for its body.
  std::deque<RequestHead>& heads() { return heads_; }

  // Returns whether a request has begun and is not complete.
  bool mid_request() const { return state_ != State::kHead || header_bytes_ > 0; }

  // Returns whether the newest head is complete and its body has not begun.
  bool awaits_body() const {
    return state_ != State::kHead && state_ != State::kTrailer && body_bytes_ == 0;
  }

 private:
  enum class State { kHead, kBody, kChunkSize, kChunkData, kTrailer };

  FramingProblem TakeLine(std::string_view* bytes);
  FramingProblem EndLine();
  FramingProblem EndHead();
  FramingProblem ReadField(std::string_view line, RequestHead* head);
  FramingProblem ReadContentLength(std::string_view value);
  FramingProblem StartChunk();
  FramingProblem TakeData(std::string_view* bytes);
  void EndRequest();

  std::int64_t max_header_bytes_;
  std::int64_t max_body_bytes_;
  State state_ = State::kHead;
  std::string line_;
  std::deque<std::string> lines_;
  std::int64_t header_bytes_ = 0;
  std::int64_t body_bytes_ = 0;
  std::int64_t data_left_ = 0;
  std::int64_t content_length_ = -1;
  bool chunked_ = false;
  std::deque<RequestHead> heads_;
};

}  // namespace kumquat::Internal
