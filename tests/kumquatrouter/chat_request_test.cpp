#include "chat_request.h"

#include <doctest/doctest.h>

namespace kumquat {
namespace {

TEST_CASE("A chat request is read from its usual form") {
  std::string reason;
  const auto request = ParseChatRequest(
      R"({"model": "seat-spec", "stream": true, "max_tokens": 9, "messages": [
          {"role": "system", "content": "Be brief."},
          {"role": "user", "content": [{"type": "text", "text": "Which bay"},
                                       {"type": "text", "text": " is free?"}]}]})",
      &reason);
  REQUIRE(request);
  CHECK(request->stream);
  CHECK(request->max_tokens == 9);
  CHECK(request->messages[1].content == "Which bay is free?");
}

TEST_CASE("What is no chat request is refused with the field that is wrong") {
  const auto refused = [](const char* body, const char* field) {
    std::string reason;
    CHECK(!ParseChatRequest(body, &reason));
    CHECK(reason.find(field) != std::string::npos);
  };
  refused("[]", "JSON object");
  refused(R"({"messages": [{"role": "user", "content": "a"}]})", "model");
  refused(R"({"model": "m", "messages": []})", "messages");
  refused(R"({"model": "m", "messages": [{"role": "user"}]})", "content");
  refused(R"({"model": "m", "max_tokens": 0, "messages": [{"role": "u", "content": ""}]})",
          "max_tokens");
}

TEST_CASE("A priority can only lower the class") {
  CHECK(RequestClassOf("") == RequestClass::kReply);
  CHECK(RequestClassOf("u=0") == RequestClass::kReply);
  CHECK(RequestClassOf("u=3, i") == RequestClass::kReply);
  CHECK(RequestClassOf("u=5") == RequestClass::kDraft);
}

}  // namespace
}  // namespace kumquat
