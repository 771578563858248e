#include "platform/front_edge.h"

#include <string>
#include <vector>

#include "mutations.h"

namespace kumquat::platform {
namespace {

HttpRequest SomeRequest() {
  HttpRequest http;
  http.method = "POST";
  http.target = "/drafts/1";
  http.headers = {{"Host", "api.example"},
                  {"Kumquatcross-Request-Id", "a1"},
                  {"Kumquatcross-Deadline-Ms", "4000"},
                  {"Api-Key", "key-1"},
                  {"Kumquatcross-Model", "lm"},
                  {"Kumquatcross-Token-Count", "900, 290"},
                  {"Kumquatcross-Prompt-Prefix", "p1:512, p2:256"},
                  {"Kumquatcross-Cache-Salt", "forged"},
                  {"Connection", "keep-alive, X-Hop"},
                  {"X-Hop", "1"},
                  {"X-Own", "2"}};
  http.body = "body";
  return http;
}

ForwardCall SomeCall() {
  ForwardCall call;
  call.backend = {"e1", 5};
  call.organisation = "workshop";
  call.time_left = [] { return std::chrono::milliseconds(1500); };
  call.cache_salt = "3";
  call.expected_weights = 3;
  return call;
}

int Count(const HttpHeaders& headers, std::string_view wanted) {
  int count = 0;
  for (const auto& [name, value] : headers) count += EqualInAnyCase(name, wanted) ? 1 : 0;
  return count;
}

TEST_CASE("A caller's headers become a request with its prompt") {
  const CallerRequest request = MakeForwardCodec().decode_request(SomeRequest());
  CHECK(request.id == "a1");
  CHECK(request.key == "key-1");
  CHECK(request.time_left == std::chrono::milliseconds(4000));
  REQUIRE(request.prompt.has_value());
  CHECK(request.prompt->tokens == 900);
  CHECK(request.prompt->max_answer_tokens == 290);
  REQUIRE(request.prompt->parts.size() == 2);
  CHECK(request.prompt->parts[1].tokens == 256);
}

// A caller must not choose its organisation, its cache or its rank.
TEST_CASE("What only the system may say is replaced, and what is meant for one hop is dropped") {
  const ForwardCodec codec = MakeForwardCodec();
  const CallerRequest request = codec.decode_request(SomeRequest());
  const BackendCallRequest call = codec.encode_call(request, SomeCall());
  CHECK(Count(call.headers, "Api-Key") == 0);
  CHECK(Count(call.headers, "X-Hop") == 0);
  CHECK(HeaderValue(call.headers, "X-Own") == "2");
  CHECK(Count(call.headers, "Kumquatcross-Cache-Salt") == 1);
  CHECK(HeaderValue(call.headers, "Kumquatcross-Cache-Salt") == "3");
  CHECK(HeaderValue(call.headers, "Kumquatcross-Tenant") == "workshop");
  CHECK(Count(call.headers, "Kumquatcross-Deadline-Ms") == 0);
  CHECK(HeaderValue(call.headers_when_written(), "Kumquatcross-Deadline-Ms") == "1500");
  CHECK(HeaderValue(call.headers, "Kumquatcross-Expect-Instance") == "e1");
  CHECK(call.body == "body");
}

TEST_CASE("An answer counts as not run only by the server's word, as genuine only with its stamp") {
  const ForwardCodec codec = MakeForwardCodec();
  const CallerRequest request = codec.decode_request(SomeRequest());
  const HttpHeaders whole = {{"Kumquatcross-Request-Id", "a1"}, {"Kumquatcross-Server-Stamp", "s"}};
  CHECK(codec.decode_head(request, 200, whole).is_from_backend_server);
  CHECK_FALSE(codec.decode_head(request, 200, {}).is_from_backend_server);
  const HttpHeaders foreign = {{"Kumquatcross-Request-Id", "b2"},
                               {"Kumquatcross-Server-Stamp", "s"}};
  CHECK_FALSE(codec.decode_head(request, 200, foreign).is_from_backend_server);
  CHECK(codec.decode_head(request, 421, {}).confirms_not_run);
  CHECK(codec.decode_head(request, 421, {}).is_misdirected);
  const HttpHeaders other_weights = {{"Kumquatcross-Weight-Versions", "4"}};
  CHECK(codec.decode_head(request, 421, other_weights).confirms_not_run);
  CHECK_FALSE(codec.decode_head(request, 421, other_weights).is_misdirected);
  CHECK_FALSE(codec.decode_head(request, 503, {}).confirms_not_run);
  CHECK(codec.decode_head(request, 503, {{"Kumquatcross-Not-Run", "1"}}).confirms_not_run);
}

// Kept from the property below, seed 3756320044: as microseconds the time left came out negative.
TEST_CASE("Numbers beyond what can be reckoned with are left out") {
  const ForwardCodec codec = MakeForwardCodec();
  HttpRequest http = SomeRequest();
  for (auto& [name, value] : http.headers) {
    if (name == "Kumquatcross-Deadline-Ms") value = "9223372036854775807";
    if (name == "Kumquatcross-Prompt-Prefix") value = "a:9223372036854775807,b:9223372036854775807";
    if (name == "Kumquatcross-Token-Count") value = "";
  }
  const CallerRequest request = codec.decode_request(std::move(http));
  CHECK_FALSE(request.time_left);
  REQUIRE(request.prompt);
  CHECK(request.prompt->tokens >= 0);
  CHECK(request.prompt->parts.empty());
}

TEST_CASE("Odd header values crash nothing and give no negative counts") {
  const ForwardCodec codec = MakeForwardCodec();
  CheckProperty("headers", [&] {
    HttpRequest http = SomeRequest();
    for (auto& [name, value] : http.headers) {
      if (*rc::gen::arbitrary<bool>()) value = Garbled(value);
    }
    const CallerRequest request = codec.decode_request(std::move(http));
    if (request.time_left) RC_ASSERT(*request.time_left >= Duration(0));
    if (request.last_event) RC_ASSERT(*request.last_event >= 0);
    if (!request.prompt) return;
    RC_ASSERT(request.prompt->tokens >= 0);
    RC_ASSERT(request.prompt->max_answer_tokens >= 0);
    for (const PromptPart& part : request.prompt->parts) RC_ASSERT(part.tokens >= 0);
    codec.encode_call(request, SomeCall());
  });
  CheckProperty("moves", [&] {
    const MoveAnswer answer = codec.decode_move(200, Garbled(R"({"handle":"h1"})"));
    RC_ASSERT(!answer.has_arrived || !answer.handle.empty());
  });
}

}  // namespace
}  // namespace kumquat::platform
