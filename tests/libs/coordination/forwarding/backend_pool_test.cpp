#include "coordination/forwarding/backend_pool.h"

#include <array>

#include "property.h"

namespace kumquat {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

MemberRecord Server(const std::string& id, std::int64_t incarnation = 1, bool leaving = false) {
  Announcement announcement;
  announcement.backend_id = id;
  announcement.service = std::string("s");
  announcement.incarnation = incarnation;
  announcement.failure_domain = id.substr(0, 1);
  announcement.concurrent_requests = 4;
  announcement.models = {{"m", "", "3"}};
  announcement.state = leaving ? BackendState::kLeaving : BackendState::kServing;
  return RecordOf(announcement);
}

std::vector<std::string> Ids(const std::vector<PooledBackend*>& backends) {
  std::vector<std::string> ids;
  ids.reserve(backends.size());
  for (const PooledBackend* backend : backends) ids.push_back(backend->id);
  return ids;
}

using IdList = std::vector<std::string>;

TEST_CASE("A version of software is left while a server has it that isn't leaving") {
  BackendPool pool;
  const auto update = [&pool](const char* id, const char* version, bool is_leaving) {
    MemberRecord record = Server(id, 1, is_leaving);
    record.backend->software_version = version;
    pool.Update(record);
  };
  update("a1", "v1", false);
  update("a2", "v2", false);
  CHECK(pool.HasVersion("s", "v1"));
  CHECK_FALSE(pool.HasVersion("s", "v1", {"a1", 1}));
  CHECK_FALSE(pool.HasVersion("other", "v1"));
  CHECK_FALSE(pool.HasVersion("s", "v3"));
  update("a1", "v1", true);
  CHECK_FALSE(pool.HasVersion("s", "v1"));
  CHECK(pool.HasVersion("s", "v2"));
}

// Guards against a stream that isn't sent to its only server, as others are healthier.
TEST_CASE("Candidates are filtered before the healthy ones are preferred") {
  BackendPool pool;
  for (const char* id : {"a1", "a2"}) pool.Update(Server(id));
  pool.Find({"a1", 1})->needs_probe = true;
  const auto filter = [](const PooledBackend& backend) { return backend.id == "a1"; };
  CHECK(Ids(pool.Candidates("s", {}, seconds(1), filter)) == IdList{"a1"});
}

TEST_CASE("Servers that are leaving, avoided or unreachable are no candidates") {
  BackendPool pool;
  for (const char* id : {"a1", "a2", "b1"}) pool.Update(Server(id));
  pool.Update(Server("b2", 1, true));
  const Instant now = seconds(1);
  CHECK(Ids(pool.Candidates("s", {}, now)) == IdList{"a1", "a2", "b1"});
  const std::array<BackendChoice, 1> avoid = {BackendChoice{"a1", 1}};
  CHECK(Ids(pool.Candidates("s", avoid, now)) == IdList{"a2", "b1"});
  BackendPool::OnFailure(*pool.Find({"a2", 1}), CallFailure::kNotSent, now);
  CHECK(Ids(pool.Candidates("s", {}, now)) == IdList{"a1", "b1"});
  CHECK(pool.Candidates("other", {}, now).empty());
}

TEST_CASE("An unreachable server becomes a candidate again only after a probe has connected") {
  BackendPool pool;
  for (const char* id : {"a1", "a2"}) pool.Update(Server(id));
  Instant now = seconds(1);
  PooledBackend& server = *pool.Find({"a2", 1});
  BackendPool::OnFailure(server, CallFailure::kNotSent, now);
  CHECK(pool.DueForProbe(now).empty());
  now += seconds(5);
  // Even after the backoff, no request is sent just to find out whether the server is back.
  CHECK(Ids(pool.Candidates("s", {}, now)) == IdList{"a1"});
  CHECK(Ids(pool.DueForProbe(now)) == IdList{"a2"});
  BackendPool::OnReachable(server);
  CHECK(Ids(pool.Candidates("s", {}, now)) == IdList{"a1", "a2"});
  CHECK(pool.DueForProbe(now).empty());
  // If probes connect but requests fail, the backoff grows each time.
  const Duration first = server.backoff_until - now;
  BackendPool::OnFailure(server, CallFailure::kSilent, now);
  CHECK(server.backoff_until - now > first);
}

// Guards against sending every request first to an engine that was replaced. The engine doesn't
// tell anybody that it is gone, and the cache store that now has its address announces nothing.
TEST_CASE("The backoff of a server grows while another one answers at its address") {
  BackendPool pool;
  for (const char* id : {"a1", "a2"}) pool.Update(Server(id));
  Instant now = seconds(1);
  PooledBackend& server = *pool.Find({"a2", 1});
  int sends = 0;
  for (; now < seconds(31); now += milliseconds(10)) {
    if (pool.Candidates("s", {}, now).size() < 2) continue;
    ++sends;
    BackendPool::OnMisdirected(server, now);
  }
  CHECK(sends <= 5);
  BackendPool::OnAnswer(server, false);
  CHECK(Ids(pool.Candidates("s", {}, now)) == IdList{"a1", "a2"});
}

TEST_CASE("All servers are candidates when every one of them has failed") {
  BackendPool pool;
  for (const char* id : {"a1", "a2"}) pool.Update(Server(id));
  const Instant now = seconds(1);
  for (const char* id : {"a1", "a2"}) {
    BackendPool::OnFailure(*pool.Find({id, 1}), CallFailure::kSilent, now);
  }
  CHECK(pool.Candidates("s", {}, now).size() == 2);
}

TEST_CASE("The backoff grows up to 2 s with each consecutive failure, and an answer ends it") {
  BackendPool pool;
  pool.Update(Server("a1"));
  pool.Update(Server("a2"));
  PooledBackend& server = *pool.Find({"a1", 1});
  Duration before{0};
  Instant now = seconds(1);
  for (int i = 0; i < 12; ++i) {
    BackendPool::OnFailure(server, CallFailure::kNotSent, now);
    const Duration backoff = server.backoff_until - now;
    CHECK(backoff >= before);
    CHECK(backoff <= seconds(2));
    before = backoff;
  }
  BackendPool::OnAnswer(server, false);
  CHECK(Ids(pool.Candidates("s", {}, now)) == IdList{"a1", "a2"});
}

TEST_CASE("A new incarnation starts with a clean health state, and late records change nothing") {
  BackendPool pool;
  pool.Update(Server("a1", 1));
  BackendPool::OnFailure(*pool.Find({"a1", 1}), CallFailure::kNotSent, seconds(1));
  pool.Update(Server("a1", 2));
  CHECK(!pool.Find({"a1", 1}));
  CHECK(pool.Find({"a1", 2})->failures == 0);
  CHECK(pool.Find({"a1", 2})->VersionOf("m") == 3);
  // A late record of the old incarnation is ignored.
  pool.Update(Server("a1", 1, true));
  CHECK(Ids(pool.Candidates("s", {}, seconds(1))) == IdList{"a1"});
}

TEST_CASE("The least busy server is chosen; another failure domain or failures count as load") {
  BackendPool pool;
  for (const char* id : {"a1", "a2", "b1"}) pool.Update(Server(id));
  const auto choose = [&](const std::string& domain) {
    const auto candidates = pool.Candidates("s", {}, seconds(1));
    return ChooseLeastBusy(candidates, domain, [] { return std::uint64_t{1}; })->id;
  };
  CHECK(choose("b") == "b1");
  pool.Find({"b1", 1})->in_flight = 8;
  CHECK(choose("b") != "b1");
  pool.Find({"a1", 1})->failure_rate = 0.5;
  CHECK(choose("a") == "a2");
  CHECK(ChooseLeastBusy({}, "a", [] { return std::uint64_t{1}; }) == nullptr);
}

}  // namespace
}  // namespace kumquat
