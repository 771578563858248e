// Parsers for HTTP/1.1 messages, over Boost.Beast's, which work on plain buffers.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "transport/http_message.h"

namespace kumquat::Internal {

// What is wrong with a message.
enum class ParseProblem { kNone, kHeaderTooLong, kBodyTooLarge, kMalformed };

// Reads one request. Refuses whatever two parsers could understand differently: two lengths, a
// length beside chunks, another transfer coding than chunks, line ends without a carriage return.
class RequestParser {
 public:
  RequestParser(std::int64_t max_header_bytes, std::int64_t max_body_bytes);
  ~RequestParser();

  // Takes bytes from the front of the input and returns how many; the rest has to come again with
  // what follows it. Takes nothing behind the end of the request.
  std::size_t Feed(std::string_view input);

  ParseProblem problem() const { return problem_; }

  // Returns whether the header is complete.
  bool header_done() const;

  // Returns whether the request is complete.
  bool done() const;

  // Returns whether the caller allows another request on the connection.
  bool keep_alive() const;

  // Returns whether chunks may be sent; HTTP/1.0 knows none.
  bool allows_chunks() const;

  // Returns whether the caller waits for a 100 before it sends the body.
  bool expects_continue() const;

  // Returns the memory that the request takes by now, in bytes.
  std::int64_t kept_bytes() const;

  // Returns the request once it is complete.
  HttpRequest& request();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
  ParseProblem problem_ = ParseProblem::kNone;
};

// Reads one answer.
class ResponseParser {
 public:
  // `is_head` says that the answer has no body, whatever its header promises.
  explicit ResponseParser(bool is_head);
  ~ResponseParser();

  // Takes bytes from the front of the input and returns how many; see RequestParser. Takes nothing
  // behind the end of the answer.
  std::size_t Feed(std::string_view input);

  // The connection ended in order. The answer is complete if its framing says that it ends so.
  void FeedEnd();

  ParseProblem problem() const { return problem_; }
  bool header_done() const;
  bool done() const;
  int status() const;
  const HttpHeaders& headers() const;

  // Returns whether the connection may serve another request after this answer.
  bool keep_alive() const;

  // Returns whether only the end of the connection ends this answer.
  bool ends_with_connection() const;

  // Returns the bytes of the body that came since the last call.
  std::string TakeBody();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
  ParseProblem problem_ = ParseProblem::kNone;
};

}  // namespace kumquat::Internal
