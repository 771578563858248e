// Forwarded requests against backend servers that do anything, watched by an oracle of what ran.
#include "coordination/forwarding/forward_request.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>

#include "property.h"

namespace kumquat {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t kEvents = 6;
constexpr int kServers = 4;

// What a backend server does next with an attempt.
enum class Act {
  kNotSent,
  kPromiseNotRun,
  kHeadOk,
  kHeadFailure,
  kHeadFalsePromise,
  kHeadOdd,
  kNextEvent,
  kRepeatEvent,
  kSkipEvent,
  kEnd,
  kBreak,
  kSilence,
  kMove,
  kLast = kMove,
};

// One request and its backend servers. Every hook checks what must hold.
class Bench {
 public:
  Bench(const ForwardPolicy& policy, int budget, bool has_copies)
      : policy_(policy), budget_(budget), has_copies_(has_copies), request_(policy, Hooks()) {}

  void Start() { request_.Start(now_); }

  void Do(Act act) {
    now_ += milliseconds(10);
    const std::int64_t attempt = request_.attempt();
    if (attempt == 0) {
      request_.OnPlaceFree(now_);
      return;
    }
    switch (act) {
      case Act::kNotSent:
        if (has_head_) return;
        running_ = false;
        request_.OnFailure(attempt, CallFailure::kNotSent, now_);
        return;
      case Act::kPromiseNotRun:
        if (has_head_) return;
        running_ = false;
        request_.OnHead(attempt, {503, true, true}, now_);
        return;
      case Act::kHeadOk:
        return Head({200, false, true});
      case Act::kHeadFailure:
        return Head({500, false, true});
      case Act::kHeadFalsePromise:
        return Head({503, false, true});
      case Act::kHeadOdd:
        return Head({200, false, false});
      case Act::kNextEvent:
        return Event(next_event_ + 1);
      case Act::kRepeatEvent:
        return Event(next_event_);
      case Act::kSkipEvent:
        return Event(next_event_ + 2);
      case Act::kEnd:
        // A whole stream has all its events.
        if (!has_head_ || (policy_.is_stream && status_ == 200 && next_event_ < kEvents)) return;
        running_ = false;
        ended_whole_ = true;
        request_.OnEnd(attempt, now_);
        return;
      case Act::kBreak:
        Run();
        running_ = false;
        request_.OnFailure(attempt, CallFailure::kBroken, now_);
        return;
      case Act::kSilence:
        Run();
        request_.OnFailure(attempt, CallFailure::kSilent, now_);
        return;
      case Act::kMove:
        if (!request_.is_relaying()) return;
        Run();
        request_.OnMoved(attempt, {{"copy", 1}, {}, "moved"}, now_);
        return;
    }
  }

  void PassDeadline() {
    now_ = std::max(now_, policy_.deadline);
    if (request_.attempt() != 0) Run();
    request_.OnDeadline(now_);
  }

  void CallerGoes() { request_.OnCallerGone(); }

  const ForwardRequest& request() const { return request_; }
  int answers() const { return answers_; }
  int runs() const { return runs_; }

 private:
  // The attempt in progress may have run.
  void Run() {
    if (counted_) return;
    counted_ = true;
    ++runs_;
    RC_ASSERT(runs_ <= std::max<std::int64_t>(1, policy_.attempts));
    const bool may_repeat = policy_.may_repeat || policy_.is_resumable;
    if (!may_repeat) RC_ASSERT(runs_ == 1);
  }

  void Head(const AnswerHead& head) {
    if (has_head_) return;
    Run();
    has_head_ = true;
    status_ = head.status;
    request_.OnHead(request_.attempt(), head, now_);
  }

  void Event(std::int64_t id) {
    if (!has_head_ || !policy_.is_stream || status_ != 200 || id > kEvents || id < 1) return;
    next_event_ = std::max(next_event_, id);
    request_.OnEvent(request_.attempt(), id, std::to_string(id), now_);
  }

  ForwardHooks Hooks() {
    ForwardHooks hooks;
    hooks.choose = [](std::span<const BackendChoice> avoid) -> std::optional<BackendChoice> {
      for (int i = 0; i < kServers; ++i) {
        const BackendChoice server{fmt::format("s{}", i), 1};
        if (std::find(avoid.begin(), avoid.end(), server) == avoid.end()) return server;
      }
      return std::nullopt;
    };
    hooks.try_repeat = [this] { return budget_-- > 0; };
    hooks.find_copy = [this]() -> std::optional<RunCopy> {
      if (!std::exchange(has_copies_, false)) return std::nullopt;
      return RunCopy{{"copy", 1}, {}, "kept"};
    };
    hooks.choose_to_go_on =
        [](std::span<const BackendChoice> avoid) -> std::optional<BackendChoice> {
      if (avoid.size() % 2 == 0) return std::nullopt;
      return BackendChoice{fmt::format("other{}", avoid.size()), 1};
    };
    hooks.send = [this](const SendCommand& command) { Sent(command); };
    hooks.cancel = [this](std::int64_t) { running_ = false; };
    hooks.relay_head = [this](std::int64_t) {
      RC_ASSERT(relayed_ == 0);
      RC_ASSERT(answers_ == 0);
    };
    hooks.relay_event = [this](std::string_view event) {
      // Each event once, and none is left out.
      RC_ASSERT(std::string(event) == std::to_string(++relayed_));
      RC_ASSERT(answers_ == 0);
    };
    hooks.relay_end = [this] {
      RC_ASSERT(ended_whole_);
      RC_ASSERT(relayed_ == kEvents);
      ++answers_;
    };
    hooks.relay_whole = [this](std::int64_t) {
      RC_ASSERT(ended_whole_);
      RC_ASSERT(relayed_ == 0);
      // Only the system's own refusals promise that a request has not run.
      if (!policy_.may_repeat) RC_ASSERT(status_ != 503);
      ++answers_;
    };
    hooks.refuse = [this](const Refusal& refusal) {
      RC_ASSERT(relayed_ == 0);
      if (AnswerFor(refusal.kind).ran == Ran::kNo) RC_ASSERT(runs_ == 0);
      RC_ASSERT(!running_);
      ++answers_;
    };
    hooks.cut = [this] {
      RC_ASSERT(relayed_ > 0);
      ++answers_;
    };
    hooks.retry_after = [] { return std::optional<Duration>(seconds(1)); };
    return hooks;
  }

  void Sent(const SendCommand& command) {
    // Two attempts never run side by side.
    RC_ASSERT(!running_);
    RC_ASSERT(answers_ == 0);
    running_ = true;
    has_head_ = false;
    ended_whole_ = false;
    // A run that goes on from a copy is the same run.
    counted_ = command.copy.has_value();
    if (policy_.is_resumable || command.copy) {
      RC_ASSERT(command.resume_after.value_or(0) == relayed_);
    }
    next_event_ = command.resume_after.value_or(0);
  }

  ForwardPolicy policy_;
  int budget_;
  bool has_copies_;
  Instant now_{seconds(1)};
  bool running_ = false;
  bool has_head_ = false;
  bool ended_whole_ = false;
  bool counted_ = false;
  int status_ = 0;
  std::int64_t next_event_ = 0;
  std::int64_t relayed_ = 0;
  int runs_ = 0;
  int answers_ = 0;
  ForwardRequest request_;
};

ForwardPolicy AnyPolicy() {
  ForwardPolicy policy;
  policy.is_stream = *rc::gen::arbitrary<bool>();
  policy.is_resumable = policy.is_stream && *rc::gen::arbitrary<bool>();
  policy.may_repeat = !policy.is_stream && *rc::gen::arbitrary<bool>();
  policy.attempts = *rc::gen::inRange(1, 4);
  policy.deadline = seconds(60);
  policy.queue_until = seconds(30);
  return policy;
}

TEST_CASE("Whatever backend servers do, a request runs as its kind allows and is answered once") {
  int whole = 0;
  int runs = 0;
  CheckProperty("forwarded requests", [&] {
    Bench bench(AnyPolicy(), *rc::gen::inRange(0, 6), *rc::gen::arbitrary<bool>());
    bench.Start();
    const auto acts = *rc::gen::container<std::vector<int>>(
        *rc::gen::inRange(0, 40), rc::gen::inRange(0, static_cast<int>(Act::kLast) + 1));
    for (const int act : acts) bench.Do(static_cast<Act>(act));
    if (bench.request().done()) ++whole;
    if (*rc::gen::arbitrary<bool>()) {
      bench.PassDeadline();
      RC_ASSERT(bench.answers() == 1);
    } else {
      const int before = bench.answers();
      bench.CallerGoes();
      RC_ASSERT(bench.answers() == before);
    }
    RC_ASSERT(bench.request().done());
    const int answers = bench.answers();
    for (const int act : acts) bench.Do(static_cast<Act>(act));
    RC_ASSERT(bench.answers() == answers);
    runs += bench.runs();
  });
  CHECK(whole > 0);
  CHECK(runs > 0);
}

// What the hooks of one request were told, where a test looks at single steps.
struct Told {
  std::vector<SendCommand> sends;
  std::vector<Refusal> refusals;
  std::string relayed;
  int whole = 0;
  int ended = 0;
  int cuts = 0;
  int budget = 10;
  bool has_server = true;
  bool has_others = false;
  std::optional<RunCopy> copy;

  ForwardHooks Hooks() {
    ForwardHooks hooks;
    hooks.choose = [this](std::span<const BackendChoice> avoid) -> std::optional<BackendChoice> {
      if (!has_server) return std::nullopt;
      return BackendChoice{fmt::format("s{}", avoid.size()), 1};
    };
    hooks.try_repeat = [this] { return budget-- > 0; };
    hooks.find_copy = [this] { return std::exchange(copy, std::nullopt); };
    hooks.choose_to_go_on =
        [this](std::span<const BackendChoice> avoid) -> std::optional<BackendChoice> {
      if (!has_others) return std::nullopt;
      return BackendChoice{fmt::format("other{}", avoid.size()), 1};
    };
    hooks.send = [this](const SendCommand& command) { sends.push_back(command); };
    hooks.cancel = [](std::int64_t) {};
    hooks.relay_head = [](std::int64_t) {};
    hooks.relay_event = [this](std::string_view event) { relayed += event; };
    hooks.relay_end = [this] { ++ended; };
    hooks.relay_whole = [this](std::int64_t) { ++whole; };
    hooks.refuse = [this](const Refusal& refusal) { refusals.push_back(refusal); };
    hooks.cut = [this] { ++cuts; };
    hooks.retry_after = [] { return std::optional<Duration>(milliseconds(300)); };
    return hooks;
  }
};

ForwardPolicy PolicyOf(bool may_repeat, bool is_stream, bool is_resumable) {
  ForwardPolicy policy;
  policy.may_repeat = may_repeat;
  policy.is_stream = is_stream;
  policy.is_resumable = is_resumable;
  policy.attempts = 2;
  policy.deadline = seconds(10);
  policy.queue_until = seconds(2);
  return policy;
}

// Kept from a day of the bench: with the budget used up, the failure that a runner had answered was
// thrown away for one of our own.
TEST_CASE("A failure is passed on where the budget allows no other run") {
  Told told;
  told.budget = 0;
  ForwardRequest request(PolicyOf(true, false, false), told.Hooks());
  request.Start(seconds(1));
  request.OnHead(1, {500, false, true}, seconds(1));
  request.OnEnd(1, seconds(1));
  CHECK(told.sends.size() == 1);
  CHECK(told.whole == 1);
  CHECK(told.refusals.empty());
}

TEST_CASE("A repeatable request that failed runs once more elsewhere") {
  Told told;
  ForwardRequest request(PolicyOf(true, false, false), told.Hooks());
  request.Start(seconds(1));
  request.OnHead(1, {500, false, true}, seconds(1));
  REQUIRE(told.sends.size() == 2);
  CHECK(told.sends[0].backend != told.sends[1].backend);
  request.OnHead(2, {500, false, true}, seconds(1));
  request.OnEnd(2, seconds(1));
  CHECK(told.whole == 1);
  CHECK(told.budget == 9);
}

TEST_CASE("A request without a server waits, then is refused as not run with when to come back") {
  Told told;
  told.has_server = false;
  ForwardRequest request(PolicyOf(false, false, false), told.Hooks());
  request.Start(seconds(1));
  CHECK(request.waits());
  request.OnPlaceFree(seconds(2) - milliseconds(1));
  CHECK(told.refusals.empty());
  request.OnPlaceFree(seconds(2));
  REQUIRE(told.refusals.size() == 1);
  CHECK(AnswerFor(told.refusals[0].kind).ran == Ran::kNo);
  CHECK(told.refusals[0].retry_after == milliseconds(300));
}

TEST_CASE("A stream that can't begin again goes on from a copy, as the same run") {
  Told told;
  told.copy = RunCopy{{"keeper", 1}, {}, "id"};
  ForwardRequest request(PolicyOf(false, true, false), told.Hooks());
  request.Start(seconds(1));
  request.OnHead(1, {200, false, true}, seconds(1));
  request.OnEvent(1, 1, "a", seconds(1));
  request.OnEvent(1, 2, "b", seconds(1));
  request.OnFailure(1, CallFailure::kBroken, seconds(1));
  REQUIRE(told.sends.size() == 2);
  CHECK(told.sends[1].backend.backend_id == "keeper");
  CHECK(told.sends[1].resume_after == 2);
  request.OnHead(2, {200, false, true}, seconds(1));
  request.OnEvent(2, 3, "c", seconds(1));
  request.OnEnd(2, seconds(1));
  CHECK(told.relayed == "abc");
  CHECK(told.ended == 1);
}

// Kept from a hunted day: the engine to which a run had been moved refused it, and the request was
// sent again from its beginning.
TEST_CASE("A run that was moved does not begin again where the copy is refused") {
  Told told;
  ForwardRequest request(PolicyOf(false, true, false), told.Hooks());
  request.Start(seconds(1));
  request.OnHead(1, {200, false, true}, seconds(1));
  request.OnEvent(1, 1, "a", seconds(1));
  request.OnMoved(1, {{"other", 1}, {}, "handle"}, seconds(1));
  REQUIRE(told.sends.size() == 2);
  CHECK(told.sends[1].copy);
  CHECK(told.sends[1].resume_after == 1);
  request.OnHead(2, {503, true, true}, seconds(1));
  CHECK(told.sends.size() == 2);
  CHECK(told.cuts == 1);
}

// Found in the logs of copenq-router-grown quiet-1: 82 of 180 streams that were cut had been moved
// to an engine that refused them.
TEST_CASE("A moved run that is refused goes on at another engine from the same copy") {
  Told told;
  told.has_others = true;
  ForwardRequest request(PolicyOf(false, true, false), told.Hooks());
  request.Start(seconds(1));
  request.OnHead(1, {200, false, true}, seconds(1));
  request.OnEvent(1, 1, "a", seconds(1));
  request.OnMoved(1, {{"full", 1}, {"10.0.0.1", 1}, "handle"}, seconds(1));
  request.OnHead(2, {503, true, true}, seconds(1));
  REQUIRE(told.sends.size() == 3);
  CHECK(told.sends[2].backend.backend_id == "other1");
  REQUIRE(told.sends[2].copy);
  CHECK(told.sends[2].copy->handle == "handle");
  CHECK(told.sends[2].copy->holder == Endpoint{"10.0.0.1", 1});
  CHECK(told.sends[2].resume_after == 1);
  CHECK(told.cuts == 0);
  CHECK(request.runs() == 1);
  // Without end it doesn't go on.
  for (std::int64_t attempt = 3; !request.done(); ++attempt) {
    REQUIRE(attempt < 10);
    request.OnFailure(attempt, CallFailure::kNotSent, seconds(1));
  }
  CHECK(told.cuts == 1);
}

TEST_CASE("A stream whose first event is missing is not passed on") {
  Told told;
  ForwardPolicy policy = PolicyOf(false, true, false);
  policy.caller_has_event = 12;
  ForwardRequest request(policy, told.Hooks());
  request.Start(seconds(1));
  CHECK(!told.sends[0].resume_after);
  request.OnHead(1, {200, false, true}, seconds(1));
  request.OnEvent(1, 12, "old", seconds(1));
  request.OnEvent(1, 14, "later", seconds(1));
  CHECK(told.relayed.empty());
  CHECK(told.refusals.size() == 1);
}

TEST_CASE("A stream that can't begin again is cut where its copy is gone") {
  Told told;
  told.copy = RunCopy{{"keeper", 1}, {}, "id"};
  ForwardRequest request(PolicyOf(false, true, false), told.Hooks());
  request.Start(seconds(1));
  request.OnHead(1, {200, false, true}, seconds(1));
  request.OnEvent(1, 1, "a", seconds(1));
  request.OnFailure(1, CallFailure::kBroken, seconds(1));
  request.OnHead(2, {503, true, true}, seconds(1));
  CHECK(told.sends.size() == 2);
  CHECK(told.cuts == 1);
}

}  // namespace
}  // namespace kumquat
