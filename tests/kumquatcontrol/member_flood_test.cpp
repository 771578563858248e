#include "member_flood.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace kumquat {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t kMessagesPerSecond = 2000;
constexpr Duration kTick = milliseconds(40);

class Routers {
 public:
  explicit Routers(int count)
      : flood(kMessagesPerSecond,
              [this](std::span<const std::string> to, const GossipMessage& message) {
                messages += static_cast<std::int64_t>(to.size());
                for (const MemberRecord& record : message.records) {
                  told[record.id] = record.sequence;
                  told_at[record.id] = now;
                }
              }) {
    for (int i = 0; i < count; ++i) names.push_back(fmt::format("r{}", i));
  }

  void Change(const std::string& server, std::int64_t sequence) {
    MemberRecord record;
    record.id = server;
    record.sequence = sequence;
    flood.Add(std::span(&record, 1), names, now);
  }

  std::vector<std::string> names;
  std::int64_t messages = 0;
  std::map<std::string, std::int64_t> told;
  std::map<std::string, Instant> told_at;
  Instant now{seconds(1)};
  MemberFlood flood;
};

TEST_CASE("A single change is told at once, to few routers and to many") {
  for (const int count : {7, 300}) {
    Routers routers(count);
    routers.Change("s1", 1);
    CHECK(routers.told.at("s1") == 1);
    CHECK(routers.messages == count);
  }
}

TEST_CASE("245 servers that start within a second cost 300 routers a bounded number of messages") {
  Routers routers(300);
  std::map<std::string, Instant> changed_at;
  for (int tick = 0; tick < 100; ++tick, routers.now += kTick) {
    for (int i = 0; tick < 25 && i < 10; ++i) {
      const std::string server = fmt::format("s{}", tick * 10 + i);
      changed_at[server] = routers.now;
      routers.Change(server, 1);
    }
    routers.flood.Flush(routers.names, routers.now);
  }
  CHECK(routers.told.size() == 250);
  for (const auto& [server, at] : changed_at) {
    CHECK(routers.told_at.at(server) - at <= milliseconds(250));
  }
  // Without the bound they are 250 x 300.
  CHECK(routers.messages <= kMessagesPerSecond * 2);
}

TEST_CASE("Of several changes of a server that wait only the last one is told") {
  Routers routers(300);
  for (int sequence = 1; sequence <= 5; ++sequence) routers.Change("s1", sequence);
  routers.now += seconds(1);
  routers.flood.Flush(routers.names, routers.now);
  CHECK(routers.told.at("s1") == 5);
  CHECK(routers.messages == 600);
}

}  // namespace
}  // namespace kumquat
