// Compares the revisions that a router serves with those that the operator was told are in force.
#include <fmt/format.h>

#include <array>
#include <memory>
#include <vector>

#include "coordination/limits/plan_lease.h"
#include "property.h"
#include "virtual_world.h"

namespace kumquat {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kVoters = 3;
constexpr Duration kLease = seconds(3);
constexpr Duration kStartupQuiet = seconds(1);

// Simulates one router, an operator who edits plans, and replicas that vote and acknowledge as the
// argument in docs/DECISIONS/plan-lease.md requires.
class PlanWorld {
 public:
  explicit PlanWorld(std::uint64_t seed) : world_(seed), router_clock_(&world_) {
    for (std::size_t i = 0; i < kVoters; ++i) {
      voters_.push_back({DriftingClock(&world_), true, Instant(0), {}});
      names_.push_back(fmt::format("c{}@127.0.0.1:{}", i, i + 1));
    }
    link_to_router_.fill(true);
  }

  void Stop(std::size_t voter) {
    voters_[voter].up = false;
    if (leader_ == voter) leader_.reset();
  }

  void Start(std::size_t voter) {
    if (voters_[voter].up) return;
    voters_[voter].up = true;
    voters_[voter].started_at = voters_[voter].clock.Now();
  }

  // Connects or disconnects a replica from the router and from its peers.
  void SetLinks(std::size_t voter, bool to_router, bool to_peers) {
    link_to_router_[voter] = to_router;
    voters_[voter].linked = to_peers;
  }

  void Elect(std::size_t candidate) {
    if (!HasMajority(candidate)) return;
    leader_ = candidate;
    ++term_;
    wait_started_at_ = voters_[candidate].clock.Now();
  }

  void Edit() {
    if (!leader_ || !HasMajority(*leader_)) return;
    ++committed_revision_;
    wait_started_at_ = voters_[*leader_].clock.Now();
  }

  // The leader answers the operator once it has waited one lease and a later heartbeat round has
  // succeeded.
  void AnswerOperator() {
    if (!leader_ || voters_[*leader_].clock.Now() < wait_started_at_ + kLease) return;
    if (HasMajority(*leader_)) answered_revision_ = committed_revision_;
  }

  void Renew() {
    const Instant sent = router_clock_.Now();
    const int router = router_;
    world_.After(RandomDelay(), [=, this] {
      if (!leader_ || !link_to_router_[*leader_] || !HasMajority(*leader_)) return;
      LeaseAnswer answer{term_, 3000, committed_revision_, 0, PlanList{}, {}, {}, names_};
      world_.After(RandomDelay(), [=, this] {
        if (router == router_) lease_->Apply(answer, sent);
      });
    });
  }

  void Probe(std::size_t voter) {
    const Instant sent = router_clock_.Now();
    const int router = router_;
    const auto deliver = [=, this](ProbeResult result) {
      world_.After(RandomDelay(), [=, this] {
        if (router == router_) lease_->OnProbe(names_[voter], result, sent, router_clock_.Now());
      });
    };
    world_.After(RandomDelay(), [=, this] {
      const bool refused = link_to_router_[voter] && !voters_[voter].up;
      deliver(refused ? ProbeResult::kRefused : ProbeResult::kNotRefused);
    });
  }

  void RestartRouter() {
    ++router_;
    lease_ = std::make_unique<PlanLease>();
    last_served_revision_ = 0;
  }

  void Advance(Duration duration) {
    world_.Advance(duration, [this] { Check(); });
  }

  // Returns how many checks found the router serving after the end of its lease.
  int outage_checks() const { return outage_checks_; }
  // Returns the newest revision that the operator was told is in force.
  std::int64_t answered() const { return answered_revision_; }

 private:
  struct Voter {
    DriftingClock clock;
    bool up = true;
    Instant started_at;
    bool linked = true;
  };

  Duration RandomDelay() {
    return world_.OneIn(10) ? world_.Between(milliseconds(1), seconds(2))
                            : world_.Between(milliseconds(0), milliseconds(20));
  }

  bool IsActive(const Voter& voter) const {
    return voter.up && voter.clock.Now() >= voter.started_at + kStartupQuiet;
  }

  // Returns whether a heartbeat round or an election of this replica gets a majority now, its own
  // vote included.
  bool HasMajority(std::size_t from) const {
    if (!IsActive(voters_[from])) return false;
    std::size_t count = 1;
    for (std::size_t i = 0; i < kVoters; ++i) {
      if (i == from || !IsActive(voters_[i])) continue;
      if (voters_[i].linked && voters_[from].linked) ++count;
    }
    return count > kVoters / 2;
  }

  void Check() {
    const Instant now = router_clock_.Now();
    if (!lease_->MayServe(now)) return;
    const std::int64_t revision = lease_->lists().plans_revision;
    RC_ASSERT(revision >= answered_revision_);
    RC_ASSERT(revision >= last_served_revision_);
    last_served_revision_ = revision;
    if (now >= *lease_->lease_end()) ++outage_checks_;
  }

  VirtualWorld world_;
  std::vector<Voter> voters_;
  std::vector<std::string> names_;
  std::array<bool, kVoters> link_to_router_{};
  std::optional<std::size_t> leader_;
  std::int64_t term_ = 0;
  std::int64_t committed_revision_ = 0;
  std::int64_t answered_revision_ = 0;
  Instant wait_started_at_{0};
  DriftingClock router_clock_;
  // Counts the starts of the router. Messages to an earlier start are dropped.
  int router_ = 0;
  std::unique_ptr<PlanLease> lease_ = std::make_unique<PlanLease>();
  std::int64_t last_served_revision_ = 0;
  int outage_checks_ = 0;
};

// One event of a generated run, followed by simulated time. The kinds:
// 0: the voter stops
// 1: the voter starts
// 2: the voter's links change: to the router up if `amount` is even, to its peers down if `amount`
//    is a multiple of 3
// 3: both kinds of links of the voter are up
// 4: the voter is elected leader if a majority is reachable
// 5: the operator edits the plans
// 6: the router restarts
// 7: a majority restarts briefly
// 8: all voters start
// 9: only time passes
struct Step {
  int kind;
  std::size_t voter;
  int amount;
};

std::ostream& operator<<(std::ostream& out, const Step& step) {
  return out << '{' << step.kind << ' ' << step.voter << ' ' << step.amount << '}';
}

// Runs the leader, and the router unless it is paused, for the given time.
void RunFor(PlanWorld* world, Duration time, bool router_paused) {
  for (Duration elapsed{0}; elapsed < time; elapsed += milliseconds(50)) {
    if (!router_paused) {
      world->Renew();
      for (std::size_t voter = 0; voter < kVoters; ++voter) world->Probe(voter);
    }
    world->Advance(milliseconds(50));
    world->AnswerOperator();
  }
}

// A majority that is down comes up, commits an edit, answers the operator if there is time, and
// goes down again. `amount` also selects variants: the router is paused while the majority is up if
// `amount` is even, and has no links to the voters if `amount` is a multiple of 5. The remainder by
// 3 selects the voter that stays up and becomes the leader.
void RestartMajorityBriefly(PlanWorld* world, int amount) {
  const bool router_paused = amount % 2 == 0;
  const std::size_t remaining_voter = amount % 3;
  for (std::size_t i = 0; i < kVoters; ++i) world->SetLinks(i, amount % 5 != 0, true);
  for (std::size_t i = 0; i < kVoters; ++i) {
    if (i != remaining_voter) world->Stop(i);
  }
  RunFor(world, milliseconds(amount * 37), false);
  for (std::size_t i = 0; i < kVoters; ++i) world->Start(i);
  RunFor(world, milliseconds(900 + amount * 7), router_paused);
  world->Elect(remaining_voter);
  world->Edit();
  RunFor(world, milliseconds(2900 + amount * 7), router_paused);
  for (std::size_t i = 0; i < kVoters; ++i) {
    if (i != remaining_voter) world->Stop(i);
  }
  RunFor(world, milliseconds(1200), false);
}

void RunStep(PlanWorld* world, const Step& step) {
  if (step.kind == 0) world->Stop(step.voter);
  if (step.kind == 1) world->Start(step.voter);
  if (step.kind == 2) world->SetLinks(step.voter, step.amount % 2 == 0, step.amount % 3 != 0);
  if (step.kind == 3) world->SetLinks(step.voter, true, true);
  if (step.kind == 4) world->Elect(step.voter);
  if (step.kind == 5) world->Edit();
  if (step.kind == 6) world->RestartRouter();
  if (step.kind == 7) RestartMajorityBriefly(world, step.amount);
  for (std::size_t i = 0; step.kind == 8 && i < kVoters; ++i) world->Start(i);
  RunFor(world, milliseconds(step.amount * 20), false);
}

}  // namespace

TEST_CASE(
    "A router serves no revoked plan once the operator was told that its successor is in force") {
  int outage_checks = 0;
  std::int64_t answered = 0;
  CheckProperty("the served revision is at least the one confirmed to the operator", [&] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    // Each pair is a weight and the kind of step that has it.
    const auto step_generator = rc::gen::construct<Step>(
        rc::gen::weightedElement<int>(
            {{2, 0}, {2, 1}, {2, 2}, {2, 3}, {5, 4}, {5, 5}, {1, 6}, {1, 7}, {1, 8}, {3, 9}}),
        rc::gen::inRange<std::size_t>(0, kVoters), rc::gen::inRange(0, 100));
    const auto steps = *rc::gen::container<std::vector<Step>>(80, step_generator);
    PlanWorld world(seed);
    world.Elect(0);
    for (const Step& step : steps) RunStep(&world, step);
    outage_checks += world.outage_checks();
    answered += world.answered();
  });
  // The property is vacuous unless the router has served during outages and edits were answered.
  CHECK(outage_checks > 100);
  CHECK(answered > 100);
}

TEST_CASE(
    "After its lease a router serves only while a majority has refused probes without gaps since "
    "the lease's end or earlier") {
  const std::vector<std::string> voters = {"a@127.0.0.1:1", "b@127.0.0.1:2", "c@127.0.0.1:3"};
  PlanLease lease;
  CHECK_FALSE(lease.MayServe(seconds(1)));
  REQUIRE(lease.Apply({1, 3000, 0, 0, {}, {}, {}, voters}, seconds(1)));
  const auto probe = [&](std::size_t voter, Instant moment, ProbeResult result) {
    lease.OnProbe(voters[voter], result, moment, moment);
  };
  for (Instant moment = seconds(3); moment < seconds(9); moment += milliseconds(900)) {
    probe(0, moment, ProbeResult::kRefused);
    probe(1, moment, ProbeResult::kRefused);
  }
  CHECK(lease.MayServe(seconds(9)));
  CHECK_FALSE(lease.MayServe(milliseconds(9400)));
  probe(0, seconds(9), ProbeResult::kRefused);
  CHECK(lease.MayServe(seconds(9)));
  probe(1, seconds(9), ProbeResult::kNotRefused);
  CHECK_FALSE(lease.MayServe(seconds(9)));
  probe(1, seconds(9), ProbeResult::kRefused);
  CHECK_FALSE(lease.MayServe(seconds(9)));

  // A refusal may have happened as early as its probe was sent, so slow probes leave a gap.
  PlanLease slow;
  REQUIRE(slow.Apply({2, 3000, 0, 0, {}, {}, {}, voters}, seconds(1)));
  CHECK_FALSE(slow.Apply({1, 3000, 0, 0, {}, {}, {}, voters}, seconds(2)));
  for (const std::string& voter : {voters[0], voters[1]}) {
    slow.OnProbe(voter, ProbeResult::kRefused, milliseconds(3000), milliseconds(3900));
    slow.OnProbe(voter, ProbeResult::kRefused, milliseconds(3900), milliseconds(4100));
  }
  CHECK_FALSE(slow.MayServe(milliseconds(4200)));
}

}  // namespace kumquat
