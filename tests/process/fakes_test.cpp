// The fakes as processes, as routers see them.
#include <QJsonArray>

#include "engine/answer_text.h"
#include "process/relay.h"
#include "process/test_caller.h"
#include "process/test_program.h"
#include "protocol/engine_messages.h"

namespace kumquat {
namespace {

constexpr std::int64_t kIncarnation = 7;
constexpr std::int64_t kAnswerTokens = 20;
const ModelVersion kModel = {"seat-spec", "", "v1"};

QJsonObject UserMessage(std::string_view text) {
  return {{"role", "user"}, {"content", ToQString(text)}};
}

// An engine with its callers.
struct EngineBench {
  explicit EngineBench(const std::string& more = {}, int answer_tokens = 20)
      : program("fake-engine",
                "id = \"e1\"\nlisten = \"" + endpoint.ToString() +
                    "\"\nincarnation = 7\nmodels = \"seat-spec//v1\"\nanswer_tokens = " +
                    std::to_string(answer_tokens) +
                    "\nleave_time_ms = 100\ntoken_interval_ms = 5\n" + more) {
    program.Start();
    REQUIRE(WaitForListener(endpoint));
  }

  static std::string Body(EngineRequest request, std::string_view text = "hello") {
    request.attempt_id = "a1";
    if (request.model == ModelVersion{}) request.model = kModel;
    return ToJsonText({{"messages", QJsonArray{UserMessage(text)}}, {"kumquat", ToJson(request)}});
  }

  std::unique_ptr<TestCall> Chat(const EngineRequest& request, std::string_view text = "hello") {
    return caller.Run(endpoint, "POST", "/v1/chat/completions", {}, Body(request, text));
  }

  Endpoint endpoint = FreeEndpoint();
  TestProgram program;
  TestCaller caller;
};

EngineRequest Request(std::int64_t incarnation = kIncarnation) {
  EngineRequest request;
  request.incarnation = incarnation;
  request.prefix = {"p1", "p2"};
  request.prompt_tokens = 5000;
  return request;
}

void CheckWhole(const TestCall& call, std::int64_t first, std::int64_t last) {
  REQUIRE(call.ended);
  REQUIRE(call.done_marker());
  REQUIRE(call.events.size() == static_cast<std::size_t>(last - first) + 2);
  const std::string hash = AnswerHash({UserMessage("hello")});
  for (std::int64_t i = first; i < last; ++i) {
    const auto event = ParseEngineEvent(call.events[static_cast<std::size_t>(i - first)]);
    REQUIRE(event);
    CHECK(event->offset == i);
    CHECK(event->text == AnswerToken(hash, i));
    CHECK(event->attempt_id == "a1");
  }
  const auto end = ParseEngineEvent(call.events[call.events.size() - 2]);
  REQUIRE(end);
  CHECK(end->is_end);
  CHECK(end->offset == last);
}

TEST_CASE("An engine streams, resumes, caches and refuses") {
  EngineBench bench("[cache_events]\ndelay_ms = 0\n");
  CheckWhole(*bench.Chat(Request()), 0, kAnswerTokens);
  EngineRequest resumed = Request();
  resumed.resume_offset = 12;
  CheckWhole(*bench.Chat(resumed), 12, kAnswerTokens);
  EngineRequest cut_short = Request();
  cut_short.max_tokens = 5;
  CheckWhole(*bench.Chat(cut_short), 0, 5);
  CHECK(bench.Chat(Request(kIncarnation - 1))->status == 409);
  EngineRequest other_model = Request();
  other_model.model = {"other", "", "v1"};
  CHECK(bench.Chat(other_model)->status == 404);
  CHECK(bench.caller.Run(bench.endpoint, "POST", "/v1/chat/completions", {}, "{")->status == 400);

  const QJsonObject stats = bench.caller.GetJson(bench.endpoint, "/stats");
  CHECK(stats["runs"].toInt() == 3);
  CHECK(stats["cached_tokens"].toInt() == 2 * 4096);
  const QJsonObject events = bench.caller.GetJson(bench.endpoint, "/cache/events?after=1");
  CHECK(events["incarnation"].toInt() == kIncarnation);
  CHECK(events["last_sequence"].toInt() == 2);
  CHECK(events["events"].toArray().size() == 1);
  CHECK(bench.caller.GetJson(bench.endpoint, "/cache/blocks")["blocks"].toArray().size() == 2);
}

TEST_CASE("An engine cancels the work of a caller that goes away") {
  // Long enough that it isn't over before a busy machine lets the caller go away.
  EngineBench bench({}, 4000);
  auto call = bench.caller.Start(bench.endpoint, "POST", "/v1/chat/completions", {},
                                 EngineBench::Body(Request()));
  CHECK(SpinUntil([&] { return call->events.size() > 2; }));
  call.reset();
  CHECK(SpinUntil(
      [&] { return bench.caller.GetJson(bench.endpoint, "/stats")["cancelled"].toInt() == 1; }));
}

TEST_CASE("A poison request ends an engine after its answer has begun") {
  EngineBench bench;
  const auto call = bench.Chat(Request(), "please-crash");
  CHECK(call->status == 200);
  CHECK(call->failure == CallFailure::kBroken);
  CHECK(SpinUntil([&] { return !bench.program.running(); }));
}

TEST_CASE("An engine that checks fencing refuses an old order; another obeys it") {
  for (const bool checks : {true, false}) {
    EngineBench bench(std::string("load_ms = 50\nchecks_fencing = ") +
                      (checks ? "true\n" : "false\n"));
    const auto order = [&](std::int64_t number, const std::string& model) {
      const EngineOrder message = {number, {{model, "", "v1"}}};
      return bench.caller.Run(bench.endpoint, "POST", "/orders", {}, ToJsonText(ToJson(message)))
          ->status;
    };
    CHECK(order(5, "new") == 200);
    CHECK(order(4, "old") == (checks ? 409 : 200));
    EngineRequest request = Request();
    request.model = {checks ? "new" : "old", "", "v1"};
    CHECK(SpinUntil([&] { return bench.Chat(request)->status == 200; }));
    CHECK(bench.Chat(Request())->status == 404);
  }
}

TEST_CASE("A leaving engine says so and finishes its streams") {
  std::vector<std::string> states;
  RawServer router([&](QTcpSocket* socket) {
    socket->write("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
  });
  EngineBench bench("routers = [\"gone@127.0.0.1:1\", \"r1@127.0.0.1:" +
                    std::to_string(router.serverPort()) + "\"]\nannounce_interval_ms = 50\n");
  CHECK(SpinUntil([&] { return router.requests > 2; }));
  auto call = bench.caller.Start(bench.endpoint, "POST", "/v1/chat/completions", {},
                                 EngineBench::Body(Request()));
  CHECK(SpinUntil([&] { return call->events.size() > 2; }));
  bench.program.Signal(SIGTERM);
  CHECK(SpinUntil([&] { return !bench.program.running(); }));
  CHECK(SpinUntil([&] { return call->done(); }));
  CheckWhole(*call, 0, kAnswerTokens);
  CHECK(bench.program.exit_status() == 0);
}

TEST_CASE("The booking service counts what ran, also when the answer is lost") {
  const Endpoint endpoint = FreeEndpoint();
  TestProgram program("fake-service", "id = \"s1\"\nlisten = \"" + endpoint.ToString() + "\"\n");
  program.Start();
  REQUIRE(WaitForListener(endpoint));
  TestCaller caller;
  const auto book = [&](const std::string& key, const std::string& fault) {
    return caller.Run(endpoint, "POST", "/book", {{"Idempotency-Key", key}, {"X-Fault", fault}},
                      "{}");
  };
  CHECK(book("k1", "")->status == 201);
  CHECK(book("k2", "close-before-answer")->failure == CallFailure::kBroken);
  CHECK(caller.Run(endpoint, "GET", "/slots")->status == 200);
  const QJsonObject runs = caller.GetJson(endpoint, "/stats")["runs"].toObject();
  CHECK(runs == QJsonObject{{"k1", 1}, {"k2", 1}});
}

TEST_CASE("The weight store refuses what comes too fast") {
  const Endpoint endpoint = FreeEndpoint();
  TestProgram program("fake-weight-store",
                      "id = \"w1\"\nlisten = \"" + endpoint.ToString() + "\"\n");
  program.Start();
  REQUIRE(WaitForListener(endpoint));
  TestCaller caller;
  int refused = 0;
  for (int i = 0; i < 10; ++i) {
    if (caller.Run(endpoint, "GET", "/weights/seat-spec")->status == 429) ++refused;
  }
  CHECK(refused > 0);
}

TEST_CASE("The relay cuts, freezes and silences") {
  EngineBench bench;
  Relay relay(bench.endpoint);
  const auto chat = [&] {
    return bench.caller.Start(relay.endpoint(), "POST", "/v1/chat/completions", {},
                              EngineBench::Body(Request()));
  };
  auto whole = chat();
  CHECK(SpinUntil([&] { return whole->done(); }));
  CheckWhole(*whole, 0, kAnswerTokens);
  auto cut = chat();
  CHECK(SpinUntil([&] { return cut->events.size() > 2; }));
  relay.Cut();
  CHECK(SpinUntil([&] { return cut->failure == CallFailure::kBroken; }));
  auto silent = chat();
  CHECK(SpinUntil([&] { return silent->events.size() > 2; }));
  relay.SilenceOpen();
  TestCaller other;
  CHECK(other.GetJson(relay.endpoint(), "/stats")["runs"].toInt() == 3);
  CHECK(!silent->done());
  relay.Freeze(true);
  auto frozen = other.Start(relay.endpoint(), "GET", "/stats");
  for (int i = 0; i < 10; ++i) QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents, 10);
  CHECK(!frozen->done());
  relay.Freeze(false);
  CHECK(SpinUntil([&] { return frozen->done(); }));
}

}  // namespace
}  // namespace kumquat
