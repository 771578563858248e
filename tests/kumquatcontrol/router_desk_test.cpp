#include "router_desk.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace kumquat {
namespace {

class Link : public FrameConnection {
 public:
  void Send(FrameKind /*kind*/, std::string_view payload) override { sent.emplace_back(payload); }

  std::int64_t waiting_bytes() const override { return 0; }

  std::vector<std::string> sent;
};

class Desk {
 public:
  Desk()
      : desk_({[this] { return now; }, [] { return std::vector<const Document*>(); },
               [this] { return digest; },
               [this](const std::string& router) { exchanged.push_back(router); },
               [this](const std::string& router) { linked.push_back(router); },
               [] { return std::vector<std::string>(); },
               [] { return std::map<std::string, bool>(); }}) {}

  // The router greets with this digest of its table.
  void Greet(const std::string& router, std::uint64_t its_digest, std::int64_t incarnation = 1) {
    auto& link = links[router];
    if (!link) link = std::make_shared<Link>();
    desk_.Receive(link, {router, "d1", incarnation, {}, its_digest});
    now += std::chrono::seconds(1);
  }

  Instant now = std::chrono::hours(1);
  std::uint64_t digest = 5;
  std::vector<std::string> exchanged;
  std::vector<std::string> linked;
  std::map<std::string, std::shared_ptr<Link>> links;
  RouterDesk& desk() { return desk_; }

 private:
  RouterDesk desk_;
};

TEST_CASE("Tables are exchanged with a new router at once, with another once it differs twice") {
  Desk desk;
  desk.Greet("r1", 0);
  CHECK(desk.exchanged.size() == 1);
  desk.Greet("r1", 5);
  // A change is on its way.
  desk.Greet("r1", 4);
  desk.Greet("r1", 5);
  desk.Greet("r1", 4);
  CHECK(desk.exchanged.size() == 1);
  desk.Greet("r1", 3);
  CHECK(desk.exchanged.size() == 2);
  // Until it helps.
  desk.Greet("r1", 3);
  desk.Greet("r1", 3);
  CHECK(desk.exchanged.size() == 3);
  desk.Greet("r1", 0, 2);
  CHECK(desk.exchanged.size() == 4);
}

TEST_CASE(
    "A router is linked anew by its first greeting, after a restart and on another connection") {
  Desk desk;
  desk.Greet("r1", 5);
  desk.Greet("r1", 5);
  CHECK(desk.linked.size() == 1);
  desk.Greet("r1", 5, 2);
  CHECK(desk.linked.size() == 2);
  desk.links["r1"] = nullptr;
  desk.Greet("r1", 5, 2);
  CHECK(desk.linked == std::vector<std::string>(3, "r1"));
}

TEST_CASE("News for all go to the routers that greeted lately") {
  Desk desk;
  desk.Greet("r1", 5);
  desk.now += std::chrono::seconds(3);
  desk.Greet("r2", 5);
  const EngineNews news{{{"e1", 1, true, {}}}, {}};
  desk.desk().SendAll(news);
  CHECK(desk.links["r1"]->sent.back() != Encode(news));
  CHECK(desk.links["r2"]->sent.back() == Encode(news));
}

}  // namespace
}  // namespace kumquat
