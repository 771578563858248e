#include "transport/event_splitter.h"

#include <fmt/format.h>

#include <optional>
#include <string>
#include <vector>

#include "property.h"

namespace kumquat {
namespace {

struct Event {
  std::string bytes;
  std::optional<std::int64_t> id;

  bool operator==(const Event&) const = default;
};

// However the bytes are cut on their way, the same whole events come out as they were written.
TEST_CASE("Events come whole and unchanged, however their bytes arrive") {
  CheckProperty("split", [] {
    std::vector<Event> written;
    std::string stream;
    const int events = *rc::gen::inRange(0, 12);
    for (int i = 0; i < events; ++i) {
      Event event;
      const bool has_id = *rc::gen::arbitrary<bool>();
      if (has_id) event.id = i + 1;
      if (has_id) event.bytes += fmt::format("id: {}\n", i + 1);
      const int lines = *rc::gen::inRange(1, 4);
      for (int line = 0; line < lines; ++line) event.bytes += fmt::format("data: {}\n", line);
      event.bytes += '\n';
      stream += event.bytes;
      written.push_back(std::move(event));
    }
    const bool has_rest = *rc::gen::arbitrary<bool>();
    if (has_rest) stream += "data: not whole\n";
    EventSplitter splitter;
    std::vector<Event> read;
    std::string_view rest = stream;
    while (!rest.empty()) {
      const auto size = *rc::gen::inRange<std::size_t>(1, rest.size() + 1);
      splitter.Feed(rest.substr(0, size), [&read](const RawEvent& event) {
        read.push_back({std::string(event.bytes), event.id});
        return true;
      });
      rest.remove_prefix(size);
    }
    RC_ASSERT(read == written);
    RC_ASSERT(splitter.mid_event() == has_rest);
    RC_ASSERT(!splitter.overflowed());
  });
}

TEST_CASE("An event that never ends is given up") {
  EventSplitter splitter;
  const std::string line = "data: " + std::string(64 * 1024, 'x') + "\n";
  int events = 0;
  for (int i = 0; i < 100; ++i) {
    splitter.Feed(line, [&events](const RawEvent&) {
      ++events;
      return true;
    });
  }
  CHECK(splitter.overflowed());
  CHECK(events == 0);
}

}  // namespace
}  // namespace kumquat
