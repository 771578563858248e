#include "state/control/control_state.h"

#include <QJsonArray>
#include <map>
#include <set>
#include <vector>

#include "property.h"
#include "protocol/json_fields.h"

namespace kumquat {
namespace {

using std::chrono::hours;
using std::chrono::minutes;

constexpr int kCommandsPerCase = 300;
const std::vector<std::string> kPlanNames = {"small", "large"};

// Organisations 0 and up, the one at i on the plan with this number.
QJsonObject PlansContent(const std::vector<int>& plan_numbers) {
  PlanList plans;
  for (const int number : plan_numbers) {
    plans.push_back({"organisation" + std::to_string(plans.size()), kPlanNames[number], {}});
  }
  return ToJson(plans);
}

QJsonObject AllowancesContent(const std::vector<int>& plan_numbers) {
  AllowanceList allowances;
  for (const int number : plan_numbers) {
    allowances.push_back({kPlanNames[number], {}, {}, {number, 2, 3}, 1, true});
  }
  return ToJson(allowances);
}

// A list in the oracle's form: the plans that it names, so that both lists fit together when the
// set of the plans list is within that of the allowances list.
using Names = std::vector<int>;

ListAnswer AnswerOf(const std::string& text) {
  std::string reason;
  auto answer = ParseListAnswer(*ParseJsonObject(text), &reason);
  RC_ASSERT(answer.has_value());
  return std::move(*answer);
}

// The oracle: a map of what each revision of each list holds.
struct ListOracle {
  std::map<ListName, std::vector<Names>> history = {{ListName::kPlans, {{}}},
                                                    {ListName::kAllowances, {{}}}};

  std::set<int> Current(ListName list) {
    return {history[list].back().begin(), history[list].back().end()};
  }

  bool Valid(ListName list, const Names& names) {
    const std::set<int> plans = list == ListName::kPlans ? std::set<int>(names.begin(), names.end())
                                                         : Current(ListName::kPlans);
    const std::set<int> allowances = list == ListName::kAllowances
                                         ? std::set<int>(names.begin(), names.end())
                                         : Current(ListName::kAllowances);
    const bool twice = list == ListName::kAllowances && allowances.size() != names.size();
    return !names.empty() && !twice &&
           std::includes(allowances.begin(), allowances.end(), plans.begin(), plans.end());
  }

  // Checks the answer to an edit and takes it over.
  void Check(ListName list, std::size_t replaces, const Names& names, const ListAnswer& answer) {
    auto& revisions = history[list];
    const std::size_t current = revisions.size() - 1;
    const auto revision = static_cast<std::size_t>(answer.revision);
    if (replaces < current && revisions[replaces + 1] == names) {
      RC_ASSERT(!answer.error);
      RC_ASSERT(revision == replaces + 1);
    } else if (replaces != current) {
      RC_ASSERT(answer.error->kind == ErrorKind::kRevisionConflict);
      RC_ASSERT(revision == current);
    } else if (!Valid(list, names)) {
      RC_ASSERT(answer.error->kind == ErrorKind::kListInvalid);
      RC_ASSERT(!answer.error->detail.empty());
      RC_ASSERT(revision == current);
    } else {
      RC_ASSERT(!answer.error);
      RC_ASSERT(revision == current + 1);
      revisions.push_back(names);
    }
  }
};

// Passes each command to two replicas, of which one is replaced now and then by a new one from its
// snapshot. Both must answer the same.
class TwoReplicas {
 public:
  std::string Apply(const ControlCommand& command) {
    ++index_;
    const std::string bytes = Encode(command);
    std::string answer = steady_.Apply(index_, bytes);
    RC_ASSERT(restored_->Apply(index_, bytes) == answer);
    return answer;
  }

  void RestoreOne() {
    const std::string snapshot = restored_->Snapshot();
    RC_ASSERT(snapshot == steady_.Snapshot());
    restored_ = std::make_unique<ControlState>(kLimits);
    RC_ASSERT(!restored_->Restore(snapshot.substr(0, snapshot.size() / 2)));
    RC_ASSERT(restored_->Restore(snapshot));
  }

  const ControlState& state() const { return *restored_; }

  static constexpr ClaimLimits kLimits{6, 100, 40, hours(24), minutes(10)};

 private:
  std::uint64_t index_ = 0;
  ControlState steady_{kLimits};
  std::unique_ptr<ControlState> restored_ = std::make_unique<ControlState>(kLimits);
};

TEST_CASE("Edits follow the oracle: one winner a revision, resends get the first answer") {
  CheckProperty("lists", [] {
    TwoReplicas replicas;
    ListOracle oracle;
    for (int i = 0; i < kCommandsPerCase; ++i) {
      const auto list = *rc::gen::element(ListName::kPlans, ListName::kAllowances);
      const auto names = *rc::gen::resize(4, rc::gen::container<Names>(rc::gen::inRange(0, 2)));
      const int current = static_cast<int>(oracle.history[list].size()) - 1;
      // Mostly the current revision; older ones are resends or lost races, newer ones nonsense.
      const int replaces = std::max(0, current + *rc::gen::element(0, 0, 0, -1, -1, -2, -5, 1));
      const QJsonObject content =
          list == ListName::kPlans ? PlansContent(names) : AllowancesContent(names);
      const ListAnswer answer =
          AnswerOf(replicas.Apply({LogicalTime(i), ListEdit{list, replaces, content}}));
      oracle.Check(list, static_cast<std::size_t>(replaces), names, answer);
      if (*rc::gen::inRange(0, 20) == 0) replicas.RestoreOne();
    }
    const auto& lists = replicas.state().lists();
    RC_ASSERT(lists.Content(ListName::kPlans) ==
              PlansContent(oracle.history[ListName::kPlans].back()));
    RC_ASSERT(lists.Content(ListName::kAllowances) ==
              AllowancesContent(oracle.history[ListName::kAllowances].back()));
  });
}

TEST_CASE("Malformed edits and commands are refused and change nothing") {
  ControlState state;
  const std::string before = state.Snapshot();
  const ListEdit malformed{ListName::kPlans, 0, {{"plans", 7}}};
  const ListAnswer answer = AnswerOf(state.Apply(1, Encode({LogicalTime(0), malformed})));
  CHECK(answer.error->kind == ErrorKind::kListInvalid);
  CHECK(ParseJsonObject(state.Apply(2, "no command"))->contains("error"));
  CHECK(state.Snapshot() == before);
  CHECK(!state.Restore("no snapshot"));
}

// The oracle of the claims: a set of the calls that may have run, with their claimants.
class ClaimOracle {
 public:
  void CheckBegin(const ClaimRequest& request, const ClaimAnswer& answer, LogicalTime now) {
    Forget(now);
    const auto call = Call(request.id);
    const auto holder = holders_.find(call);
    const bool free = holder == holders_.end();
    if (answer.verdict == ClaimVerdict::kGranted) {
      const bool own = !free && holder->second.claimant == request.id.claimant;
      const bool may_run = free || own;
      RC_ASSERT(may_run);
      if (free) holders_[call] = {request.id.claimant, request.digest, now, {}};
      RC_ASSERT(holders_.size() <= 2 * TwoReplicas::kLimits.claims_per_organisation);
      return;
    }
    if (answer.verdict == ClaimVerdict::kConflict) {
      RC_ASSERT(!free);
      RC_ASSERT(holder->second.digest != request.digest);
    }
    if (answer.verdict == ClaimVerdict::kRecorded) {
      RC_ASSERT(!free);
      RC_ASSERT(holder->second.answer == answer.recorded);
      RC_ASSERT(holder->second.digest == request.digest);
    }
  }

  void CheckFinish(const ClaimFinish& finish, bool done, LogicalTime now) {
    Forget(now);
    const auto holder = holders_.find(Call(finish.id));
    const bool own = holder != holders_.end() && holder->second.claimant == finish.id.claimant;
    RC_ASSERT(done == own);
    if (own && !holder->second.answer) holder->second.answer = finish.recorded;
  }

  void CheckRelease(const ClaimId& id, bool done, LogicalTime now) {
    Forget(now);
    const auto holder = holders_.find(Call(id));
    const bool own = holder != holders_.end() && holder->second.claimant == id.claimant;
    if (done && own) {
      RC_ASSERT(!holder->second.answer);
      holders_.erase(holder);
    }
  }

 private:
  struct Holder {
    std::string claimant;
    std::string digest;
    LogicalTime begun{0};
    std::optional<RecordedAnswer> answer;
  };

  static std::pair<std::string, std::string> Call(const ClaimId& id) {
    return {id.organisation, id.idempotency_key};
  }

  void Forget(LogicalTime now) {
    std::erase_if(holders_, [&](const auto& h) { return h.second.begun + hours(24) <= now; });
  }

  std::map<std::pair<std::string, std::string>, Holder> holders_;
};

rc::Gen<ClaimId> AnyId() {
  return rc::gen::build<ClaimId>(
      rc::gen::set(&ClaimId::organisation, rc::gen::element<std::string>("a", "b")),
      rc::gen::set(&ClaimId::idempotency_key,
                   rc::gen::element<std::string>("1", "2", "3", "4", "5", "6", "7")),
      rc::gen::set(&ClaimId::claimant, rc::gen::element<std::string>("x", "y", "z")));
}

rc::Gen<ControlCommand::Body> AnyClaimCommand() {
  const auto begin =
      rc::gen::map(rc::gen::tuple(AnyId(), rc::gen::element<std::string>("d", "d", "d", "e"),
                                  rc::gen::element<std::string>("r1", "r2"),
                                  rc::gen::weightedElement<int>({{20, 1}, {1, 2}})),
                   [](const std::tuple<ClaimId, std::string, std::string, int>& parts) {
                     const auto& [id, digest, router, incarnation] = parts;
                     return ControlCommand::Body(ClaimRequest{id, digest, router, incarnation});
                   });
  const auto finish = rc::gen::map(
      rc::gen::pair(AnyId(), rc::gen::inRange(0, 60)), [](const std::pair<ClaimId, int>& parts) {
        const bool known = parts.second > 9;
        std::optional<RecordedAnswer> answer;
        if (known) answer = RecordedAnswer{201, "text/plain", std::string(parts.second, 'x')};
        return ControlCommand::Body(ClaimFinish{parts.first, answer});
      });
  const auto release = rc::gen::map(
      AnyId(), [](const ClaimId& id) { return ControlCommand::Body(ClaimRelease{id}); });
  return rc::gen::oneOf(begin, begin, finish, release,
                        rc::gen::just(ControlCommand::Body(ClockMark{})));
}

TEST_CASE("A claim is granted once, whatever is repeated, reordered or restored") {
  CheckProperty("claims", [] {
    TwoReplicas replicas;
    ClaimOracle oracle;
    std::vector<ControlCommand> sent;
    LogicalTime now{0};
    for (int i = 0; i < kCommandsPerCase; ++i) {
      now += *rc::gen::weightedElement<LogicalTime>(
          {{20, LogicalTime(10)}, {3, minutes(4)}, {1, hours(9)}});
      sent.push_back({now, *AnyClaimCommand()});
      // Some are late copies, with the time at which they were first sent.
      const bool again = *rc::gen::inRange(0, 4) == 0;
      const auto command =
          again ? sent[*rc::gen::inRange<std::size_t>(0, sent.size())] : sent.back();
      const QJsonObject answer = *ParseJsonObject(replicas.Apply(command));
      const LogicalTime time = replicas.state().time();
      std::string reason;
      if (const auto* begin = std::get_if<ClaimRequest>(&command.body)) {
        oracle.CheckBegin(*begin, *ParseClaimAnswer(answer, &reason), time);
      } else if (const auto* finish = std::get_if<ClaimFinish>(&command.body)) {
        oracle.CheckFinish(*finish, answer["done"].toBool(), time);
      } else if (const auto* release = std::get_if<ClaimRelease>(&command.body)) {
        oracle.CheckRelease(release->id, answer["done"].toBool(), time);
      }
      if (*rc::gen::inRange(0, 20) == 0) replicas.RestoreOne();
    }
  });
}

TEST_CASE("Each verdict comes when it should") {
  ControlState state({2, 100, 40, hours(24), minutes(10)});
  std::uint64_t index = 0;
  LogicalTime now{0};
  const auto apply = [&](const ControlCommand::Body& body) {
    return *ParseJsonObject(state.Apply(++index, Encode({now, body})));
  };
  const auto begin = [&](const std::string& key, const std::string& claimant,
                         const std::string& digest = "d", std::int64_t incarnation = 1) {
    std::string reason;
    return *ParseClaimAnswer(apply(ClaimRequest{{"a", key, claimant}, digest, "r", incarnation}),
                             &reason);
  };
  CHECK(begin("1", "x").verdict == ClaimVerdict::kGranted);
  CHECK(begin("1", "x").verdict == ClaimVerdict::kGranted);
  CHECK(begin("1", "y").verdict == ClaimVerdict::kRunning);
  CHECK(begin("1", "y", "e").verdict == ClaimVerdict::kConflict);
  CHECK(begin("2", "x").verdict == ClaimVerdict::kGranted);
  CHECK(begin("3", "x").verdict == ClaimVerdict::kFull);

  CHECK(!apply(ClaimRelease{{"a", "2", "y"}})["done"].toBool());
  CHECK(apply(ClaimRelease{{"a", "2", "x"}})["done"].toBool());
  CHECK(begin("2", "x").verdict == ClaimVerdict::kRunning);
  CHECK(begin("2", "y", "e").verdict == ClaimVerdict::kGranted);

  const RecordedAnswer answer{201, "text/plain", "booked"};
  CHECK(apply(ClaimFinish{{"a", "1", "x"}, answer})["done"].toBool());
  CHECK(!apply(ClaimRelease{{"a", "1", "x"}})["done"].toBool());
  CHECK(begin("1", "y").recorded == answer);

  now = minutes(10);
  CHECK(begin("2", "z", "e").verdict == ClaimVerdict::kOutcomeUnknown);
  CHECK(!apply(ClaimRelease{{"a", "2", "y"}})["done"].toBool());
  const RecordedAnswer large{201, "text/plain", std::string(41, 'x')};
  CHECK(apply(ClaimFinish{{"a", "2", "y"}, large})["done"].toBool());
  const ClaimAnswer without_body{ClaimVerdict::kOutcomeUnknown,
                                 RecordedAnswer{201, "text/plain", ""}};
  CHECK(begin("2", "z", "e") == without_body);

  now = hours(24);
  CHECK(begin("1", "y").verdict == ClaimVerdict::kGranted);
  CHECK(begin("3", "x", "d", 2).verdict == ClaimVerdict::kGranted);
  CHECK(begin("1", "z").verdict == ClaimVerdict::kOutcomeUnknown);
}

TEST_CASE(
    "Departures hold for the incarnation and those before, in snapshots too, until they end") {
  ControlState state;
  LogicalTime now = minutes(5);
  const auto record = [&](const std::string& id, std::int64_t incarnation) {
    state.Apply(1, Encode(ControlCommand{now, Departure{id, incarnation}}));
  };
  const auto check = [&](const ControlState& of) {
    CHECK(of.departures().HasLeft("s1", 7));
    CHECK(of.departures().HasLeft("s1", 6));
    CHECK_FALSE(of.departures().HasLeft("s1", 8));
    CHECK_FALSE(of.departures().HasLeft("s2", 1));
  };
  record("s1", 7);
  record("s1", 3);
  check(state);
  ControlState restored;
  REQUIRE(restored.Restore(state.Snapshot()));
  check(restored);
  now += DepartureTable::kLifetime;
  state.Apply(2, Encode(ControlCommand{now, ClockMark{}}));
  CHECK(state.departures().size() == 0);
  // The oldest make room.
  for (std::size_t i = 0; i <= DepartureTable::kMaxDepartures; ++i) {
    now += std::chrono::milliseconds(1);
    record("many" + std::to_string(i), 1);
  }
  CHECK(state.departures().size() == DepartureTable::kMaxDepartures);
  CHECK_FALSE(state.departures().HasLeft("many0", 1));
}

}  // namespace
}  // namespace kumquat
