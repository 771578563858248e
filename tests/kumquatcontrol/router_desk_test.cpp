#include "router_desk.h"

#include <fmt/format.h>

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

  std::int64_t waiting_bytes() const override { return waiting; }

  std::vector<std::string> sent;
  std::int64_t waiting = 0;
};

class Desk {
 public:
  Desk()
      : desk_({[this] { return now; },
               [this] {
                 std::vector<const Document*> pointers;
                 for (const Document& document : documents) pointers.push_back(&document);
                 return pointers;
               },
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
  std::vector<Document> documents;
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

std::vector<std::int64_t> VersionsSent(const Link& link) {
  std::vector<std::int64_t> versions;
  for (const std::string& sent : link.sent) {
    const auto news = DecodeControlNews(sent);
    const auto* documents = news ? std::get_if<DocumentNews>(&*news) : nullptr;
    if (documents) versions.push_back(documents->documents.front().version);
  }
  return versions;
}

// Each version of a configuration waited in memory, for each router that didn't read.
TEST_CASE("Documents don't pile up for a router that reads nothing; later it gets the newest") {
  Desk desk;
  desk.Greet("r1", 5);
  desk.Greet("r2", 5);
  desk.links["r1"]->waiting = 1024 * 1024;
  for (std::int64_t version = 1; version <= 20; ++version) {
    desk.documents = {{"routing", version, "routes"}};
    desk.desk().PushDocuments();
  }
  CHECK(VersionsSent(*desk.links["r1"]).empty());
  CHECK(VersionsSent(*desk.links["r2"]).size() == 20);
  desk.desk().PushUnsentDocuments();
  CHECK(VersionsSent(*desk.links["r1"]).empty());
  desk.links["r1"]->waiting = 0;
  desk.desk().PushUnsentDocuments();
  CHECK(VersionsSent(*desk.links["r1"]) == std::vector<std::int64_t>{20});
}

// A core machine has 256 MB, and a configuration may have 4 MB.
TEST_CASE("A large document is queued for some routers at a time, and reaches all") {
  constexpr int kRouters = 300;
  constexpr std::size_t kDocumentBytes = 4 * 1024 * 1024;
  constexpr std::size_t kMaxQueuedBytes = 32 * 1024 * 1024;
  Desk desk;
  const Instant begun = desk.now;
  for (int i = 0; i < kRouters; ++i) {
    desk.now = begun;
    desk.Greet(fmt::format("r{}", i), 5);
  }
  desk.documents = {{"routing", 1, std::string(kDocumentBytes, 'r')}};
  desk.desk().PushDocuments();
  std::size_t served = 0;
  for (int push = 0; push < kRouters && served < kRouters; ++push) {
    std::size_t queued_bytes = 0;
    for (auto& [name, link] : desk.links) {
      const auto versions = VersionsSent(*link);
      CHECK(versions.size() <= 1);
      if (versions.empty()) continue;
      ++served;
      queued_bytes += link->sent.back().size();
      link->sent.clear();
    }
    CHECK(queued_bytes <= kMaxQueuedBytes);
    desk.desk().PushUnsentDocuments();
  }
  CHECK(served == kRouters);
}

TEST_CASE("News for all go to the routers that greeted lately") {
  Desk desk;
  desk.Greet("r1", 5);
  desk.now += std::chrono::seconds(3);
  desk.Greet("r2", 5);
  EngineNews news;
  news.engines = {{"e1", 1, true, {}}};
  desk.desk().SendAll(news);
  CHECK(desk.links["r1"]->sent.back() != Encode(news));
  CHECK(desk.links["r2"]->sent.back() == Encode(news));
}

}  // namespace
}  // namespace kumquat
