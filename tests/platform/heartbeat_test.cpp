#include "platform/heartbeat.h"

#include "mutations.h"
#include "protocol/json_fields.h"

namespace kumquat::platform {
namespace {

QJsonObject SomeHeartbeat() {
  const QJsonObject model{{"name", "lm"}, {"version", 3}};
  return {{"service", "seat-lm"}, {"zone", "north"},  {"addr", "10.0.0.7:8080"},
          {"born", 1700000000},   {"seq", 12},        {"version", "v2.1"},
          {"slots", 24},          {"state", "ready"}, {"models", QJsonArray{model}}};
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
  CHECK(said->software_version == "v2.1");
  QJsonObject draining = SomeHeartbeat();
  draining["state"] = "draining";
  CHECK(Decode(draining)->state == BackendState::kLeaving);
}

TEST_CASE("A heartbeat that lacks a field or has one of another type is refused with a reason") {
  for (const char* field : {"service", "addr", "born", "seq", "slots", "state", "version"}) {
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

TEST_CASE("A heartbeat with a number, name or list beyond what processes exchange is refused") {
  const auto is_refused = [](const char* field, const QJsonValue& value) {
    CAPTURE(field);
    QJsonObject json = SomeHeartbeat();
    json[QLatin1String(field)] = value;
    return !Decode(json).has_value();
  };
  for (const char* field : {"born", "seq", "slots"}) {
    for (const double number : {1e300, 1e19, -1.0, -1e300}) CHECK(is_refused(field, number));
  }
  CHECK(is_refused("slots", 0));
  CHECK(is_refused("slots", 2'000'000'000));
  for (const char* address :
       {"10.0.0.7:0", "10.0.0.7:65536", "10.0.0.7:-1", "10.0.0.7:", "999.1.1.1:80", "1.2.3:80",
        "....:80", "10.0.0.7:99999999999999999999"}) {
    CHECK(is_refused("addr", address));
  }
  CHECK(is_refused("service", QString(300, QLatin1Char('x'))));
  CHECK(is_refused("zone", QString(300, QLatin1Char('x'))));
  QJsonArray models;
  for (int i = 0; i < 400; ++i) models.append(QJsonObject{{"name", "lm"}, {"version", 1}});
  CHECK(is_refused("models", models));
  CHECK(is_refused("models", QJsonArray{QJsonObject{{"name", ""}, {"version", 1}}}));
  std::string reason;
  CHECK_FALSE(DecodeHeartbeat(std::string(300, 'i'), ToJsonText(SomeHeartbeat()), &reason));
}

TEST_CASE("A deeply nested heartbeat is refused") {
  const std::string nested = std::string(1'000'000, '[') + std::string(1'000'000, ']');
  std::string text = ToJsonText(SomeHeartbeat());
  text.insert(1, "\"more\":" + nested + ",");
  std::string reason;
  CHECK_FALSE(DecodeHeartbeat("i-1", text, &reason));
}

TEST_CASE("What is accepted of a heartbeat is accepted by every process that is told of it") {
  CheckProperty("told on", [] {
    QJsonObject json = SomeHeartbeat();
    const auto odd_number = rc::gen::element(1e300, 4e9, 2e5, 99999.0, 9e18, 1.0, 0.0);
    const auto odd_text = rc::gen::element(0, 1, 255, 256, 257, 5000);
    for (const char* field : {"born", "seq", "slots"}) {
      if (*rc::gen::arbitrary<bool>()) json[QLatin1String(field)] = *odd_number;
    }
    for (const char* field : {"service", "zone"}) {
      if (*rc::gen::arbitrary<bool>()) {
        json[QLatin1String(field)] = QString(*odd_text, QLatin1Char('x'));
      }
    }
    QJsonArray models;
    const int count = *rc::gen::element(0, 1, 256, 257);
    const QString name(*odd_text, QLatin1Char('m'));
    for (int i = 0; i < count; ++i) models.append(QJsonObject{{"name", name}, {"version", 1}});
    json["models"] = models;
    const std::string id(static_cast<std::size_t>(*odd_text), 'i');
    std::string reason;
    const auto said = DecodeHeartbeat(id, ToJsonText(json), &reason);
    if (!said) return;
    const auto told = ParseAnnouncement(ToJson(*said), &reason);
    RC_ASSERT(told.has_value());
    RC_ASSERT(told->backend_id == said->backend_id);
    RC_ASSERT(told->sequence == said->sequence);
  });
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
