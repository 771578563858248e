#include "protocol/control_news.h"

#include <QCborArray>
#include <QCborValue>
#include <string>
#include <vector>

#include "mutations.h"

namespace kumquat {
namespace {

std::vector<ControlNews> OneOfEach() {
  RouterHello hello;
  hello.router = "r1";
  hello.failure_domain = "north";
  hello.incarnation = 5;
  hello.versions = {{"routing", 7}, {"weights/lm", 3}};
  hello.members_digest = 0xfedcba9876543210;
  EngineNews engines;
  engines.engines = {{"e1", 4, true, {{"lm", 2}}}, {"e2", 1, false, {}}};
  engines.named = {{"lm", 3, std::chrono::milliseconds(7500)}};
  engines.engines[0].unordered_until = std::chrono::seconds(8);
  engines.others_unordered_until = std::chrono::seconds(9);
  engines.move_targets = {"e2", "e3"};
  CacheNews cache;
  cache.source = "e1";
  cache.epoch = 2;
  cache.from = 10;
  cache.next = 12;
  cache.is_snapshot = true;
  cache.changes = {{0x123456789abcdef0, 512}, {1, 0}};
  LoadNews loads;
  loads.routers = {{"r1", {{"e1", 4, 9000, 20'000, 5000}}}, {"r2", {}}};
  SuspectNews suspects;
  suspects.router = "r1";
  suspects.is_summary = true;
  suspects.accused_hash = 0xfedcba9876543210;
  suspects.entries.resize(2);
  suspects.entries[0].suspect = {std::string("\0digest", 7), 2};
  suspects.entries[0].crashes = {{1, Duration(5)}, {9, Duration(7)}};
  suspects.entries[1].suspect = {"cleared", kRequestDepth};
  suspects.entries[1].cleared_age = std::chrono::milliseconds(3);
  HintNews hints;
  hints.cache = {cache, cache};
  hints.loads = {{"e1", 4, 9000, 20'000, 5000}, {"e2", 1, 0, 0}};
  hints.routers = 59;
  return {
      hello,
      DocumentNews{{{"routing", 7, std::string("\0bytes", 6)}}},
      MemberNews{"c1", "{}"},
      FleetNews{{"10.0.0.1:7000"}, 6, {{"10.0.0.2:9000", true}}, Instant(7), Instant(9)},
      engines,
      cache,
      CacheWanted{"r1", "e1"},
      loads,
      suspects,
      hints,
      PartsWanted{{1, 0xfedcba9876543210}},
      QuotaAsked{"r1", 5, 6, {{"workshop", {900, 9200}, 4000, -30}, {"desk", {}, 0, 7}}},
      QuotaGranted{"r1", 5, 6, 3, {{"workshop", 10'100, std::chrono::milliseconds(70), 12}}},
      TrialNews{{SuspectTrial{7, {{"digest", 2}}, TrialState::kAnnounced, Duration(5), {}, 0, {}},
                 SuspectTrial{0xfedcba9876543210,
                              {{"one", kRequestDepth}, {"two", 0}},
                              TrialState::kCrashed,
                              Duration(9),
                              Duration(8),
                              0xfedcba9876543211,
                              Duration(7)}},
                {ServerCrash{0xfedcba9876543211, Duration(3)}}},
      StreamNews{{{"0123456789abcdef", {"desk", "v1"}, std::chrono::milliseconds(4321)},
                  {std::string(1, '\0') + "123456789abcdef", {"desk", "v2"}, Duration(0)}}},
      StreamAsked{"r1", 9, "0123456789abcdef"},
      StreamTold{9, StreamOrigin{"desk", "v1"}},
      StreamTold{10, std::nullopt}};
}

TEST_CASE("News survive their encoding") {
  for (const ControlNews& news : OneOfEach()) {
    CAPTURE(news.index());
    CHECK(DecodeControlNews(Encode(news)) == news);
  }
}

// Guards against processes of the version before, whose loads would seem to hold up no urgent
// request.
TEST_CASE("A load that doesn't tell its urgent tokens counts as urgent") {
  const QByteArray engine("e1");
  const QCborArray load{QCborValue(engine), 4, 9000, 20'000};
  const QCborArray router{QCborValue(QByteArray("r1")), QCborArray{load}};
  const auto index = static_cast<qint64>(ControlNews(LoadNews{}).index());
  const QByteArray bytes = QCborValue(QCborArray{index, QCborArray{QCborArray{router}}}).toCbor();
  const auto news = DecodeControlNews(bytes.toStdString());
  REQUIRE(news);
  const LoadNews expected{{{"r1", {{"e1", 4, 9000, 20'000, 9000}}}}};
  CHECK(std::get<LoadNews>(*news) == expected);
}

TEST_CASE("News that are cut short are refused, and changed bytes crash nothing") {
  for (const ControlNews& news : OneOfEach()) {
    const std::string whole = Encode(news);
    CheckProperty("cut", [&] { RC_ASSERT(!DecodeControlNews(CutShort(whole))); });
    CheckProperty("garbled", [&] { DecodeControlNews(Garbled(whole)); });
  }
}

}  // namespace
}  // namespace kumquat
