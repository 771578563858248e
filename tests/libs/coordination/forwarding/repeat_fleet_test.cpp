// Tests the sum of all routers' repeats, as runners count them, against what a service allows in
// any window: routers, their requests, engines and control replicas in virtual time.
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "coordination/forwarding/forward_request.h"
#include "coordination/forwarding/repeat_budget.h"
#include "coordination/forwarding/router_count.h"
#include "libs/coordination/forwarding/repeat_arrivals.h"

namespace kumquat {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr RepeatAllowance kAllowance{0.2, 52};
constexpr Duration kWindow = seconds(10);
constexpr Duration kTick = milliseconds(10);
constexpr Duration kDay = seconds(60);
constexpr int kEngines = 8;
constexpr std::int64_t kMaxEvents = 60;
constexpr Duration kEventInterval = milliseconds(100);
constexpr Duration kMoveTime = milliseconds(30);
constexpr Duration kLoadingNewsInterval = milliseconds(500);
constexpr Duration kDeniedMoveInterval = milliseconds(50);
constexpr Duration kOutageInterval = seconds(30);
constexpr Duration kCalm = seconds(18);
constexpr std::string_view kService = "s";

// What happens besides requests. The shares are of the sends or events that they concern.
struct Trouble {
  int routers = 6;
  double requests_per_second = 16;
  bool is_resumable = false;
  bool may_repeat = false;
  // Each second, an engine is ordered to load, and the runs that it has are moved.
  bool has_rollouts = false;
  double moves_refused = 0;
  double moves_failed = 0;
  // Engines keep copies of runs that break off.
  bool has_copies = false;
  double copies_refused = 0;
  double heads_failed = 0;
  double firsts_refused = 0;
  double not_sent = 0;
  double events_broken = 0;
  bool has_router_restarts = false;
  // One control replica after the other, or all at once, restart at this interval; 0 for never.
  Duration control_restarts{0};
  bool restarts_all_control = false;
  // From 5 s on, each two routers reach other replicas than the rest.
  bool has_cut = false;
  // All engines answer with failures, for longer than a window, after a calm time.
  bool has_outages = false;

  bool has_control() const { return has_cut || control_restarts != Duration(0); }
};

// The routers that a control replica knows, as RouterDesk counts them.
class Desk {
 public:
  // A router greeted; returns the count that it is told.
  std::int64_t Greet(std::size_t router, Instant now) {
    heard_at_[router] = now;
    std::erase_if(heard_at_, [now](const auto& entry) { return now - entry.second > kForgotten; });
    return static_cast<std::int64_t>(heard_at_.size());
  }
  void Restart() { heard_at_.clear(); }

 private:
  static constexpr Duration kForgotten = milliseconds(3500);
  std::map<std::size_t, Instant> heard_at_;
};

class Fleet {
 public:
  Fleet(const Trouble& trouble, std::uint64_t seed) : trouble_(trouble), random_(seed) {
    for (int i = 0; i < trouble.routers; ++i) StartRouter();
  }

  void Run() {
    for (; now_ < kDay; now_ += kTick) {
      if (trouble_.has_rollouts && IsAt(seconds(1))) OrderLoading();
      if (IsAt(kLoadingNewsInterval)) MoveRuns(false);
      if (IsAt(kDeniedMoveInterval)) MoveRuns(true);
      if (trouble_.has_control()) TellRouters();
      if (trouble_.has_router_restarts && IsAt(seconds(7))) RestartRouter();
      for (std::size_t i = 0; i < budgets_.size(); ++i) {
        const double share = trouble_.requests_per_second * 0.01;
        if (Happens(share)) StartRequest(i);
      }
      // Handling a request can't start others.
      for (const auto& stream : streams_) Advance(*stream);
      std::erase_if(streams_, [](const auto& stream) { return stream->request->done(); });
    }
  }

  const RepeatArrivals& arrivals() const { return arrivals_; }
  int complete() const { return complete_; }
  int cut() const { return cut_; }
  int moves() const { return moves_; }

 private:
  struct Stream {
    std::size_t router = 0;
    std::unique_ptr<ForwardRequest> request;
    std::optional<SendCommand> sent;
    bool has_arrived_before = false;
    bool has_head = false;
    bool may_keep_copy = false;
    std::int64_t events = 0;
    Instant next_at{0};
    std::optional<Instant> moved_at;
    bool move_was_denied = false;
  };

  bool IsAt(Duration interval) const { return now_ % interval == Duration(0); }
  bool Happens(double share) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < share;
  }

  void StartRouter() {
    budgets_.push_back(NewBudget());
    counts_.emplace_back();
  }

  // Each router greets each replica once a second, all at other times.
  void TellRouters() {
    const Duration restarts = trouble_.control_restarts;
    if (restarts != Duration(0) && IsAt(restarts)) RestartControl();
    for (std::size_t router = 0; router < counts_.size(); ++router) {
      if (!((now_ + router * milliseconds(160)) % seconds(1) == Duration(0))) continue;
      for (std::size_t i = 0; i < desks_.size(); ++i) {
        const bool is_cut = trouble_.has_cut && now_ >= seconds(5) && i / 2 != router / 2;
        if (is_cut || now_ < desk_up_at_[i]) continue;
        const std::int64_t routers = desks_[i].Greet(router, now_);
        counts_[router].OnTold(std::to_string(i), routers, desks_.size(), now_);
        budgets_[router]->SetRouters(counts_[router].routers());
      }
    }
  }

  void RestartControl() {
    const std::size_t chosen = random_() % desks_.size();
    for (std::size_t i = 0; i < desks_.size(); ++i) {
      if (i != chosen && !trouble_.restarts_all_control) continue;
      desks_[i].Restart();
      desk_up_at_[i] = now_ + milliseconds(300);
      for (RouterCount& count : counts_) count.OnLost(std::to_string(i));
    }
  }

  std::unique_ptr<RepeatBudget> NewBudget() const {
    auto budget = std::make_unique<RepeatBudget>(kAllowance);
    if (!trouble_.has_control()) budget->SetRouters(trouble_.routers);
    return budget;
  }

  void RestartRouter() {
    const std::size_t router = random_() % budgets_.size();
    for (const auto& stream : streams_) {
      if (stream->router == router) stream->request->OnCallerGone();
    }
    std::erase_if(streams_, [](const auto& stream) { return stream->request->done(); });
    budgets_[router] = NewBudget();
    counts_[router] = RouterCount();
  }

  std::optional<BackendChoice> ChooseEngine(std::span<const BackendChoice> avoid) {
    const auto first = static_cast<int>(random_() % kEngines);
    for (int i = 0; i < kEngines; ++i) {
      const BackendChoice engine{fmt::format("e{}", (first + i) % kEngines), 1};
      const bool is_avoided = std::find(avoid.begin(), avoid.end(), engine) != avoid.end();
      if (!is_avoided && !IsLoading(engine.backend_id)) return engine;
    }
    return std::nullopt;
  }

  bool IsLoading(const std::string& engine) const {
    const auto found = loading_until_.find(engine);
    return found != loading_until_.end() && now_ < found->second;
  }

  void OrderLoading() {
    loading_until_[fmt::format("e{}", random_() % kEngines)] = now_ + seconds(3);
    MoveRuns(false);
  }

  void MoveRuns(bool only_denied) {
    for (const auto& stream : streams_) {
      const bool can_move = stream->sent && stream->request->is_relaying() && !stream->moved_at &&
                            IsLoading(stream->sent->backend.backend_id);
      if (!can_move || (only_denied && !stream->move_was_denied)) continue;
      stream->move_was_denied = !stream->request->BeginMove(stream->sent->attempt);
      if (!stream->move_was_denied) stream->moved_at = now_ + kMoveTime;
    }
  }

  void StartRequest(std::size_t router) {
    ForwardPolicy policy;
    policy.is_stream = true;
    policy.is_resumable = trouble_.is_resumable;
    policy.may_repeat = trouble_.may_repeat;
    policy.attempts = trouble_.is_resumable || trouble_.may_repeat ? 3 : 1;
    policy.deadline = now_ + seconds(15);
    policy.queue_until = now_;
    auto stream = std::make_unique<Stream>();
    stream->router = router;
    stream->request = std::make_unique<ForwardRequest>(policy, Hooks(*stream));
    Stream& started = *stream;
    streams_.push_back(std::move(stream));
    arrivals_.OnRequest(now_);
    budgets_[router]->OnRequest(std::string(kService));
    started.request->Start(now_);
  }

  ForwardHooks Hooks(Stream& stream) {
    const std::string service(kService);
    RepeatBudget& budget = *budgets_[stream.router];
    ForwardHooks hooks;
    hooks.choose = [this](std::span<const BackendChoice> avoid) { return ChooseEngine(avoid); };
    hooks.choose_to_resume = hooks.choose;
    hooks.is_condemned = [] { return false; };
    hooks.try_repeat = [&budget, service] { return budget.TryRepeat(service); };
    hooks.try_optional_repeats = [&budget, service](int count) {
      return budget.TryOptionalRepeats(service, count);
    };
    hooks.return_repeat = [&budget, service] { budget.ReturnRepeat(service); };
    hooks.send = [this, &stream](const SendCommand& command) {
      stream.sent = command;
      stream.has_head = false;
      stream.moved_at.reset();
      stream.move_was_denied = false;
      stream.next_at = now_ + kTick;
    };
    hooks.find_copy = [this, &stream]() -> std::optional<RunCopy> {
      const auto engine = ChooseEngine({});
      if (!trouble_.has_copies || !std::exchange(stream.may_keep_copy, false) || !engine) {
        return std::nullopt;
      }
      return RunCopy{*engine, {}, "kept"};
    };
    hooks.cancel = [&stream](std::int64_t) { stream.sent.reset(); };
    hooks.relay_head = [](std::int64_t) {};
    hooks.relay_event = [](std::string_view) {};
    hooks.relay_end = [this] { ++complete_; };
    hooks.relay_whole = [this](std::int64_t) { ++complete_; };
    hooks.refuse = [](const Refusal&) {};
    hooks.cut = [this] { ++cut_; };
    hooks.retry_after = [] { return std::nullopt; };
    return hooks;
  }

  // Counts the arrival of the send in progress; `is_accepted` if the engine goes on with the run.
  void CountArrival(Stream& stream, bool is_accepted) {
    if (!std::exchange(stream.has_arrived_before, true)) return;
    if (stream.sent->copy && is_accepted) {
      arrivals_.OnSameRun(now_);
    } else {
      arrivals_.OnRepeat(now_);
    }
  }

  void Advance(Stream& stream) {
    if (stream.request->done() || !stream.sent) return;
    const SendCommand sent = *stream.sent;
    if (stream.moved_at && now_ >= *stream.moved_at) return FinishMove(stream);
    if (now_ < stream.next_at) return;
    stream.next_at = now_ + kEventInterval;
    if (!stream.has_head) return Answer(stream);
    if (Happens(trouble_.events_broken)) {
      stream.sent.reset();
      stream.may_keep_copy = true;
      return stream.request->OnFailure(sent.attempt, CallFailure::kBroken, now_);
    }
    const std::int64_t id = stream.request->last_event() + 1;
    if (id <= kMaxEvents) return stream.request->OnEvent(sent.attempt, id, "e", now_);
    stream.sent.reset();
    stream.request->OnEnd(sent.attempt, now_);
  }

  void FinishMove(Stream& stream) {
    const SendCommand sent = *stream.sent;
    stream.moved_at.reset();
    const std::array<BackendChoice, 1> avoid = {sent.backend};
    const auto target = ChooseEngine(avoid);
    if (!target || Happens(trouble_.moves_failed)) {
      return stream.request->OnMoveFailed(sent.attempt);
    }
    ++moves_;
    stream.request->OnMoved(sent.attempt, {*target, {}, "moved"}, now_);
  }

  void Answer(Stream& stream) {
    const SendCommand sent = *stream.sent;
    if (Happens(trouble_.not_sent)) {
      stream.sent.reset();
      return stream.request->OnFailure(sent.attempt, CallFailure::kNotSent, now_);
    }
    const bool is_move = sent.cause == SendCause::kMove || sent.cause == SendCause::kCopyElsewhere;
    const double refused = is_move     ? trouble_.moves_refused
                           : sent.copy ? trouble_.copies_refused
                                       : trouble_.firsts_refused;
    if (Happens(refused)) {
      CountArrival(stream, false);
      return stream.request->OnHead(sent.attempt, {503, true, true}, now_);
    }
    const bool is_out = trouble_.has_outages && now_ % kOutageInterval >= kCalm;
    const bool fails = !sent.copy && (is_out || Happens(trouble_.heads_failed));
    CountArrival(stream, !fails);
    stream.may_keep_copy = fails;
    stream.has_head = true;
    stream.request->OnHead(sent.attempt, {fails ? 500 : 200, false, true}, now_);
  }

  Trouble trouble_;
  std::mt19937_64 random_;
  Instant now_{0};
  std::vector<std::unique_ptr<RepeatBudget>> budgets_;
  std::vector<RouterCount> counts_;
  std::array<Desk, 5> desks_;
  std::array<Instant, 5> desk_up_at_{};
  std::vector<std::unique_ptr<Stream>> streams_;
  std::map<std::string, Instant> loading_until_;
  // All happens at ticks, so windows that end at ticks are all that differ.
  RepeatArrivals arrivals_{kAllowance, kWindow, kTick};
  int complete_ = 0;
  int cut_ = 0;
  int moves_ = 0;
};

constexpr int kSeeds = 5;

void CheckFleet(const std::string& name, const Trouble& trouble) {
  double worst = -kAllowance.slack;
  double worst_strict = worst;
  std::size_t repeats = 0;
  std::size_t same_runs = 0;
  int cut = 0;
  int moves = 0;
  int complete = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Fleet fleet(trouble, seed);
    fleet.Run();
    worst = std::max(worst, fleet.arrivals().WorstExcess(Instant(0), kDay + kWindow));
    worst_strict =
        std::max(worst_strict, fleet.arrivals().WorstStrictExcess(Instant(0), kDay + kWindow));
    repeats += fleet.arrivals().repeats();
    same_runs += fleet.arrivals().same_runs();
    cut += fleet.cut();
    moves += fleet.moves();
    complete += fleet.complete();
    CAPTURE(name);
    CAPTURE(seed);
    CHECK(fleet.arrivals().WorstExcess(Instant(0), kDay + kWindow) <= 0);
  }
  MESSAGE(fmt::format(
      "{}: worst window {:+.1f} of the allowance ({:+.1f} if runs that go on count), {} repeats, "
      "{} continued, {} moves, {} cut, {} complete",
      name, worst, worst_strict, repeats, same_runs, moves, cut, complete));
  CHECK(complete > 0);
}

TEST_CASE("Moved runs that engines refuse stay within the repeats of all routers") {
  for (const double refused : {0.02, 0.3, 1.0}) {
    Trouble trouble;
    trouble.has_rollouts = true;
    trouble.moves_refused = refused;
    trouble.moves_failed = 0.1;
    CheckFleet(fmt::format("moves, {} refused", refused), trouble);
  }
}

TEST_CASE("Copies of broken runs that engines refuse stay within the repeats of all routers") {
  Trouble trouble;
  trouble.has_copies = true;
  trouble.events_broken = 0.02;
  trouble.copies_refused = 1.0;
  trouble.moves_refused = 1.0;
  CheckFleet("copies refused", trouble);
}

TEST_CASE("A repeat that is drawn for a failed answer isn't used for its copy's successor too") {
  Trouble trouble;
  trouble.may_repeat = true;
  trouble.has_copies = true;
  trouble.heads_failed = 0.5;
  trouble.copies_refused = 1.0;
  trouble.moves_refused = 1.0;
  CheckFleet("failed heads, copies refused", trouble);
}

TEST_CASE("Restarts of control replicas don't give routers larger shares of the allowance") {
  for (const bool restarts_all : {false, true}) {
    for (const auto interval : {milliseconds(1000), milliseconds(2500), milliseconds(10000)}) {
      Trouble trouble;
      trouble.may_repeat = true;
      trouble.has_outages = true;
      trouble.control_restarts = interval;
      trouble.restarts_all_control = restarts_all;
      trouble.has_router_restarts = true;
      CheckFleet(fmt::format("control restarts each {} ms, {}", interval.count(),
                             restarts_all ? "all" : "one"),
                 trouble);
    }
  }
}

TEST_CASE("Routers that are cut off from each other keep to the allowance") {
  for (const bool restarts : {false, true}) {
    Trouble trouble;
    trouble.may_repeat = true;
    trouble.has_outages = true;
    trouble.has_cut = true;
    if (restarts) trouble.control_restarts = milliseconds(10000);
    CheckFleet(fmt::format("cut, control {}", restarts ? "restarts" : "runs"), trouble);
  }
}

TEST_CASE("All causes of repeats together stay within the allowance") {
  Trouble trouble;
  trouble.is_resumable = true;
  trouble.has_rollouts = true;
  trouble.has_copies = true;
  trouble.moves_refused = 0.3;
  trouble.moves_failed = 0.1;
  trouble.copies_refused = 0.5;
  trouble.heads_failed = 0.05;
  trouble.firsts_refused = 0.05;
  trouble.not_sent = 0.05;
  trouble.events_broken = 0.01;
  trouble.has_router_restarts = true;
  trouble.control_restarts = milliseconds(3000);
  CheckFleet("all causes", trouble);
}

}  // namespace
}  // namespace kumquat
