#include "transport/rpc.h"

#include <doctest/doctest.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <random>
#include <vector>

#include "event_loop.h"
#include "libs/transport/byte_relay.h"

namespace kumquat {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kLongest{20};

// A server with the methods "echo" (at once), "keep" (answers when told) and "mute".
struct Service {
  Service() {
    rpc->AddMethod("echo", [](const QJsonObject& params, const RpcReply& reply) {
      reply(params);
      reply({});  // Only the first counts.
    });
    rpc->AddMethod("keep",
                   [this](const QJsonObject&, const RpcReply& reply) { kept.push_back(reply); });
    rpc->AddMethod("mute", [](const QJsonObject&, const RpcReply&) {});
    server =
        MakeFrameServer([this](const std::shared_ptr<FrameConnection>& connection, FrameKind,
                               std::string_view payload) { rpc->Handle(connection, payload); });
    REQUIRE(server->Listen({"127.0.0.1", 0}));
  }

  std::vector<RpcReply> kept;
  std::unique_ptr<RpcServer> rpc = MakeRpcServer();
  std::unique_ptr<FrameServer> server;
};

struct Outcome {
  bool done = false;
  std::optional<QJsonObject> result;
  RpcFailure failure = RpcFailure::kNotSent;
};

struct Caller {
  explicit Caller(std::uint16_t port) {
    client = MakeRpcClient({"127.0.0.1", port},
                           [generator = std::mt19937_64(7)]() mutable { return generator(); });
  }
  bool Connected() const {
    return RunUntil([this] { return client->link().connected(); }, kLongest);
  }
  std::shared_ptr<Outcome> Start(std::string_view method, const QJsonObject& params,
                                 milliseconds timeout) const {
    auto outcome = std::make_shared<Outcome>();
    client->Call(method, params, timeout,
                 [outcome](const std::optional<QJsonObject>& result, RpcFailure failure) {
                   CHECK(!outcome->done);
                   *outcome = {true, result, failure};
                 });
    CHECK(!outcome->done);
    return outcome;
  }
  Outcome Call(std::string_view method, const QJsonObject& params = {},
               milliseconds timeout = kLongest) const {
    const auto outcome = Start(method, params, timeout);
    CHECK(RunUntil([&] { return outcome->done; }, kLongest));
    return *outcome;
  }

  std::unique_ptr<RpcClient> client;
};

TEST_CASE("Calls get their own answers, also late and out of order") {
  Service service;
  const Caller caller(service.server->port());
  CHECK(caller.Call("echo").failure == RpcFailure::kNotSent);
  REQUIRE(caller.Connected());

  const QJsonObject params{{"text", "\"\u00fc\n"},
                           {"big", qint64{9'007'199'254'740'993}},
                           {"half", 0.5},
                           {"list", QJsonArray{1, false, QJsonValue::Null, "x"}},
                           {"object", QJsonObject{{"a", -1}}}};
  CHECK(caller.Call("echo", params).result == params);
  CHECK(caller.Call("echo").result == QJsonObject{});

  const auto first = caller.Start("keep", {}, kLongest);
  const auto second = caller.Start("keep", {}, kLongest);
  REQUIRE(RunUntil([&] { return service.kept.size() == 2; }, kLongest));
  service.kept[1]({{"answer", 2}});
  service.kept[0]({{"answer", 1}});
  REQUIRE(RunUntil([&] { return first->done && second->done; }, kLongest));
  CHECK(first->result->value("answer").toInt() == 1);
  CHECK(second->result->value("answer").toInt() == 2);

  CHECK(caller.Call("mute", {}, milliseconds(50)).failure == RpcFailure::kTimedOut);
  CHECK(caller.Call("none").failure == RpcFailure::kRefused);
}

TEST_CASE("Malformed requests get the standard's error codes") {
  Service service;
  std::string received;
  const auto link = MakeFrameLink(
      {"127.0.0.1", service.server->port()},
      [&](FrameKind, std::string_view payload) { received = payload; }, [] { return 0; });
  REQUIRE(RunUntil([&] { return link->connected(); }, kLongest));
  const auto code_of = [&](const std::string& request) {
    received.clear();
    REQUIRE(link->Send(FrameKind::kJsonRpc, request));
    REQUIRE(RunUntil([&] { return !received.empty(); }, kLongest));
    const auto json = QJsonDocument::fromJson(QByteArray::fromStdString(received)).object();
    return json["error"].toObject()["code"].toInt();
  };
  const std::string nested(100'000, '[');
  for (const std::string& text : {std::string("{"), std::string(), std::string("\xff\0", 2), nested,
                                  std::string(R"({"id":1} x)")}) {
    CHECK(code_of(text) == -32700);
  }
  for (const char* text : {"[]", "7", "{}", R"([{"jsonrpc":"2.0","id":1,"method":"echo"}])",
                           R"({"id":1,"method":"echo"})", R"({"jsonrpc":"2.0","id":1,"method":5})",
                           R"({"jsonrpc":"2.0","id":{},"method":"echo"})",
                           R"({"jsonrpc":"2.0","id":1,"method":"echo","params":5})"}) {
    CAPTURE(text);
    CHECK(code_of(text) == -32600);
  }
  CHECK(code_of(R"({"jsonrpc":"2.0","id":1,"method":"none"})") == -32601);
  CHECK(code_of(R"({"jsonrpc":"2.0","id":1,"method":"echo","params":[1]})") == -32602);
  CHECK(code_of(R"({"jsonrpc":"2.0","id":1,"method":"echo","params":{}})") == 0);
}

TEST_CASE("A call on a connection that froze ends, and calls work again within 3 s") {
  Service service;
  ByteRelay relay(service.server->port());
  const Caller caller(relay.port());
  REQUIRE(caller.Connected());
  relay.Freeze();
  QElapsedTimer timer;
  timer.start();
  const auto lost = caller.Start("echo", {}, kLongest);
  REQUIRE(RunUntil([&] { return lost->done && caller.client->link().connected(); }, kLongest));
  CHECK(lost->failure == RpcFailure::kTimedOut);
  CHECK(caller.Call("echo").result);
  CHECK(timer.elapsed() <= 3000);
}

}  // namespace
}  // namespace kumquat
