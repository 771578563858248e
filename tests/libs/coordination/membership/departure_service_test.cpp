// Tests that a server's departure is acknowledged only when a minority of the replicas can be lost
// without anybody forgetting it.
#include "coordination/membership/departure_service.h"

#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "property.h"

namespace kumquat {
namespace {

using std::chrono::milliseconds;

MemberRecord Server(std::int64_t incarnation, bool is_leaving = false) {
  Announcement announcement;
  announcement.backend_id = "s1";
  announcement.incarnation = incarnation;
  announcement.sequence = 1;
  announcement.endpoint = {"10.0.0.1", 8000};
  announcement.service = "lm";
  announcement.concurrent_requests = 1;
  MemberRecord record = RecordOf(announcement);
  if (is_leaving) record.MarkLeaving();
  return record;
}

// Replicas whose requests to each other wait until they are delivered.
class ReplicaGroup {
 public:
  explicit ReplicaGroup(int replicas) {
    for (int i = 0; i < replicas; ++i) names_.push_back(fmt::format("c{}", i + 1));
    for (const std::string& name : names_) Start(name);
  }

  // Whether the log takes departures.
  void SetRecorded(bool is_recorded) { is_recorded_ = is_recorded; }
  const std::vector<Departure>& recorded() const { return recorded_; }

  // Starts the replica; one that was up has forgotten all that it knew.
  void Start(const std::string& name) {
    BackendDirectoryHooks directory_hooks;
    directory_hooks.clock = [this] { return now_; };
    directory_hooks.random = [] { return 1; };
    // Departures must not depend on gossip, which is lost with its sender.
    directory_hooks.send = [](std::span<const std::string>, const GossipMessage&) {};
    Replica& replica = replicas_[name];
    replica.departures.reset();
    replica.directory = std::make_unique<BackendDirectory>(directory_hooks);
    DepartureServiceHooks hooks;
    hooks.clock = [this] { return now_; };
    hooks.self = name;
    hooks.voters = [this] { return names_; };
    hooks.in_contact = [this] { return in_contact_; };
    hooks.record = [this](const Departure& departure, const std::function<void(bool)>& done) {
      if (is_recorded_) recorded_.push_back(departure);
      done(is_recorded_);
    };
    hooks.ask = [this, name](const std::string& to, const DepartureRequest& request,
                             const DepartureServiceHooks::OnAnswer& on_answer) {
      asked_.push_back({name, to, request, on_answer});
    };
    replica.departures =
        std::make_unique<DepartureService>(std::move(hooks), replica.directory.get());
  }

  void Learn(const std::string& name, const MemberRecord& record) {
    replicas_.at(name).directory->Learn(record);
  }
  void LearnAll(const MemberRecord& record) {
    for (const std::string& name : names_) Learn(name, record);
  }

  // Tells the replica that the server leaves; the result is set once it answers.
  std::shared_ptr<std::optional<bool>> Leave(const std::string& name) {
    auto result = std::make_shared<std::optional<bool>>();
    replicas_.at(name).departures->Leave("s1", [result](bool done) { *result = done; });
    return result;
  }
  std::shared_ptr<std::optional<bool>> Announce(const std::string& name,
                                                const MemberRecord& record) {
    auto result = std::make_shared<std::optional<bool>>();
    replicas_.at(name).departures->Announce(record, [result](bool done) { *result = done; });
    return result;
  }

  // Delivers the requests that wait for this replica, with their answers, and drops the others.
  void DeliverOnlyTo(const std::string& name) {
    for (const Asked& asked : std::exchange(asked_, {})) {
      if (asked.to == name) Deliver(asked);
    }
  }
  void DeliverAll() {
    while (!asked_.empty()) {
      const Asked asked = asked_.front();
      asked_.pop_front();
      Deliver(asked);
    }
  }
  // Delivers or loses each that waits now.
  void DeliverSome(const std::function<bool()>& is_lost) {
    for (const Asked& asked : std::exchange(asked_, {})) {
      if (!is_lost()) Deliver(asked);
    }
  }

  void Advance(Duration time) {
    now_ += time;
    for (auto& [name, replica] : replicas_) replica.departures->Tick();
  }

  bool KnowsLeaving(const std::string& name) const {
    const Member* member = replicas_.at(name).directory->table().Find("s1");
    return member && member->record.leaving;
  }

  void SetInContact(bool in_contact) { in_contact_ = in_contact; }
  const std::vector<std::string>& names() const { return names_; }

 private:
  struct Replica {
    std::unique_ptr<BackendDirectory> directory;
    std::unique_ptr<DepartureService> departures;
  };
  struct Asked {
    std::string from;
    std::string to;
    DepartureRequest request;
    DepartureServiceHooks::OnAnswer on_answer;
  };

  void Deliver(const Asked& asked) {
    const auto request = ParseDepartureRequest(ToJson(asked.request));
    REQUIRE(request);
    const DepartureAnswer answer = replicas_.at(asked.to).departures->OnAsked(*request);
    asked.on_answer(ParseDepartureAnswer(ToJson(answer)));
  }

  Instant now_ = std::chrono::seconds(100);
  bool in_contact_ = true;
  bool is_recorded_ = true;
  std::vector<Departure> recorded_;
  std::vector<std::string> names_;
  std::map<std::string, Replica> replicas_;
  std::deque<Asked> asked_;
};

TEST_CASE("A departure is acknowledged once a majority of the replicas holds it, and no sooner") {
  ReplicaGroup replicas(5);
  replicas.LearnAll(Server(5));
  const auto result = replicas.Leave("c1");
  CHECK_FALSE(result->has_value());
  replicas.DeliverOnlyTo("c2");
  CHECK_FALSE(result->has_value());
  replicas.Advance(DepartureService::kRetryInterval);
  replicas.DeliverOnlyTo("c3");
  CHECK(*result == true);
  CHECK(replicas.KnowsLeaving("c3"));
}

// Guards against a departure that is forgotten when all processes are lost.
TEST_CASE("A departure is acknowledged only once the log has it") {
  ReplicaGroup replicas(3);
  replicas.LearnAll(Server(5));
  replicas.SetRecorded(false);
  const auto refused = replicas.Leave("c1");
  replicas.DeliverAll();
  CHECK(*refused == false);
  replicas.SetRecorded(true);
  const auto taken = replicas.Leave("c2");
  replicas.DeliverAll();
  CHECK(*taken == true);
  CHECK(replicas.recorded() == std::vector<Departure>{{"s1", 5}});
}

TEST_CASE("A departure that no majority holds in time isn't acknowledged") {
  ReplicaGroup replicas(3);
  replicas.LearnAll(Server(5));
  const auto result = replicas.Leave("c1");
  replicas.Advance(DepartureService::kPatience);
  CHECK(*result == false);
  // Its late answers find nothing to decide.
  replicas.DeliverAll();
  CHECK(*result == false);
}

TEST_CASE("A replica without contact to its leader's majority acknowledges once it has it again") {
  ReplicaGroup replicas(3);
  replicas.LearnAll(Server(5));
  replicas.SetInContact(false);
  const auto result = replicas.Leave("c1");
  replicas.DeliverAll();
  CHECK_FALSE(result->has_value());
  replicas.SetInContact(true);
  replicas.Advance(DepartureService::kRetryInterval);
  CHECK(*result == true);
}

// Guards against an acknowledgement by a replica that has just started and so marks nothing.
TEST_CASE("A replica that doesn't know the server learns from the others which one leaves") {
  ReplicaGroup replicas(3);
  replicas.Learn("c2", Server(5));
  replicas.Learn("c3", Server(5));
  const auto result = replicas.Leave("c1");
  replicas.DeliverOnlyTo("c2");
  CHECK_FALSE(result->has_value());
  // It has learnt that from c2 and holds it too, which makes a majority.
  replicas.Advance(milliseconds(20));
  CHECK(*result == true);
  CHECK(replicas.KnowsLeaving("c1"));
  CHECK(replicas.KnowsLeaving("c2"));
}

TEST_CASE("The departure of a server that no replica knows isn't acknowledged") {
  ReplicaGroup replicas(3);
  const auto result = replicas.Leave("c1");
  CHECK_FALSE(result->has_value());
  replicas.DeliverAll();
  CHECK(*result == false);
}

// The message names no incarnation, and the one that the asked replica knows has been replaced.
TEST_CASE("A departure isn't acknowledged where another replica knows a later start") {
  ReplicaGroup replicas(3);
  replicas.LearnAll(Server(5));
  replicas.Learn("c2", Server(6));
  const auto first = replicas.Leave("c1");
  replicas.DeliverOnlyTo("c2");
  CHECK(*first == false);
  CHECK_FALSE(replicas.KnowsLeaving("c2"));
  const auto second = replicas.Leave("c1");
  replicas.DeliverAll();
  CHECK(*second == true);
  CHECK(replicas.KnowsLeaving("c2"));
}

TEST_CASE("A late announcement of an incarnation that was replaced doesn't mark the later one") {
  ReplicaGroup replicas(3);
  replicas.LearnAll(Server(6));
  const auto result = replicas.Announce("c1", Server(5, true));
  CHECK(*result == false);
  replicas.DeliverAll();
  for (const std::string& name : replicas.names()) CHECK_FALSE(replicas.KnowsLeaving(name));
}

TEST_CASE("A cluster of one replica acknowledges at once") {
  ReplicaGroup replicas(1);
  replicas.LearnAll(Server(5));
  CHECK(*replicas.Leave("c1") == true);
}

TEST_CASE("Malformed requests and answers are refused") {
  CHECK_FALSE(ParseDepartureRequest({}));
  CHECK_FALSE(ParseDepartureRequest({{"backend", "s1"}, {"record", 1}}));
  CHECK_FALSE(ParseDepartureRequest({{"backend", "s2"}, {"record", ToJson(Server(5))}}));
  CHECK_FALSE(ParseDepartureAnswer({{"record", "x"}}));
}

TEST_CASE("An acknowledged departure is known after the loss of any minority of the replicas") {
  CheckProperty("a replica that is left knows of the departure", [] {
    const int size = *rc::gen::element(3, 5);
    ReplicaGroup replicas(size);
    // Replicas that have just started know nothing, or an older start.
    for (const std::string& name : replicas.names()) {
      if (*rc::gen::inRange(0, 4) > 0) replicas.Learn(name, Server(*rc::gen::inRange(5, 7)));
    }
    const std::string asked = *rc::gen::elementOf(replicas.names());
    const bool is_announced = *rc::gen::arbitrary<bool>();
    const auto result =
        is_announced ? replicas.Announce(asked, Server(6, true)) : replicas.Leave(asked);
    const int loss = *rc::gen::inRange(0, 100);
    for (int round = 0; round < 12 && !result->has_value(); ++round) {
      replicas.DeliverSome([loss] { return *rc::gen::inRange(0, 100) < loss; });
      if (!result->has_value()) replicas.Advance(DepartureService::kRetryInterval);
    }
    RC_ASSERT(result->has_value());
    if (!**result) return;
    std::vector<std::string> lost = replicas.names();
    lost.erase(std::find(lost.begin(), lost.end(), asked));
    while (static_cast<int>(lost.size()) > size / 2 - 1) {
      lost.erase(lost.begin() + *rc::gen::inRange(0, static_cast<int>(lost.size())));
    }
    lost.push_back(asked);
    for (const std::string& name : lost) replicas.Start(name);
    RC_ASSERT(std::any_of(replicas.names().begin(), replicas.names().end(),
                          [&](const std::string& name) { return replicas.KnowsLeaving(name); }));
  });
}

}  // namespace
}  // namespace kumquat
