#include "protocol/announcement.h"

#include <doctest/doctest.h>

#include "protocol/engine_messages.h"
#include "protocol/json_fields.h"

namespace kumquat {
namespace {

Announcement SomeEngine() {
  Announcement engine;
  engine.backend_id = "engine-1";
  engine.endpoint = {"127.0.0.1", 9001};
  engine.failure_domain = "north";
  engine.incarnation = 7;
  engine.sequence = 3;
  engine.software_version = "2.1";
  engine.models = {{"seat-spec", "", "v1"}};
  engine.concurrent_requests = 8;
  engine.load = {1, 2, 3};
  return engine;
}

TEST_CASE("An announcement survives its JSON form") {
  std::string reason;
  CHECK(ParseAnnouncement(ToJson(SomeEngine()), &reason) == SomeEngine());
}

TEST_CASE("An absurd announcement is refused with the field that is wrong") {
  const auto refused_for = [](const char* key, const QJsonValue& value) {
    QJsonObject json = ToJson(SomeEngine());
    json[QLatin1String(key)] = value;
    std::string reason;
    CHECK(!ParseAnnouncement(json, &reason));
    CHECK(reason.find(key) != std::string::npos);
  };
  refused_for("address", "example.org:80");
  refused_for("incarnation", -1);
  refused_for("concurrent_requests", 0);
  refused_for("kind", "toaster");
  refused_for("prefill_ms_per_1k_tokens", -5);
  refused_for("backend_id", "");
  refused_for("models", "all");
}

TEST_CASE("Engine events survive their text form") {
  EngineEvent token{"attempt-1", 4, "tok\"en\n", false, "", {}};
  EngineEvent end{"attempt-1", 5, "", true, "stop", {100, 60, 5}};
  CHECK(ParseEngineEvent(ToJsonText(token)) == token);
  CHECK(ParseEngineEvent(ToJsonText(end)) == end);
  CHECK(!ParseEngineEvent("[DONE]"));
}

}  // namespace
}  // namespace kumquat
