#include "transport/sse_parser.h"

#include "property.h"

namespace kumquat {
namespace {

using Events = std::vector<std::string>;

struct Event {
  Events lines;
  bool crlf = false;
  bool space = false;
  bool comment = false;
};

std::string Render(const Event& event) {
  const std::string line_end = event.crlf ? "\r\n" : "\n";
  std::string text = event.comment ? ": comment" + line_end + "id: 7" + line_end : "";
  for (const std::string& line : event.lines) {
    text += event.space ? "data: " : "data:";
    text += line;
    text += line_end;
  }
  return text + line_end;
}

std::string Joined(const Events& lines) {
  std::string text = lines.front();
  for (std::size_t i = 1; i < lines.size(); ++i) text += '\n' + lines[i];
  return text;
}

rc::Gen<Event> AnyEvent() {
  const auto line = rc::gen::container<std::string>(rc::gen::elementOf(std::string("ab:{}\"x")));
  return rc::gen::build<Event>(
      rc::gen::set(&Event::lines, rc::gen::nonEmpty(rc::gen::container<Events>(line))),
      rc::gen::set(&Event::crlf), rc::gen::set(&Event::space), rc::gen::set(&Event::comment));
}

TEST_CASE("Any split of the bytes gives the same events") {
  CheckProperty("split", [] {
    const auto events = *rc::gen::container<std::vector<Event>>(AnyEvent());
    std::string text;
    Events expected;
    for (const Event& event : events) {
      text += Render(event);
      expected.push_back(Joined(event.lines));
    }
    SseParser parser;
    Events seen;
    for (std::string_view rest = text; !rest.empty();) {
      const auto size = *rc::gen::inRange<std::size_t>(1, rest.size() + 1);
      parser.Feed(rest.substr(0, size), [&](std::string_view data) { seen.emplace_back(data); });
      rest.remove_prefix(size);
      if (!rest.empty()) RC_ASSERT(seen.size() <= expected.size());
    }
    RC_ASSERT(seen == expected);
    RC_ASSERT(!parser.mid_event());
  });
}

TEST_CASE("An event without an end is neither shown nor kept without bound") {
  SseParser parser;
  const auto unexpected = [](std::string_view) { FAIL("An event was shown."); };
  parser.Feed("data: half", unexpected);
  CHECK(parser.mid_event());
  const std::string piece(1024 * 1024, 'x');
  for (int i = 0; i < 8; ++i) parser.Feed(piece, unexpected);
  CHECK(parser.overflowed());
}

}  // namespace
}  // namespace kumquat
