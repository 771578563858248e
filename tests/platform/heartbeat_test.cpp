#include "platform/heartbeat.h"

#include "mutations.h"
#include "protocol/json_fields.h"

namespace kumquat::platform {
namespace {

QJsonObject SomeHeartbeat() {
  const QJsonObject model{{"name", "lm"}, {"version", 3}};
  return {{"service", "seat-lm"},
          {"zone", "north"},
          {"addr", "10.0.0.7:8080"},
          {"born", 1700000000},
          {"seq", 12},
          {"slots", 24},
          {"state", "ready"},
          {"models", QJsonArray{model}}};
}

std::optional<Announcement> Decode(const QJsonObject& json) {
  std::string reason;
  return DecodeHeartbeat("i-1", ToJsonText(json), &reason);
}

TEST_CASE("A heartbeat says where the server is, what it runs and which run of it this is") {
  const auto said = Decode(SomeHeartbeat());
  REQUIRE(said.has_value());
  CHECK(said->backend_id == "i-1");
  CHECK(said->incarnation == 1700000000);
  CHECK(said->sequence == 12);
  CHECK(said->endpoint == Endpoint{"10.0.0.7", 8080});
  CHECK(said->state == BackendState::kServing);
  CHECK(said->kind == BackendKind::kEngine);
  REQUIRE(said->models.size() == 1);
  CHECK(said->models[0].version == "3");
  QJsonObject draining = SomeHeartbeat();
  draining["state"] = "draining";
  CHECK(Decode(draining)->state == BackendState::kLeaving);
}

TEST_CASE("A heartbeat that lacks a field or has one of another type is refused with a reason") {
  for (const char* field : {"service", "addr", "born", "seq", "slots", "state"}) {
    CAPTURE(field);
    QJsonObject json = SomeHeartbeat();
    json.remove(QLatin1String(field));
    CHECK_FALSE(Decode(json).has_value());
    json = SomeHeartbeat();
    json[QLatin1String(field)] = QJsonArray{1};
    std::string reason;
    CHECK_FALSE(DecodeHeartbeat("i-1", ToJsonText(json), &reason).has_value());
    CHECK(reason.find(field) != std::string::npos);
  }
  QJsonObject odd = SomeHeartbeat();
  odd["state"] = "asleep";
  CHECK_FALSE(Decode(odd).has_value());
  odd = SomeHeartbeat();
  odd["addr"] = "example.org:80";
  CHECK_FALSE(Decode(odd).has_value());
  odd = SomeHeartbeat();
  odd["slots"] = 0;
  CHECK_FALSE(Decode(odd).has_value());
}

TEST_CASE("Garbled heartbeats crash nothing, and those cut short are never taken") {
  const std::string whole = ToJsonText(SomeHeartbeat());
  CheckProperty("cut", [&] {
    std::string reason;
    RC_ASSERT(!DecodeHeartbeat("i-1", CutShort(whole), &reason));
    RC_ASSERT(!reason.empty());
  });
  CheckProperty("garbled", [&] {
    std::string reason;
    const auto said = DecodeHeartbeat("i-1", Garbled(whole), &reason);
    RC_ASSERT(said.has_value() == reason.empty());
    if (!said) return;
    RC_ASSERT(said->endpoint.port != 0);
    RC_ASSERT(said->concurrent_requests >= 1);
    RC_ASSERT(!said->service.empty());
  });
}

}  // namespace
}  // namespace kumquat::platform
