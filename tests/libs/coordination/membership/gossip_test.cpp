#include "coordination/membership/gossip.h"

#include <QJsonArray>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>

#include "property.h"

namespace kumquat {
namespace {

constexpr std::size_t kMaxNeighbours = 4;

// Routers that exchange messages through a lossy queue.
class RouterGroup {
 public:
  RouterGroup(std::size_t size, std::uint64_t seed, int loss_percent)
      : random_(seed), loss_percent_(loss_percent) {
    std::vector<std::string> names;
    for (std::size_t i = 0; i < size; ++i) names.push_back("router-" + std::to_string(i));
    for (const std::string& name : names) {
      Node& node = nodes_[name];
      const auto send = [this, name](std::span<const std::string> to,
                                     const GossipMessage& message) {
        for (const std::string& other : to) queue_.push_back({name, other, message});
      };
      node.gossip = std::make_unique<Gossip>(&node.table, send, [this] { return random_(); });
      node.gossip->SetNeighbours(GossipNeighbours(name, names, kMaxNeighbours));
    }
  }

  void Learn(std::size_t router, const MemberRecord& record) {
    nodes_.at("router-" + std::to_string(router)).gossip->Learn(record, Instant(0));
  }

  void Lose(int percent) { loss_percent_ = percent; }

  void Deliver() {
    while (!queue_.empty()) {
      const Delivery delivery = queue_.front();
      queue_.pop_front();
      if (static_cast<int>(random_() % 100) < loss_percent_) continue;
      nodes_.at(delivery.to).gossip->Receive(delivery.from, delivery.message, Instant(0));
    }
  }

  void RunWithoutLoss(int rounds) {
    loss_percent_ = 0;
    for (int round = 0; round < rounds; ++round) {
      for (auto& [name, node] : nodes_) node.gossip->Tick();
      Deliver();
    }
  }

  std::set<std::uint64_t> digests() const {
    std::set<std::uint64_t> digests;
    for (const auto& [name, node] : nodes_) digests.insert(node.table.digest());
    return digests;
  }

  std::int64_t records_sent() const {
    std::int64_t sent = 0;
    for (const auto& [name, node] : nodes_) sent += node.gossip->records_sent();
    return sent;
  }

 private:
  struct Node {
    MemberTable table;
    std::unique_ptr<Gossip> gossip;
  };
  struct Delivery {
    std::string from;
    std::string to;
    GossipMessage message;
  };
  std::map<std::string, Node> nodes_;
  std::deque<Delivery> queue_;
  std::mt19937_64 random_;
  int loss_percent_;
};

// The lowest three bits of `state` say whether the engine is leaving, down, and (if down) silent
// rather than proven down.
MemberRecord Engine(int id, int incarnation, int state) {
  Announcement announcement;
  announcement.backend_id = "engine-" + std::to_string(id);
  announcement.endpoint = {"127.0.0.1", 9000};
  announcement.incarnation = incarnation;
  announcement.state = (state & 1) != 0 ? BackendState::kLeaving : BackendState::kServing;
  MemberRecord record = RecordOf(announcement);
  record.down = (state & 2) != 0;
  record.is_silent = record.down && (state & 4) != 0;
  return record;
}

TEST_CASE("Comparing digests makes tables agree after messages were lost") {
  CheckProperty("tables have equal digests after losses and 20 rounds without loss", [] {
    const auto size = static_cast<std::size_t>(*rc::gen::inRange(2, 24));
    RouterGroup group(size, *rc::gen::arbitrary<std::uint64_t>(), *rc::gen::inRange(0, 60));
    const auto records = *rc::gen::inRange(1, 12);
    for (int i = 0; i < records; ++i) {
      const auto router = *rc::gen::inRange<std::size_t>(0, size);
      group.Learn(router, Engine(*rc::gen::inRange(0, 3), *rc::gen::inRange(1, 4),
                                 *rc::gen::inRange(0, 8)));
      group.Deliver();
    }
    group.RunWithoutLoss(20);
    RC_ASSERT(group.digests().size() == 1U);
  });
}

TEST_CASE("A change reaches all of 350 routers with at most 9 records sent per router") {
  constexpr std::size_t kRouters = 350;
  constexpr std::size_t kNeighbours = 9;
  std::vector<std::string> names;
  for (std::size_t i = 0; i < kRouters; ++i) names.push_back("router-" + std::to_string(i));
  for (const std::string& name : names) {
    CHECK(GossipNeighbours(name, names, kNeighbours).size() == kNeighbours);
  }
  RouterGroup group(kRouters, 1, 0);
  group.Learn(0, Engine(1, 1, 0));
  group.Deliver();
  CHECK(group.digests().size() == 1);
  CHECK(group.records_sent() <= static_cast<std::int64_t>(kRouters * kNeighbours));
}

TEST_CASE("A lost change of one of 1,000 servers is repaired without sending the tables") {
  RouterGroup group(2, 1, 0);
  for (int id = 0; id < 1000; ++id) group.Learn(0, Engine(id, 1, 0));
  group.Deliver();
  REQUIRE(group.digests().size() == 1);
  const std::int64_t before = group.records_sent();
  group.Lose(100);
  group.Learn(0, Engine(7, 2, 0));
  group.Deliver();
  REQUIRE(group.digests().size() == 2);
  group.RunWithoutLoss(1);
  CHECK(group.digests().size() == 1);
  CHECK(group.records_sent() - before <= 100);
}

TEST_CASE("Gossip survives its encoding, and odd parts of it ask for nothing") {
  GossipMessage message;
  message.buckets.assign(kMemberBuckets, 0xfedcba9876543210);
  message.wanted_buckets = {0, 63};
  std::string reason;
  CHECK(ParseGossipMessage(ToJson(message), &reason) == message);
  QJsonObject json = ToJson(message);
  json["buckets"] = QJsonArray{"1", "2"};
  json["wanted_buckets"] = QJsonArray{64, -1, "x", 1.5e300};
  const auto parsed = ParseGossipMessage(json, &reason);
  REQUIRE(parsed);
  CHECK(parsed->buckets.empty());
  CHECK(parsed->wanted_buckets.empty());
}

TEST_CASE("A malformed record doesn't keep the other records of its message from being merged") {
  MemberRecord good;
  good.id = "s1";
  good.endpoint = {"10.0.0.7", 8080};
  QJsonObject json = ToJson(GossipMessage{{good, good}, 7, false});
  QJsonArray records = json["records"].toArray();
  QJsonObject odd = records[0].toObject();
  odd["incarnation"] = 1e300;
  records.insert(1, odd);
  records.append(QJsonValue(5));
  json["records"] = records;
  std::string reason;
  const auto message = ParseGossipMessage(json, &reason);
  REQUIRE(message);
  CHECK(message->records.size() == 2);
  CHECK(message->digest == 7);
  CHECK_FALSE(reason.empty());
}

}  // namespace
}  // namespace kumquat
