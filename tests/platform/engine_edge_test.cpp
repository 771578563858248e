#include "platform/engine_edge.h"

#include "mutations.h"
#include "protocol/json_fields.h"

namespace kumquat::platform {
namespace {

QJsonObject SomeReport() {
  return {{"busy", true},
          {"seq", 4},
          {"models", QJsonArray{QJsonObject{{"name", "lm"}, {"version", 3}}}}};
}

QJsonObject SomeEvents() {
  return {{"bootEpoch", 9},
          {"next", 3},
          {"lost", false},
          {"events", QJsonArray{QJsonArray{1, "+", "salt", "part", 512, "lm"},
                                QJsonArray{2, "-", "salt", "part", 0, "lm"}}}};
}

TEST_CASE("A report tells the weights, whether an order is under way and how many there were") {
  const EngineCodec codec = MakeEngineCodec();
  const auto state = codec.decode_look(200, ToJsonText(SomeReport()));
  REQUIRE(state.has_value());
  CHECK(state->is_busy);
  CHECK(state->orders == 4);
  CHECK(state->weights.at("lm") == 3);
  CHECK_FALSE(codec.decode_look(500, ToJsonText(SomeReport())).has_value());
}

// A count of orders that was made up would let an order through that the engine should refuse.
TEST_CASE("A report that lacks a field is no report") {
  const EngineCodec codec = MakeEngineCodec();
  for (const char* key : {"busy", "seq"}) {
    QJsonObject json = SomeReport();
    json.remove(QLatin1String(key));
    CHECK_FALSE(codec.decode_look(200, ToJsonText(json)).has_value());
  }
  CheckProperty("cut",
                [&] { RC_ASSERT(!codec.decode_look(200, CutShort(ToJsonText(SomeReport())))); });
  CheckProperty("garbled", [&] {
    const auto state = codec.decode_look(200, Garbled(ToJsonText(SomeReport())));
    if (state) RC_ASSERT(state->orders >= 0);
  });
}

TEST_CASE("An order names its engine, the fencing number and the orders that it expects") {
  const EngineCodec codec = MakeEngineCodec();
  OrderWeights order;
  order.id = "e1";
  order.model = "lm";
  order.version = 5;
  order.expected_orders = 4;
  const BackendCallRequest request = codec.encode_order(order, {"c1", 11});
  const auto body = ParseJsonObject(request.body);
  REQUIRE(body.has_value());
  CHECK(body->value(QLatin1String("version")).toInteger() == 5);
  CHECK(request.body.find("11") != std::string::npos);
  CHECK(request.body.find("c1") != std::string::npos);
  CHECK(HeaderValue(request.headers, "Kumquatcross-Expect-Instance") == "e1");
}

TEST_CASE("A list tells all that is held, and one that is garbled tells nothing wrong") {
  const PartEventCodec codec = MakePartEventCodec();
  const QJsonObject json{{"bootEpoch", 9},
                         {"next", 3},
                         {"held", QJsonArray{QJsonArray{"salt", "part", 512, "lm"},
                                             QJsonArray{"salt", "other", 64, "lm"}}}};
  const auto list = codec.decode_list(200, ToJsonText(json));
  REQUIRE(list.has_value());
  CHECK(list->epoch == 9);
  CHECK(list->next == 3);
  REQUIRE(list->events.size() == 2);
  CHECK(list->events[0].part == "part");
  CHECK(list->events[0].tokens == 512);
  CHECK_FALSE(codec.decode_list(429, ToJsonText(json)).has_value());
  CheckProperty("cut", [&] { RC_ASSERT(!codec.decode_list(200, CutShort(ToJsonText(json)))); });
  CheckProperty("garbled", [&] { codec.decode_list(200, Garbled(ToJsonText(json))); });
}

TEST_CASE("Cache events tell what is held, and a read that is garbled tells nothing wrong") {
  const PartEventCodec codec = MakePartEventCodec();
  const auto events = codec.decode_read(200, ToJsonText(SomeEvents()));
  REQUIRE(events.has_value());
  CHECK(events->epoch == 9);
  CHECK(events->next == 3);
  REQUIRE(events->events.size() == 2);
  CHECK(events->events[0].tokens == 512);
  CHECK(events->events[1].tokens == 0);
  CHECK(codec.decode_read(429, "").has_value());
  CHECK_FALSE(codec.decode_read(500, ToJsonText(SomeEvents())).has_value());
  CheckProperty("cut",
                [&] { RC_ASSERT(!codec.decode_read(200, CutShort(ToJsonText(SomeEvents())))); });
  CheckProperty("garbled", [&] { codec.decode_read(200, Garbled(ToJsonText(SomeEvents()))); });
}

}  // namespace
}  // namespace kumquat::platform
