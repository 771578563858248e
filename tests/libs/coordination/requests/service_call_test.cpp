// Checks calls to plain services against an oracle that counts the runs on the backend servers.
#include "coordination/requests/service_call.h"

#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "property.h"

namespace kumquat {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Minimal model of the claim that control keeps for one idempotency key.
class ClaimStore {
 public:
  ClaimAnswer Begin(const ClaimRequest& request) {
    if (!holder_) holder_ = request.id.claimant;
    if (recorded_) return {ClaimVerdict::kRecorded, recorded_};
    if (unknown_) return {ClaimVerdict::kOutcomeUnknown, {}};
    return {holder_ == request.id.claimant ? ClaimVerdict::kGranted : ClaimVerdict::kRunning, {}};
  }

  void Finish(const ClaimFinish& finish) {
    if (holder_ != finish.id.claimant || recorded_) return;
    recorded_ = finish.recorded;
    unknown_ = !recorded_;
  }

  void Release(const ClaimId& id) {
    if (holder_ == id.claimant && !recorded_ && !unknown_) holder_.reset();
  }

  // A claim that was not finished ends as unknown.
  void Expire() { unknown_ = holder_ && !recorded_; }

 private:
  std::optional<std::string> holder_;
  std::optional<RecordedAnswer> recorded_;
  bool unknown_ = false;
};

enum class CallKind { kClaimed, kWithoutKey, kRepeatable };

// Several callers that send the same call, each through its own router. Messages to and from
// control may be delayed, duplicated, reordered or lost.
class ServiceCallSimulation {
 public:
  ServiceCallSimulation(CallKind kind, std::size_t callers) : kind_(kind) {
    for (std::size_t i = 0; i < callers; ++i) {
      ServiceCallOptions options;
      options.request_id = fmt::format("q{}", i);
      options.repeatable = kind == CallKind::kRepeatable;
      options.deadline = seconds(40);
      options.hedge_after = milliseconds(kind == CallKind::kRepeatable ? 300 : 0);
      if (kind == CallKind::kClaimed) {
        options.claim = ClaimRequest{{"clinic", "key", options.request_id}, "d", "r", 1};
      }
      callers_.push_back({std::make_unique<ServiceCall>(options, Hooks())});
      Apply(i, callers_[i].call->Start(now));
    }
  }

  // Delivers a message in transit; a kept copy may be delivered again.
  void DeliverMessage(std::size_t pick, bool keep_copy) {
    if (messages_.empty()) return;
    const auto it = messages_.begin() + static_cast<std::ptrdiff_t>(pick % messages_.size());
    const auto message = *it;
    if (!keep_copy) messages_.erase(it);
    message();
  }

  void LoseMessage(std::size_t pick) {
    if (messages_.empty()) return;
    messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(pick % messages_.size()));
  }

  void ClaimTimesOut(std::size_t caller) { Apply(caller, CallOf(caller).OnClaimFailed(now)); }
  void CallerGone(std::size_t caller) {
    callers_[caller].gone = true;
    Apply(caller, CallOf(caller).OnCallerGone(now));
  }
  void ExpireClaim() { claims_.Expire(); }

  // Ends an attempt: it fails without having run (0, 1) or after it ran (2, 3), is not sent (4),
  // runs and answers 503 (5), or runs and answers 201 (6 and more).
  void ResolveAttempt(std::size_t pick, int outcome) {
    if (attempts_.empty()) return;
    Attempt& picked = attempts_[pick % attempts_.size()];
    // An attempt that was not sent has no further result, and one that was sent can't be reported
    // as not sent later.
    if (picked.never_sent || (outcome == 4 && picked.resolved)) return;
    picked.resolved = true;
    picked.never_sent = outcome == 4;
    const Attempt attempt = picked;
    ServiceCall& call = CallOf(attempt.caller);
    const auto failure = outcome % 2 == 0 ? CallFailure::kBroken : CallFailure::kSilent;
    if (outcome >= 2 && outcome != 4 && !attempt.ran) RecordRun(attempt);
    if (outcome < 4) {
      Apply(attempt.caller, call.OnFailure(attempt.id, failure, now));
    } else if (outcome == 4) {
      Apply(attempt.caller, call.OnFailure(attempt.id, CallFailure::kNotSent, now));
    } else {
      const RecordedAnswer busy{503, "", "busy"};
      Apply(attempt.caller,
            call.OnAnswer(attempt.id, outcome == 5 ? busy : Answer(attempt.id), now));
    }
  }

  void Wait(Duration time) {
    now += time;
    for (std::size_t i = 0; i < callers_.size(); ++i) Apply(i, CallOf(i).OnWake(now));
  }

  // Every caller that did not disconnect got exactly one answer.
  void CheckAllAnswered() {
    Wait(seconds(60));
    for (const Caller& caller : callers_) {
      RC_ASSERT(caller.call->done());
      RC_ASSERT(caller.answers == 1 || (caller.gone && caller.answers == 0));
    }
  }

  int runs() const { return runs_; }
  int answered() const { return answered_; }

  Instant now = seconds(1);
  int retries_left = 6;

 private:
  struct Caller {
    std::unique_ptr<ServiceCall> call;
    int answers = 0;
    int sent = 0;
    bool gone = false;
  };

  struct Attempt {
    std::size_t caller;
    std::string id;
    bool ran = false;
    bool resolved = false;
    bool never_sent = false;
  };

  static RecordedAnswer Answer(const std::string& id) { return {201, "text/plain", "by " + id}; }

  ServiceCallHooks Hooks() {
    return {[](std::span<const BackendChoice> avoid) -> std::optional<BackendChoice> {
              if (avoid.size() > 3) return std::nullopt;
              return BackendChoice{fmt::format("s{}", avoid.size()), 1};
            },
            [] { return false; },
            [this](int, Instant, Instant) -> std::optional<Duration> {
              if (retries_left-- <= 0) return std::nullopt;
              return milliseconds(10);
            }};
  }

  ServiceCall& CallOf(std::size_t caller) { return *callers_[caller].call; }

  // Records a run on the backend server. A cancelled or abandoned attempt may still run, since its
  // bytes were sent.
  void RecordRun(const Attempt& attempt) {
    for (Attempt& it : attempts_) {
      if (it.id == attempt.id) it.ran = true;
    }
    ++runs_;
    ran_by_caller_[attempt.caller] = true;
    CheckNotRun();
    if (kind_ != CallKind::kRepeatable) RC_ASSERT(ran_by_caller_.size() <= MaxCallersThatRan());
    if (kind_ == CallKind::kClaimed) RC_ASSERT(runs_ <= 1);
    if (kind_ == CallKind::kWithoutKey) RC_ASSERT(callers_[attempt.caller].sent == 1);
  }

  std::size_t MaxCallersThatRan() const {
    return kind_ == CallKind::kClaimed ? 1 : callers_.size();
  }

  void Apply(std::size_t caller, const ServiceCommands& commands) {
    for (const ServiceCommand& command : commands) {
      std::visit([&](const auto& it) { On(caller, it); }, command);
    }
  }

  void On(std::size_t caller, const service_command::BeginClaim& begin) {
    messages_.push_back([=, this] {
      const ClaimAnswer answer = claims_.Begin(begin.request);
      messages_.push_back([=, this] { Apply(caller, CallOf(caller).OnClaim(answer, now)); });
    });
  }
  void On(std::size_t, const service_command::FinishClaim& finish) {
    messages_.push_back([=, this] { claims_.Finish(finish.finish); });
  }
  void On(std::size_t, const service_command::ReleaseClaim& release) {
    messages_.push_back([=, this] { claims_.Release(release.id); });
  }
  void On(std::size_t caller, const service_command::StartAttempt& start) {
    RC_ASSERT(callers_[caller].answers == 0);
    ++callers_[caller].sent;
    RC_ASSERT(callers_[caller].sent <= (kind_ == CallKind::kWithoutKey ? 1 : 3));
    attempts_.push_back({caller, start.attempt_id});
  }
  void On(std::size_t, const service_command::CancelAttempt&) {}
  void On(std::size_t caller, const service_command::Answer& answer) {
    ++callers_[caller].answers;
    ++answered_;
    RC_ASSERT(callers_[caller].answers == 1);
    // The body of a successful answer names an attempt that ran.
    RC_ASSERT(answer.answer.status == 503 ||
              std::any_of(attempts_.begin(), attempts_.end(), [&](const Attempt& attempt) {
                return attempt.ran && Answer(attempt.id) == answer.answer;
              }));
  }
  void On(std::size_t caller, const service_command::Refuse& refuse) {
    ++callers_[caller].answers;
    RC_ASSERT(callers_[caller].answers == 1);
    // This test never sends different content under the same key.
    RC_ASSERT(refuse.error.kind != ErrorKind::kIdempotencyConflict);
    if (AnswerFor(refuse.error.kind).ran == Ran::kNo) not_run_.push_back(caller);
    CheckNotRun();
  }
  void On(std::size_t, const service_command::WakeAt&) {}
  void On(std::size_t, const service_command::RecordSuccess&) {}

  // A call that was reported to its caller as not run has not run and never runs.
  void CheckNotRun() {
    for (const std::size_t caller : not_run_) RC_ASSERT(!ran_by_caller_.contains(caller));
  }

  CallKind kind_;
  std::vector<Caller> callers_;
  std::deque<std::function<void()>> messages_;
  std::vector<Attempt> attempts_;
  std::map<std::size_t, bool> ran_by_caller_;
  std::vector<std::size_t> not_run_;
  ClaimStore claims_;
  int runs_ = 0;
  int answered_ = 0;
};

struct Step {
  int kind;
  std::size_t pick;
  int amount;
};

std::ostream& operator<<(std::ostream& out, const Step& step) {
  return out << '{' << step.kind << ' ' << step.pick << ' ' << step.amount << '}';
}

void ExecuteStep(ServiceCallSimulation* simulation, const Step& step, std::size_t callers) {
  switch (step.kind) {
    case 0:
      simulation->DeliverMessage(step.pick, false);
      break;
    case 1:
      simulation->DeliverMessage(step.pick, true);
      break;
    case 2:
      simulation->LoseMessage(step.pick);
      break;
    case 3:
      simulation->ClaimTimesOut(step.pick % callers);
      break;
    case 4:
      simulation->ResolveAttempt(step.pick, step.amount % 9);
      break;
    case 5:
      simulation->Wait(milliseconds(step.amount * 5));
      break;
    case 6:
      simulation->ExpireClaim();
      break;
    case 7:
      simulation->CallerGone(step.pick % callers);
      break;
    default:
      break;
  }
}

}  // namespace

TEST_CASE(
    "Claimed calls run at most once in all, calls without a key once per caller, and no call runs "
    "after a refusal as not run") {
  std::int64_t steps_run = 0;
  std::map<CallKind, int> runs;
  std::map<CallKind, int> answered;
  CheckProperty("answers agree with the runs on the backend servers", [&] {
    const auto kind = *rc::gen::element(CallKind::kClaimed, CallKind::kClaimed,
                                        CallKind::kWithoutKey, CallKind::kRepeatable);
    const auto callers = *rc::gen::inRange<std::size_t>(1, 4);
    const auto step_generator = rc::gen::construct<Step>(
        rc::gen::weightedElement<int>(
            {{30, 0}, {6, 1}, {6, 2}, {4, 3}, {25, 4}, {10, 5}, {1, 6}, {1, 7}}),
        rc::gen::inRange<std::size_t>(0, 1000), rc::gen::inRange(0, 100));
    const auto steps = *rc::gen::container<std::vector<Step>>(120, step_generator);
    ServiceCallSimulation simulation(kind, callers);
    for (const Step& step : steps) ExecuteStep(&simulation, step, callers);
    simulation.CheckAllAnswered();
    steps_run += 120;
    runs[kind] += simulation.runs();
    answered[kind] += simulation.answered();
  });
  CHECK(steps_run >= 10'000);
  for (const CallKind kind : {CallKind::kClaimed, CallKind::kWithoutKey, CallKind::kRepeatable}) {
    CHECK(runs[kind] > 0);
    CHECK(answered[kind] > 0);
  }
}

TEST_CASE("A call without an answer to claim.begin is not sent, and a late grant is released") {
  const ClaimRequest claim{{"clinic", "key", "q1"}, "d", "r", 1};
  ServiceCallOptions options;
  options.request_id = "q1";
  options.deadline = seconds(10);
  options.claim = claim;
  const ServiceCallHooks hooks{
      [](std::span<const BackendChoice>) {
        return BackendChoice{"s", 1};
      },
      [] { return false; },
      [](int, Instant, Instant) { return std::optional<Duration>(milliseconds(5)); }};
  ServiceCall call(options, hooks);
  call.Start(seconds(1));
  int asked = 1;
  Instant now = seconds(1);
  while (!call.done()) {
    call.OnClaimFailed(now);
    now += milliseconds(100);
    for (const ServiceCommand& command : call.OnWake(now)) {
      REQUIRE(std::holds_alternative<service_command::BeginClaim>(command));
      CHECK(std::get<service_command::BeginClaim>(command).request == claim);
      ++asked;
    }
  }
  CHECK(asked == 3);
  CHECK(call.attempts() == 0);
  const ServiceCommands late = call.OnClaim({ClaimVerdict::kGranted, {}}, now);
  REQUIRE(late.size() == 1);
  CHECK(std::holds_alternative<service_command::ReleaseClaim>(late[0]));
}

TEST_CASE("A call that may not be repeated goes out on a connection without earlier answers") {
  for (const bool repeatable : {true, false}) {
    ServiceCallOptions options;
    options.request_id = "q1";
    options.deadline = seconds(10);
    options.repeatable = repeatable;
    const ServiceCallHooks hooks{[](std::span<const BackendChoice>) {
                                   return BackendChoice{"s", 1};
                                 },
                                 [] { return false; },
                                 [](int, Instant, Instant) { return std::optional<Duration>(); }};
    ServiceCall call(options, hooks);
    const ServiceCommands commands = call.Start(seconds(1));
    const auto start = std::find_if(commands.begin(), commands.end(), [](const auto& command) {
      return std::holds_alternative<service_command::StartAttempt>(command);
    });
    REQUIRE(start != commands.end());
    CHECK(std::get<service_command::StartAttempt>(*start).new_connection == !repeatable);
  }
}

TEST_CASE("A condemned call is never sent, nor sent again after a lost attempt") {
  bool is_condemned = true;
  ServiceCallOptions options;
  options.request_id = "q1";
  options.deadline = seconds(10);
  options.repeatable = true;
  const ServiceCallHooks hooks{
      [](std::span<const BackendChoice>) {
        return BackendChoice{"s", 1};
      },
      [&] { return is_condemned; },
      [](int, Instant, Instant) { return std::optional<Duration>(milliseconds(5)); }};
  ServiceCall refused(options, hooks);
  const ServiceCommands commands = refused.Start(seconds(1));
  REQUIRE(commands.size() == 1);
  REQUIRE(std::holds_alternative<service_command::Refuse>(commands[0]));
  CHECK(std::get<service_command::Refuse>(commands[0]).error.kind == ErrorKind::kPoisonRequest);
  is_condemned = false;
  ServiceCall lost(options, hooks);
  lost.Start(seconds(1));
  CHECK(lost.attempts() == 1);
  lost.OnFailure("q1-1", CallFailure::kBroken, seconds(1));
  is_condemned = true;
  lost.OnWake(seconds(2));
  CHECK(lost.done());
  CHECK(lost.attempts() == 1);
}

TEST_CASE("A call that backs off after an error answer isn't hedged, and keeps to its attempts") {
  ServiceCallOptions options;
  options.request_id = "q1";
  options.deadline = seconds(10);
  options.repeatable = true;
  options.max_attempts = 3;
  options.hedge_after = milliseconds(300);
  int servers = 0;
  const ServiceCallHooks hooks{
      [&](std::span<const BackendChoice>) {
        return BackendChoice{fmt::format("s{}", ++servers), 1};
      },
      [] { return false; },
      [](int, Instant, Instant) { return std::optional<Duration>(milliseconds(200)); }};
  ServiceCall call(options, hooks);
  const RecordedAnswer error{500, "", "failed"};
  const Instant start = seconds(1);
  call.Start(start);
  call.OnAnswer("q1-1", error, start + milliseconds(200));
  // The hedge of the first attempt would be due, the next attempt isn't yet.
  call.OnWake(start + milliseconds(300));
  CHECK(call.attempts() == 1);
  call.OnWake(start + milliseconds(400));
  CHECK(call.attempts() == 2);
  call.OnAnswer("q1-2", error, start + milliseconds(500));
  call.OnWake(start + milliseconds(700));
  const ServiceCommands commands = call.OnAnswer("q1-3", {200, "", "whole"}, start + seconds(1));
  CHECK(call.attempts() == 3);
  const bool is_answered = std::any_of(commands.begin(), commands.end(), [](const auto& command) {
    const auto* answer = std::get_if<service_command::Answer>(&command);
    return answer != nullptr && answer->answer.body == "whole";
  });
  CHECK(is_answered);
}

}  // namespace kumquat
