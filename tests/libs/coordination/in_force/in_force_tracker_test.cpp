#include "coordination/in_force/in_force_tracker.h"

#include <memory>
#include <optional>
#include <vector>

#include "coordination/limits/plan_lease.h"
#include "property.h"

namespace kumquat {
namespace {

using std::chrono::milliseconds;

constexpr Duration kLease = std::chrono::seconds(3);
constexpr milliseconds kStep{100};
constexpr int kStepsPerCase = 400;
constexpr int kRouters = 3;

// A router whose clock runs slightly fast or slow.
struct Router {
  std::int64_t incarnation = 1;
  int clock_per_mille = 1000;
  std::unique_ptr<PlanLease> lease = std::make_unique<PlanLease>();

  Instant LocalTime(Instant now) const { return now * clock_per_mille / 1000; }
};

struct Request {
  int router = 0;
  std::int64_t incarnation = 0;
  Instant sent{0};
  Revisions held;
};

// A message between a router and the leader, or the leader's confirmation round in between, due at
// a given time.
struct Message {
  enum class Stage { kRequest, kConfirming, kAnswer };

  Stage stage = Stage::kRequest;
  Instant due{0};
  Request request;
  Instant received{0};
  std::int64_t term = 0;
  LeaseAnswer answer;
};

// Simulates routers that renew leases from a leader which changes at times, over a network that
// loses, delays and duplicates messages.
class LeaseSimulation {
 public:
  LeaseSimulation() {
    for (Router& router : routers_) router.clock_per_mille = *rc::gen::inRange(995, 1006);
  }

  void Step() {
    now_ += kStep;
    for (int i = 0; i < kRouters; ++i) {
      if (Chance(30)) Renew(i);
      if (Chance(2)) Restart(i);
    }
    if (Chance(3)) ChangeLeader();
    if (Chance(10)) ++(Chance(50) ? current_.plans : current_.allowances);
    Deliver();
    if (Chance(20)) tracker_->Expire(now_);
    CheckServedRevisions(ListName::kPlans);
    CheckServedRevisions(ListName::kAllowances);
  }

  int in_force_seen() const { return in_force_seen_; }

 private:
  static bool Chance(int percent) { return *rc::gen::inRange(0, 100) < percent; }

  Instant RandomDueTime() const {
    return now_ + milliseconds(*rc::gen::element(10, 10, 90, 400, 5000));
  }

  void Renew(int index) {
    const Router& router = routers_[index];
    const Lists& lists = router.lease->lists();
    Message message;
    message.due = RandomDueTime();
    message.request = {index,
                       router.incarnation,
                       router.LocalTime(now_),
                       {lists.plans_revision, lists.allowances_revision}};
    messages_.push_back(message);
    if (Chance(10)) messages_.push_back(message);
  }

  void Restart(int index) {
    ++routers_[index].incarnation;
    routers_[index].lease = std::make_unique<PlanLease>();
  }

  void ChangeLeader() {
    ++term_;
    tracker_ = std::make_unique<InForceTracker>(kLease, now_);
  }

  void Deliver() {
    std::vector<Message> due;
    std::erase_if(messages_, [&](const Message& message) {
      if (message.due > now_) return false;
      due.push_back(message);
      return true;
    });
    for (Message& message : due) {
      if (!Chance(15)) Handle(std::move(message));
    }
  }

  void Handle(Message message) {
    const Request& request = message.request;
    const std::string id = std::to_string(request.router);
    switch (message.stage) {
      case Message::Stage::kRequest:
        tracker_->OnReport(id, request.incarnation, request.held);
        message.term = term_;
        message.received = now_;
        message.stage = Message::Stage::kConfirming;
        break;
      case Message::Stage::kConfirming:
        // The confirmation round of a replaced leader is not acknowledged.
        if (message.term != term_) return;
        tracker_->OnLeaseGranted(id, request.incarnation, current_, message.received);
        message.answer = {term_,
                          kLease / milliseconds(1),
                          current_.plans,
                          current_.allowances,
                          PlanList{},
                          AllowanceList{},
                          {},
                          {}};
        message.stage = Message::Stage::kAnswer;
        break;
      case Message::Stage::kAnswer:
        Router& router = routers_[request.router];
        if (router.incarnation == request.incarnation) {
          router.lease->Apply(message.answer, request.sent);
        }
        return;
    }
    message.due = RandomDueTime();
    messages_.push_back(std::move(message));
  }

  void CheckServedRevisions(ListName list) {
    const std::int64_t revision = current_.Of(list);
    if (revision > 0 && tracker_->InForce(list, revision, now_)) {
      ++in_force_seen_;
      announced_[list] = std::max(announced_[list], revision);
    }
    for (const Router& router : routers_) {
      if (!router.lease->MayServe(router.LocalTime(now_))) continue;
      const Lists& lists = router.lease->lists();
      const Revisions held{lists.plans_revision, lists.allowances_revision};
      RC_ASSERT(held.Of(list) >= announced_[list]);
    }
  }

  Instant now_{std::chrono::seconds(10)};
  std::int64_t term_ = 1;
  Revisions current_;
  std::unique_ptr<InForceTracker> tracker_ = std::make_unique<InForceTracker>(kLease, now_);
  std::vector<Router> routers_ = std::vector<Router>(kRouters);
  std::vector<Message> messages_;
  std::map<ListName, std::int64_t> announced_;
  int in_force_seen_ = 0;
};

TEST_CASE("No router serves an older revision once a newer one was announced as in force") {
  int in_force_seen = 0;
  CheckProperty("no router serves an older revision", [&] {
    LeaseSimulation simulation;
    for (int i = 0; i < kStepsPerCase; ++i) simulation.Step();
    in_force_seen += simulation.in_force_seen();
  });
  CHECK(in_force_seen > 1000);
}

TEST_CASE(
    "After the first lease of a term, an edit is in force once each router incarnation with a "
    "lease has it or its lease has ended") {
  constexpr Instant kBegan{0};
  InForceTracker tracker(kLease, kBegan);
  CHECK(!tracker.InForce(ListName::kPlans, 1, kLease - Duration(1)));
  CHECK(tracker.InForce(ListName::kPlans, 1, kLease));

  tracker.OnLeaseGranted("r1", 1, {1, 1}, kLease);
  tracker.OnLeaseGranted("r2", 1, {1, 1}, kLease);
  CHECK(!tracker.InForce(ListName::kPlans, 2, kLease));
  CHECK(tracker.InForce(ListName::kAllowances, 1, kLease));
  tracker.OnReport("r1", 1, {2, 1});
  CHECK(!tracker.InForce(ListName::kPlans, 2, kLease));
  tracker.OnReport("r2", 2, {2, 1});
  CHECK(!tracker.InForce(ListName::kPlans, 2, kLease));
  tracker.OnReport("r2", 1, {2, 1});
  CHECK(tracker.InForce(ListName::kPlans, 2, kLease));
  CHECK(!tracker.InForce(ListName::kPlans, 3, 2 * kLease - Duration(1)));
  CHECK(tracker.InForce(ListName::kPlans, 3, 2 * kLease));
}

}  // namespace
}  // namespace kumquat
