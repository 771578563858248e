#include "coordination/forwarding/stream_version.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <vector>

#include "coordination/forwarding/stream_origins.h"
#include "property.h"

namespace kumquat {
namespace {

TEST_CASE("A stream keeps to the version whose event came first, not to the one tried first") {
  StreamVersion version;
  version.RunSent("v1");
  CHECK(version.MayRun("v2"));
  CHECK_FALSE(version.MayGoOn("v2"));
  version.RunSent("v2");
  version.EventPassedOn();
  CHECK(version.MayRun("v2"));
  CHECK_FALSE(version.MayRun("v1"));
  CHECK(version.MayGoOn("v2"));
  version.RunSent("v2");
  version.EventPassedOn();
  CHECK(version.required() == "v2");
}

TEST_CASE("A stream that is taken up keeps to the version that it began at") {
  StreamVersion version;
  version.TakeUp("v1");
  CHECK_FALSE(version.MayRun("v2"));
  version.RunSent("v1");
  version.EventPassedOn();
  CHECK(version.MayGoOn("v1"));
  CHECK_FALSE(version.MayGoOn("v2"));
}

// A fleet whose servers are released, and streams that break, move, are copied and taken up.
class JoinedStreams {
 public:
  void Step() {
    switch (Draw(6)) {
      case 0:
        servers_[Draw(servers_.size())] = fmt::format("v{}", ++last_version_ % 4);
        return;
      case 1:
        return Begin();
      case 2:
        return RetryOrTakeUp(false);
      case 3:
        return RetryOrTakeUp(true);
      case 4:
        return GoOnFromMemory();
      default:
        PassEventsOn();
    }
  }

  int joined() const {
    return static_cast<int>(std::count_if(streams_.begin(), streams_.end(),
                                          [](const auto& one) { return one.seen.size() > 1; }));
  }

 private:
  struct Stream {
    StreamVersion version;
    std::string key;
    std::string server_version;
    // The versions whose events the caller has.
    std::set<std::string> seen;
  };

  static std::size_t Draw(std::size_t bound) { return *rc::gen::inRange<std::size_t>(0, bound); }

  void Begin() {
    Stream stream;
    stream.key = StreamKey("a", fmt::format("{}", streams_.size()));
    stream.server_version = servers_[Draw(servers_.size())];
    stream.version.RunSent(stream.server_version);
    streams_.push_back(std::move(stream));
  }

  void PassEventsOn() {
    if (streams_.empty()) return;
    Stream& stream = streams_[Draw(streams_.size())];
    if (stream.server_version.empty()) return;
    stream.version.EventPassedOn();
    stream.seen.insert(stream.server_version);
    records_.Add({stream.key, {"lm", *stream.version.required()}, std::chrono::minutes(1)},
                 Instant(0));
  }

  // Its server broke off, and it is sent elsewhere by the same router, or its caller goes to
  // another router, which knows no more than the record.
  void RetryOrTakeUp(bool at_other_router) {
    if (streams_.empty()) return;
    Stream& stream = streams_[Draw(streams_.size())];
    stream.server_version.clear();
    if (at_other_router && !stream.seen.empty()) {
      stream.version = StreamVersion();
      const auto origin = records_.Find(stream.key, Instant(0));
      if (!origin) return;
      stream.version.TakeUp(origin->software_version);
    }
    const std::string& server = servers_[Draw(servers_.size())];
    if (!stream.version.MayRun(server)) return;
    stream.version.RunSent(server);
    stream.server_version = server;
  }

  void GoOnFromMemory() {
    if (streams_.empty()) return;
    Stream& stream = streams_[Draw(streams_.size())];
    const std::string& server = servers_[Draw(servers_.size())];
    if (stream.server_version.empty() || !stream.version.MayGoOn(server)) return;
    stream.server_version = server;
  }

  std::vector<std::string> servers_{"v0", "v0", "v0", "v1"};
  int last_version_ = 1;
  std::vector<Stream> streams_;
  StreamOrigins records_;
};

TEST_CASE("No stream is joined from two versions by releases, moves, breaks and take-ups") {
  CheckProperty("drawn histories", [] {
    JoinedStreams fleet;
    const int steps = *rc::gen::inRange(0, 200);
    for (int i = 0; i < steps; ++i) fleet.Step();
    RC_ASSERT(fleet.joined() == 0);
  });
}

}  // namespace
}  // namespace kumquat
