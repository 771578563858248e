#include "log_story.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "property.h"

namespace kumquat {
namespace {

std::vector<std::string> Events(const std::vector<LogLine>& story) {
  std::vector<std::string> events;
  events.reserve(story.size());
  for (const LogLine& line : story) events.push_back(line.instance + ":" + line.event);
  return events;
}

TEST_CASE("A line is read with its quoted values") {
  const auto line = ParseLogLine(
      "time=2026-12-04T07:30:00.123Z level=info instance=r1 event=attempt_failed request=a "
      "reason=\"The server said \\\"no\\\" = end\" ms=3\n");
  REQUIRE(line.has_value());
  CHECK(line->instance == "r1");
  CHECK(line->event == "attempt_failed");
  CHECK(line->fields.at("reason") == "The server said \"no\" = end");
  CHECK(line->fields.at("ms") == "3");
}

TEST_CASE("Lines of another form are left out") {
  CHECK_FALSE(ParseLogLine("").has_value());
  CHECK_FALSE(ParseLogLine("Segmentation fault").has_value());
  CHECK_FALSE(ParseLogLine("event=x").has_value());
  CheckProperty("any text", [](const std::string& text) {
    LogStory story;
    story.Add(text);
    RC_ASSERT(story.Tell("a").size() <= 1U);
  });
}

// The on-call engineer has the id, the router's log and control's log.
TEST_CASE("The story joins the request's lines, the beliefs in force and the engine's orders") {
  LogStory story;
  const auto add = [&story](const std::string& second, const std::string& rest) {
    story.Add("time=2026-12-04T07:30:" + second + "Z level=info " + rest);
  };
  add("05.000", "instance=r1 event=request_done request=a outcome=cut");
  add("04.000", "instance=r1 event=attempt_failed request=a backend=e1 failure=broken");
  add("02.000", "instance=r1 event=request_sent request=a backend=e1 weights=3");
  add("02.100", "instance=r1 event=request_sent request=b backend=e1 weights=3");
  add("03.000", "instance=c1 event=order_sent engine=e1 version=4");
  add("03.500", "instance=c1 event=order_sent engine=e2 version=4");
  add("00.000", "instance=r1 event=routing_in_force version=6");
  add("01.000", "instance=r1 event=routing_in_force version=7");
  add("01.000", "instance=r2 event=routing_in_force version=7");
  add("06.000", "instance=c1 event=order_sent engine=e1 version=5");
  const auto told = story.Tell("a");
  CHECK(Events(told) == std::vector<std::string>{"r1:routing_in_force", "r1:request_sent",
                                                 "c1:order_sent", "r1:attempt_failed",
                                                 "r1:request_done"});
  CHECK(told[0].fields.at("version") == "7");
  CHECK(story.Tell("c").empty());
}

}  // namespace
}  // namespace kumquat
