// Plays the move of runs during roll-outs in virtual time: control, routers and engines, with the
// decision classes of control and of the routers. RunMover's and ForwardExchange's handling of
// their steps is rebuilt here without connections.
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "coordination/forwarding/forward_request.h"
#include "coordination/forwarding/move_window.h"
#include "coordination/forwarding/repeat_budget.h"
#include "coordination/forwarding/router_count.h"
#include "coordination/forwarding/run_move.h"
#include "coordination/forwarding/weights_limit.h"
#include "coordination/orders/named_weights.h"
#include "coordination/orders/weights_rollout.h"
#include "libs/coordination/forwarding/repeat_arrivals.h"
#include "protocol/control_news.h"
#include "virtual_world.h"

namespace kumquat {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kRouters = 6;
constexpr std::size_t kEngines = 9;
constexpr std::size_t kReplicas = 3;
constexpr std::size_t kSlots = 24;
const std::string kModel = "lm";
const std::string kService = "s";

constexpr Duration kDay = seconds(24);
// Streams go on for so long after the last one has begun.
constexpr Duration kEvening = seconds(10);
// All routers together get 36 requests a second.
constexpr Duration kRequestInterval = milliseconds(166);
constexpr Duration kDeadline = seconds(15);
constexpr Duration kQueueTime = milliseconds(500);

// What the rules allow.
constexpr RepeatAllowance kAllowance{0.2, 52};
constexpr Duration kWindow = seconds(10);
constexpr Duration kWindowStep = milliseconds(100);
constexpr Duration kLongestLag = seconds(10);
constexpr Duration kTwiceTime = milliseconds(400);

constexpr Duration kLoadTime = milliseconds(830);
constexpr Duration kHandleLife = seconds(10);
constexpr Duration kAnnouncementInterval = seconds(1);
constexpr Duration kEngineDownTime = seconds(1);

// As in kumquatcontrol.
constexpr Duration kOperatorTick = milliseconds(20);
constexpr Duration kPublishInterval = milliseconds(500);
constexpr Duration kConfirmedFor = milliseconds(500);
constexpr Duration kConfirmInterval = milliseconds(200);
constexpr Duration kCallTimeout = milliseconds(1000);
constexpr Duration kRouterForgotten = milliseconds(3500);
// As in kumquatrouter.
constexpr Duration kGreetingInterval = seconds(1);
constexpr Duration kAdvanceInterval = milliseconds(50);
constexpr Duration kLoadingNewsLifetime = milliseconds(1800);
constexpr Duration kMoveTimeout = milliseconds(1000);
constexpr Duration kTimeToResume = milliseconds(30);
constexpr std::size_t kDrawnMoveTargets = 2;

// What goes wrong. Shares are of the messages that they concern.
struct Trouble {
  std::string name;
  double late_news = 0;
  bool has_frozen_routers = false;
  bool has_router_stops = false;
  bool has_leader_changes = false;
  // The connection of a call that moves a run breaks, before or after the engine carried it out.
  double broken_move_calls = 0;
  // Such a call gets no answer until its timeout, though the engine carried it out.
  double silent_move_calls = 0;
  // Such a call breaks, and the engine carries it out up to half a second later.
  double late_move_calls = 0;
  // Copies wait for others on the links of both engines.
  bool has_queued_copies = false;
  // Some copies of whole runs take up to 0.6 s.
  double slow_copies = 0;
  // Targets refuse moved runs that they could take, and keep their copies.
  double refused_moves = 0;
  bool has_engine_restarts = false;
  double late_orders = 0;
};

struct Figures {
  int complete = 0;
  int refused = 0;
  int moved = 0;
  int given_up = 0;
  // Moved runs that their targets refused, and those of them that went on at their sources.
  int moves_refused = 0;
  int returned = 0;
  // Streams that were cut though no engine of theirs had restarted, by reason.
  std::map<std::string, int> cut;
  // How many of these were at a router that froze after it had asked to stop the run.
  int frozen_cuts = 0;
  // Streams cut after a restart of their engine, at their deadline or at the end of a grace.
  int excused_cuts = 0;
  int begun_too_late = 0;
  int twice = 0;
  std::int64_t tokens_moved = 0;
  double worst_excess = -kAllowance.slack;
  double worst_strict_excess = -kAllowance.slack;
  int loads = 0;

  int cuts() const {
    int sum = 0;
    for (const auto& [reason, count] : cut) sum += count;
    return sum;
  }
};

struct Mover {
  Mover(BackendChoice source, Endpoint endpoint) : move(std::move(source), std::move(endpoint)) {}
  RunMove move;
  // The call that is in progress; 0 for none.
  std::int64_t call = 0;
};

struct Attempt {
  std::int64_t number = 0;
  BackendChoice engine;
  bool has_data = false;
  std::unique_ptr<Mover> mover;
  CallFailure failure_at_stop = CallFailure::kBroken;
};

class MoveFleet {
 public:
  MoveFleet(const Trouble& trouble, std::uint64_t seed, bool is_traced)
      : trouble_(trouble), world_(seed), is_traced_(is_traced) {
    for (std::size_t i = 0; i < kEngines; ++i) {
      engines_.emplace_back();
      engines_[i].id = fmt::format("e{}", i);
    }
    for (std::size_t i = 0; i < kReplicas; ++i) replicas_.emplace_back(&world_);
    for (std::size_t i = 0; i < kRouters; ++i) {
      routers_.push_back(std::make_unique<Router>(&world_));
      routers_[i]->index = i;
    }
    begin_ = world_.now();
    end_of_day_ = begin_ + kDay;
  }

  void Run() {
    named_at_[1] = Instant(0);
    BeginTerm();
    for (std::size_t i = 0; i < kRouters; ++i) {
      StartRouter(i);
      After(world_.Between(Duration(0), kRequestInterval), [this, i] { RequestDue(i); });
    }
    After(milliseconds(100), [this] { AnnounceEngines(); });
    After(world_.Between(seconds(4), seconds(6)), [this] { NameVersion(); });
    if (trouble_.has_frozen_routers) After(seconds(5), [this] { FreezeRouter(); });
    if (trouble_.has_router_stops) After(seconds(6), [this] { StopRouter(); });
    if (trouble_.has_leader_changes) After(seconds(7), [this] { ChangeLeader(); });
    if (trouble_.has_engine_restarts) After(seconds(6), [this] { RestartEngine(); });
    world_.Advance(kDay + kEvening, [] {});
    const Instant end = end_of_day_ + kEvening;
    figures_.worst_excess = arrivals_.WorstExcess(begin_, end);
    figures_.worst_strict_excess = arrivals_.WorstStrictExcess(begin_, end);
  }

  const Figures& figures() const { return figures_; }
  // Returns what happened to the first stream that was cut.
  const std::string& trace() const { return trace_; }

 private:
  struct EngineRun {
    std::int64_t attempt = 0;
    Instant ends_at{0};
  };

  // The memory of a run at an engine that doesn't run it.
  struct KeptMemory {
    std::int64_t stream = 0;
    std::int64_t version = 0;
  };

  struct Engine {
    std::string id;
    std::int64_t incarnation = 1;
    std::int64_t version = 1;
    bool is_up = true;
    std::int64_t orders = 0;
    std::int64_t highest_fence = 0;
    std::optional<std::int64_t> ordered_version;
    bool is_loading = false;
    std::map<std::int64_t, EngineRun> runs;
    // By handle.
    std::map<std::string, KeptMemory> kept;
    // When the copies that wait for its link are complete.
    Instant link_free_at{0};

    bool has_room() const { return runs.size() + kept.size() < kSlots; }
    BackendChoice choice() const { return {id, incarnation}; }
  };

  struct AnnouncedEngine {
    std::int64_t incarnation = 1;
    std::int64_t version = 1;
  };

  struct Term {
    std::size_t replica = 0;
    std::int64_t number = 0;
    std::unique_ptr<WeightsRollout> rollout;
    NamedWeights named;
    Instant began_at{0};
    std::optional<Instant> confirmed_at;
    Instant confirm_at{0};
    bool is_deposed = false;
    EngineNews published;
    Instant published_at{0};
  };

  struct Stream;

  struct KnownEngine {
    std::int64_t incarnation = 1;
    std::int64_t version = 1;
    Instant loading_until{0};
    Instant unordered_until{0};
  };

  struct Router {
    explicit Router(VirtualWorld* world) : clock(world) {}

    std::size_t index = 0;
    std::int64_t incarnation = 0;
    bool takes_requests = false;
    Instant frozen_at{0};
    Instant frozen_until{0};
    DriftingClock clock;
    std::unique_ptr<NamedWeights> named;
    std::unique_ptr<WeightsLimit> limit;
    MoveWindow window;
    RouterCount count;
    std::unique_ptr<RepeatBudget> budget;
    std::array<KnownEngine, kEngines> engines;
    // News of one replica arrive in order.
    std::array<Instant, kReplicas> last_news_at{};
    std::map<std::int64_t, std::shared_ptr<Stream>> streams;
  };

  struct Stream {
    std::int64_t id = 0;
    std::size_t router = 0;
    std::unique_ptr<ForwardRequest> request;
    std::optional<Attempt> attempt;
    std::set<std::int64_t> cancelled;
    Duration work_left{0};
    Instant began_at{0};
    std::int64_t weights = 0;
    std::optional<BackendChoice> moved_from;
    bool has_arrived = false;
    bool is_hit_by_engine = false;
    std::optional<Instant> asked_to_stop_at;
    std::string trace;
  };

  // ---- Time.

  bool Happens(double share) {
    constexpr std::uint64_t kGrain = 10'000;
    return share > 0 &&
           world_.Below(kGrain) < static_cast<std::uint64_t>(share * static_cast<double>(kGrain));
  }
  Duration Link() { return world_.Between(milliseconds(1), milliseconds(4)); }
  void After(Duration delay, std::function<void()> event) { world_.After(delay, std::move(event)); }

  // Calls back at a router, later if it is frozen, and not if it has ended by then.
  void AtRouter(std::size_t index, Duration delay, std::function<void()> event) {
    const std::int64_t incarnation = routers_[index]->incarnation;
    AtRouterAt(index, incarnation, world_.now() + delay, std::move(event));
  }
  void AtRouterAt(std::size_t index, std::int64_t incarnation, Instant moment,
                  std::function<void()> event) {
    world_.At(moment, [this, index, incarnation, event = std::move(event)] {
      const Router& router = *routers_[index];
      if (router.incarnation != incarnation) return;
      if (world_.now() < router.frozen_until) {
        return AtRouterAt(index, incarnation, router.frozen_until, event);
      }
      event();
    });
  }

  void Trace(Stream& stream, const std::string& text) {
    if (is_traced_) {
      const double at = std::chrono::duration<double>(world_.now() - begin_).count();
      stream.trace += fmt::format("\n  {:8.4f} {}", at, text);
    }
  }
  void TraceAll(const std::string& text) {
    if (!is_traced_) return;
    for (const auto& [id, stream] : streams_) Trace(*stream, text);
  }

  // ---- Control.

  void NameVersion() {
    if (world_.now() >= end_of_day_) return;
    const std::int64_t version = ++newest_;
    named_at_[version] = world_.now();
    TraceAll(fmt::format("version {} named", version));
    for (const auto& term : terms_) {
      term->named.Learn(kModel, version, replicas_[term->replica].Now());
    }
    After(world_.Between(seconds(3), seconds(12)), [this] { NameVersion(); });
  }

  void BeginTerm() {
    auto term = std::make_unique<Term>();
    const Instant now = replicas_[leader_].Now();
    term->replica = leader_;
    term->number = ++last_term_;
    term->began_at = now;
    term->rollout = std::make_unique<WeightsRollout>(WeightsRolloutOptions{});
    for (const auto& [version, at] : named_at_) {
      term->named.Learn(kModel, version, now - (world_.now() - at));
    }
    const std::int64_t number = term->number;
    terms_.push_back(std::move(term));
    TraceAll(fmt::format("term {} begins", number));
    Tick(number);
  }

  Term* FindTerm(std::int64_t number) {
    for (const auto& term : terms_) {
      if (term->number == number) return term.get();
    }
    return nullptr;
  }

  static bool MayOrder(const Term& term, Instant now) {
    return term.confirmed_at && now < *term.confirmed_at + kConfirmedFor;
  }

  // As EngineOperator::Tick().
  void Tick(std::int64_t number) {
    Term* term = FindTerm(number);
    if (!term) return;
    const Instant now = replicas_[term->replica].Now();
    if (now >= term->began_at + kConfirmedFor) {
      Confirm(*term, now);
      if (term->is_deposed && !MayOrder(*term, now)) {
        std::erase_if(terms_, [number](const auto& one) { return one->number == number; });
        return;
      }
      if (MayOrder(*term, now)) Order(*term, now);
    }
    if (world_.now() < end_of_day_ + kEvening)
      After(kOperatorTick, [this, number] { Tick(number); });
  }

  void Confirm(Term& term, Instant now) {
    if (term.is_deposed || now < term.confirm_at) return;
    term.confirm_at = now + kConfirmInterval;
    After(2 * Link(), [this, number = term.number, now] {
      Term* current = FindTerm(number);
      if (current && !current->is_deposed) current->confirmed_at = now;
    });
  }

  std::vector<RolloutEngine> RolloutEngines() const {
    std::vector<RolloutEngine> known;
    for (std::size_t i = 0; i < kEngines; ++i) {
      RolloutEngine engine;
      engine.id = engines_[i].id;
      engine.incarnation = announced_[i].incarnation;
      engine.weights[kModel] = announced_[i].version;
      known.push_back(std::move(engine));
    }
    return known;
  }

  void Order(Term& term, Instant now) {
    for (const RolloutAction& action : term.rollout->Advance(RolloutEngines(), term.named, now)) {
      std::visit([this, &term](const auto& one) { Perform(term.number, one); }, action);
    }
    Publish(term, now);
  }

  void Perform(std::int64_t term, const EngineStateQuery& query) {
    After(Link(), [this, term, query] {
      const Engine& engine = EngineOf(query.id);
      std::optional<EngineState> state;
      if (engine.is_up && engine.incarnation == query.incarnation) {
        state.emplace();
        state->weights[kModel] = engine.version;
        state->is_busy = engine.ordered_version.has_value();
        state->orders = engine.orders;
        state->running = static_cast<std::int64_t>(engine.runs.size());
      }
      After(Link(), [this, term, query, state] {
        Term* current = FindTerm(term);
        if (!current) return;
        const Instant now = replicas_[current->replica].Now();
        current->rollout->OnEngineState(query.id, query.incarnation, state, now);
      });
    });
  }

  void Perform(std::int64_t term, const OrderWeights& order) {
    const bool is_late = Happens(trouble_.late_orders);
    const Duration delay = is_late ? world_.Between(Duration(0), seconds(5)) : Link();
    if (is_late) {
      After(kCallTimeout,
            [this, term, order] { OnOrderOutcome(term, order, OrderOutcome::kUnknown); });
    }
    After(delay, [this, term, order, is_late] {
      const OrderOutcome outcome = CarryOut(EngineOf(order.id), order, term);
      if (!is_late) {
        After(Link(), [this, term, order, outcome] { OnOrderOutcome(term, order, outcome); });
      }
    });
  }

  void OnOrderOutcome(std::int64_t term, const OrderWeights& order, OrderOutcome outcome) {
    Term* current = FindTerm(term);
    if (!current) return;
    const Instant now = replicas_[current->replica].Now();
    current->rollout->OnOrderOutcome(order.id, order.incarnation, outcome, now);
  }

  // As EngineOperator::MakeNews() and Publish().
  void Publish(Term& term, Instant now) {
    EngineNews news;
    const auto loading = term.rollout->loading();
    std::map<std::int64_t, Duration> named;
    for (std::size_t i = 0; i < kEngines; ++i) {
      const std::string& id = engines_[i].id;
      const std::int64_t announced = announced_[i].version;
      EngineNews::Engine entry;
      entry.id = id;
      entry.incarnation = announced_[i].incarnation;
      entry.is_loading = std::find(loading.begin(), loading.end(), id) != loading.end();
      if (entry.is_loading) entry.unordered_until = term.rollout->UnorderedUntil(id);
      const auto known = term.rollout->KnownVersion(id, entry.incarnation, kModel);
      const std::int64_t has = std::max(announced, known.value_or(0));
      if (has > announced) entry.weights[kModel] = has;
      const auto next = term.named.NextVersion(kModel, has);
      if (next) named[next->version] = now - next->at;
      if (entry.is_loading || !entry.weights.empty()) news.engines.push_back(std::move(entry));
    }
    for (const auto& [version, age] : named) news.named.push_back({kModel, version, age});
    news.others_unordered_until = term.rollout->OthersUnorderedUntil();
    news.move_targets = term.rollout->move_targets();
    const bool has_news = !news.engines.empty() || !news.named.empty();
    const bool is_due = has_news && now >= term.published_at + kPublishInterval;
    const bool is_same =
        news.engines == term.published.engines && news.move_targets == term.published.move_targets;
    if (is_same && !is_due) return;
    for (std::size_t i = 0; i < kRouters; ++i) {
      ToRouter(term.replica, i,
               [this, i, replica = term.replica, news] { OnEngines(*routers_[i], replica, news); });
    }
    term.published = std::move(news);
    term.published_at = now;
  }

  // Sends over the link from a replica to a router, in order.
  void ToRouter(std::size_t replica, std::size_t router, std::function<void()> event) {
    Duration delay = Link();
    if (Happens(trouble_.late_news)) delay = world_.Between(Duration(0), seconds(2));
    Instant& last = routers_[router]->last_news_at[replica];
    last = std::max(last, world_.now() + delay);
    AtRouterAt(router, routers_[router]->incarnation, last, std::move(event));
  }

  void ChangeLeader() {
    if (world_.now() >= end_of_day_) return;
    for (const auto& term : terms_) term->is_deposed = true;
    leader_ = (leader_ + 1 + world_.Below(kReplicas - 1)) % kReplicas;
    After(world_.Between(Duration(0), milliseconds(300)), [this] { BeginTerm(); });
    After(world_.Between(seconds(3), seconds(8)), [this] { ChangeLeader(); });
  }

  // ---- Engines.

  Engine& EngineOf(const std::string& id) {
    return engines_[static_cast<std::size_t>(std::stoi(id.substr(1)))];
  }

  void AnnounceEngines() {
    for (std::size_t i = 0; i < kEngines; ++i) {
      announced_[i] = {engines_[i].incarnation, engines_[i].version};
      for (const auto& router : routers_) {
        KnownEngine& known = router->engines[i];
        if (known.incarnation != announced_[i].incarnation) {
          known = {announced_[i].incarnation, announced_[i].version, Instant(0), Instant(0)};
        }
        known.version = std::max(known.version, announced_[i].version);
      }
    }
    if (world_.now() < end_of_day_ + kEvening) {
      After(kAnnouncementInterval, [this] { AnnounceEngines(); });
    }
  }

  OrderOutcome CarryOut(Engine& engine, const OrderWeights& order, std::int64_t fence) {
    if (!engine.is_up) return OrderOutcome::kUnknown;
    if (engine.incarnation != order.incarnation) return OrderOutcome::kRefused;
    if (fence < engine.highest_fence) return OrderOutcome::kFenced;
    engine.highest_fence = fence;
    if (engine.version >= order.version) return OrderOutcome::kAlreadyLoaded;
    if (engine.ordered_version || engine.orders != order.expected_orders) {
      return OrderOutcome::kConflict;
    }
    ++engine.orders;
    engine.ordered_version = order.version;
    TraceAll(fmt::format("{} accepts its order", engine.id));
    LoadIfFree(engine);
    return OrderOutcome::kAccepted;
  }

  void LoadIfFree(Engine& engine) {
    if (!engine.ordered_version || engine.is_loading || !engine.runs.empty()) return;
    engine.is_loading = true;
    After(kLoadTime, [this, id = engine.id, incarnation = engine.incarnation] {
      Engine& loaded = EngineOf(id);
      if (!loaded.is_up || loaded.incarnation != incarnation) return;
      loaded.version = *std::exchange(loaded.ordered_version, std::nullopt);
      loaded.is_loading = false;
      loaded.kept.clear();
      ++figures_.loads;
      TraceAll(fmt::format("{} has loaded", id));
    });
  }

  void RestartEngine() {
    if (world_.now() >= end_of_day_) return;
    Engine& engine = engines_[world_.Below(kEngines)];
    TraceAll(fmt::format("{} restarts", engine.id));
    for (const auto& [id, stream] : streams_) {
      const bool is_source = stream->moved_from && stream->moved_from->backend_id == engine.id;
      const auto& attempt = stream->attempt;
      const bool is_target = attempt && attempt->mover && attempt->mover->move.is_under_way() &&
                             attempt->mover->move.target().backend_id == engine.id;
      const bool is_here = attempt && attempt->engine.backend_id == engine.id;
      if (is_source || is_target || is_here) stream->is_hit_by_engine = true;
    }
    const auto runs = std::exchange(engine.runs, {});
    engine.kept.clear();
    engine.is_up = false;
    engine.ordered_version.reset();
    engine.is_loading = false;
    for (const auto& [id, run] : runs) {
      ToStream(id, run.attempt, Link(),
               [this](Stream& stream) { OnCallFailed(stream, CallFailure::kBroken); });
    }
    After(kEngineDownTime, [id = engine.id, this] {
      Engine& restarted = EngineOf(id);
      restarted.is_up = true;
      ++restarted.incarnation;
      restarted.orders = 0;
      restarted.highest_fence = 0;
    });
    After(world_.Between(seconds(2), seconds(6)), [this] { RestartEngine(); });
  }

  void EndRun(Engine& engine, std::int64_t stream) {
    engine.runs.erase(stream);
    LoadIfFree(engine);
  }

  // Calls back for an attempt that is still in progress at its router.
  void ToStream(std::int64_t id, std::int64_t attempt, Duration delay,
                std::function<void(Stream&)> event) {
    const auto found = streams_.find(id);
    if (found == streams_.end()) return;
    AtRouter(found->second->router, delay, [this, id, attempt, event = std::move(event)] {
      const auto stream = streams_.find(id);
      if (stream == streams_.end() || !stream->second->attempt) return;
      if (stream->second->attempt->number == attempt) event(*stream->second);
    });
  }

  void Arrive(std::int64_t id, const SendCommand& command, std::int64_t expected_version) {
    const auto found = streams_.find(id);
    if (found == streams_.end() || found->second->cancelled.contains(command.attempt)) return;
    Stream& stream = *found->second;
    Engine& engine = EngineOf(command.backend.backend_id);
    if (!engine.is_up) {
      return ToStream(id, command.attempt, Link(),
                      [this](Stream& one) { OnCallFailed(one, CallFailure::kNotSent); });
    }
    const bool is_other = engine.incarnation != command.backend.incarnation;
    const bool is_unfit = is_other || engine.version != expected_version;
    const auto kept = command.copy ? engine.kept.find(command.copy->handle) : engine.kept.end();
    const bool has_copy = kept != engine.kept.end();
    const bool may_run = command.copy ? has_copy : engine.has_room();
    const bool is_moved = command.cause == SendCause::kMove;
    const bool is_accepted = !is_unfit && !engine.ordered_version && may_run &&
                             !(is_moved && Happens(trouble_.refused_moves));
    if (is_moved && !is_accepted) ++figures_.moves_refused;
    if (command.cause == SendCause::kCopyElsewhere && is_accepted) ++figures_.returned;
    CountArrival(stream, command, is_accepted);
    Trace(stream, fmt::format("{} {} {}{}", engine.id, is_accepted ? "takes" : "refuses",
                              SendCauseName(command.cause),
                              engine.ordered_version ? ", is under an order" : ""));
    if (!is_accepted) {
      return ToStream(id, command.attempt, Link(),
                      [this, is_unfit, version = engine.version](Stream& one) {
                        OnRefused(one, is_unfit ? std::optional(version) : std::nullopt);
                      });
    }
    Begin(stream, engine, command);
  }

  void Begin(Stream& stream, Engine& engine, const SendCommand& command) {
    const auto next = named_at_.upper_bound(engine.version);
    if (next != named_at_.end() && world_.now() - next->second > kLongestLag) {
      ++figures_.begun_too_late;
    }
    if (command.copy) {
      // A handle is used once, at one of the two engines.
      for (Engine& holder : engines_) holder.kept.erase(command.copy->handle);
      ++figures_.moved;
      CheckTwice(stream.id, engine);
    }
    const Instant ends_at = world_.now() + stream.work_left;
    engine.runs[stream.id] = {command.attempt, ends_at};
    const Duration first =
        command.copy ? Link() : world_.Between(milliseconds(5), milliseconds(60));
    ToStream(stream.id, command.attempt, first, [this](Stream& one) { OnFirstEvent(one); });
    world_.At(ends_at, [this, id = stream.id, attempt = command.attempt, engine = engine.id] {
      Engine& at = EngineOf(engine);
      const auto run = at.runs.find(id);
      if (run == at.runs.end() || run->second.attempt != attempt) return;
      EndRun(at, id);
      ToStream(id, attempt, milliseconds(4), [this](Stream& one) {
        // The answers of a call that moves the run may be behind.
        one.request->OnEnd(one.attempt->number, Now(one));
        Forget(one);
      });
    });
  }

  void CheckTwice(std::int64_t stream, const Engine& goes_on_at) {
    for (const Engine& engine : engines_) {
      const auto run = engine.runs.find(stream);
      if (&engine == &goes_on_at || run == engine.runs.end()) continue;
      After(kTwiceTime, [this, stream, id = engine.id, attempt = run->second.attempt] {
        const Engine& former = EngineOf(id);
        const auto going_on = former.runs.find(stream);
        if (going_on != former.runs.end() && going_on->second.attempt == attempt) ++figures_.twice;
      });
    }
  }

  void CountArrival(Stream& stream, const SendCommand& command, bool is_accepted) {
    if (!std::exchange(stream.has_arrived, true)) return;
    if (command.copy && is_accepted) {
      arrivals_.OnSameRun(world_.now());
    } else {
      arrivals_.OnRepeat(world_.now());
    }
  }

  Duration CopyTime(Engine& source, Engine& target, bool is_last) {
    if (!trouble_.has_queued_copies) {
      if (!is_last && Happens(trouble_.slow_copies)) {
        return world_.Between(milliseconds(2), milliseconds(600));
      }
      return world_.Between(milliseconds(2), milliseconds(25));
    }
    // What is new since the first copy is little.
    const Duration time = is_last ? world_.Between(milliseconds(1), milliseconds(2))
                                  : world_.Between(milliseconds(2), milliseconds(25));
    const Instant begin = std::max({world_.now(), source.link_free_at, target.link_free_at});
    source.link_free_at = begin + time;
    target.link_free_at = begin + time;
    return begin + time - world_.now();
  }

  // Carries out kv-move at its source; `answer` gets the answer when it leaves the engine.
  void MoveMemory(std::int64_t id, std::int64_t attempt, const BackendChoice& from,
                  const BackendChoice& to, bool is_last,
                  const std::function<void(const MoveAnswer&)>& answer) {
    Engine& source = EngineOf(from.backend_id);
    if (!source.is_up) return answer({});
    const auto run = source.runs.find(id);
    const bool is_here = source.incarnation == from.incarnation && run != source.runs.end() &&
                         run->second.attempt == attempt;
    if (!is_here) return answer({true, {}, false});
    const auto found = streams_.find(id);
    if (found == streams_.end()) return answer({true, {}, false});
    Stream& stream = *found->second;
    const std::string handle = fmt::format("m{}-{}", id, attempt);
    Engine& target = EngineOf(to.backend_id);
    const bool is_reachable = target.is_up && target.incarnation == to.incarnation;
    const bool has_arrived = is_reachable && (target.kept.contains(handle) || target.has_room());
    if (is_last) {
      stream.work_left = std::max(Duration(0), run->second.ends_at - world_.now());
      source.kept[handle] = {id, source.version};
      EndRun(source, id);
      Trace(stream, fmt::format("{} stops the run", source.id));
      ToStream(id, attempt, Link(),
               [this](Stream& one) { OnCallFailed(one, CallFailure::kBroken); });
    }
    if (!has_arrived) return answer({true, is_last ? handle : std::string(), false});
    target.kept[handle] = {id, source.version};
    constexpr std::int64_t kTokensOfRun = 1000;
    if (!is_last) figures_.tokens_moved += kTokensOfRun;
    After(kHandleLife, [this, handle, target = target.id] { EngineOf(target).kept.erase(handle); });
    After(CopyTime(source, target, is_last), [answer, handle] { answer({true, handle, true}); });
  }

  // ---- Routers.

  Instant Now(const Stream& stream) const { return routers_[stream.router]->clock.Now(); }

  void StartRouter(std::size_t index) {
    Router& router = *routers_[index];
    ++router.incarnation;
    router.takes_requests = true;
    router.named = std::make_unique<NamedWeights>();
    router.limit = std::make_unique<WeightsLimit>(router.named.get(), kLongestLag);
    router.window = MoveWindow();
    router.count = RouterCount();
    router.budget = std::make_unique<RepeatBudget>(kAllowance);
    router.last_news_at = {};
    for (std::size_t i = 0; i < kEngines; ++i) {
      router.engines[i] = {announced_[i].incarnation, announced_[i].version, Instant(0),
                           Instant(0)};
    }
    AtRouter(index, world_.Between(Duration(0), milliseconds(100)),
             [this, index] { Greet(index); });
    AtRouter(index, world_.Between(Duration(0), kAdvanceInterval),
             [this, index] { AdvanceRouter(index); });
  }

  void Greet(std::size_t index) {
    const Instant greeted_at = routers_[index]->clock.Now();
    for (std::size_t i = 0; i < kReplicas; ++i) {
      After(Link(), [this, index, i, greeted_at] {
        auto& heard = heard_at_[i];
        heard[index] = world_.now();
        std::erase_if(heard, [this](const auto& entry) {
          return world_.now() - entry.second > kRouterForgotten;
        });
        const auto routers = static_cast<std::int64_t>(heard.size());
        const Instant answered_at = replicas_[i].Now();
        ToRouter(i, index, [this, index, i, greeted_at, routers, answered_at] {
          Router& router = *routers_[index];
          const std::string replica = std::to_string(i);
          router.window.OnAnswered(replica, greeted_at, answered_at);
          router.count.OnTold(replica, routers, kReplicas, router.clock.Now());
          router.budget->SetRouters(router.count.routers());
        });
      });
    }
    if (world_.now() < end_of_day_ + kEvening) {
      AtRouter(index, kGreetingInterval, [this, index] { Greet(index); });
    }
  }

  // As ForwardServer::OnEngines().
  void OnEngines(Router& router, std::size_t replica_index, const EngineNews& news) {
    const std::string replica = std::to_string(replica_index);
    const Instant now = router.clock.Now();
    for (const auto& named : news.named) {
      router.named->Learn(named.model, named.version, now - named.age);
    }
    router.window.OnEngines(replica, news.others_unordered_until, news.move_targets);
    for (const EngineNews::Engine& engine : news.engines) {
      KnownEngine* known = Find(router, {engine.id, engine.incarnation});
      if (!known) continue;
      known->loading_until = engine.is_loading ? now + kLoadingNewsLifetime : Instant(0);
      known->unordered_until = router.window.ToOwnTime(replica, engine.unordered_until);
      for (const auto& [model, version] : engine.weights) {
        known->version = std::max(known->version, version);
      }
    }
    AdvanceMoves(router);
  }

  KnownEngine* Find(Router& router, const BackendChoice& choice) {
    const auto index = static_cast<std::size_t>(std::stoi(choice.backend_id.substr(1)));
    KnownEngine& known = router.engines[index];
    return known.incarnation == choice.incarnation ? &known : nullptr;
  }

  void AdvanceRouter(std::size_t index) {
    AdvanceMoves(*routers_[index]);
    for (const auto& stream : StreamsOf(index)) {
      if (stream->request->is_waiting()) {
        stream->request->OnCapacityFree(Now(*stream));
        Forget(*stream);
      }
    }
    if (world_.now() < end_of_day_ + kEvening) {
      AtRouter(index, kAdvanceInterval, [this, index] { AdvanceRouter(index); });
    }
  }

  std::vector<std::shared_ptr<Stream>> StreamsOf(std::size_t router) {
    std::vector<std::shared_ptr<Stream>> streams;
    for (const auto& [id, stream] : routers_[router]->streams) streams.push_back(stream);
    return streams;
  }

  void FreezeRouter() {
    if (world_.now() >= end_of_day_) return;
    const std::size_t index = world_.Below(kRouters);
    Router& router = *routers_[index];
    router.frozen_at = world_.now();
    router.frozen_until = world_.now() + world_.Between(milliseconds(100), seconds(4));
    for (const auto& stream : StreamsOf(index)) Trace(*stream, "router freezes");
    After(world_.Between(milliseconds(500), seconds(4)), [this] { FreezeRouter(); });
  }

  void StopRouter() {
    if (world_.now() >= end_of_day_) return;
    const std::size_t index = world_.Below(kRouters);
    if (routers_[index]->takes_requests) {
      routers_[index]->takes_requests = false;
      After(milliseconds(7400), [this, index] {
        for (const auto& stream : StreamsOf(index)) {
          stream->request->OnShutdown();
          Forget(*stream);
        }
        ++routers_[index]->incarnation;
      });
      After(milliseconds(7900), [this, index] { StartRouter(index); });
    }
    After(world_.Between(seconds(1), seconds(4)), [this] { StopRouter(); });
  }

  void RequestDue(std::size_t index) {
    if (world_.now() >= end_of_day_) return;
    Router& router = *routers_[index];
    if (router.takes_requests && world_.now() >= router.frozen_until) StartStream(router);
    After(world_.Between(Duration(0), 2 * kRequestInterval), [this, index] { RequestDue(index); });
  }

  void StartStream(Router& router) {
    const Instant now = router.clock.Now();
    ForwardPolicy policy;
    policy.is_stream = true;
    policy.deadline = now + kDeadline;
    policy.queue_until = now + kQueueTime;
    auto stream = std::make_shared<Stream>();
    stream->id = ++last_stream_;
    stream->router = router.index;
    // Short ones are more frequent.
    stream->work_left = world_.Between(milliseconds(200), seconds(8));
    if (world_.OneIn(2)) stream->work_left = world_.Between(milliseconds(200), stream->work_left);
    stream->request = std::make_unique<ForwardRequest>(policy, Hooks(*stream, router));
    streams_[stream->id] = stream;
    router.streams[stream->id] = stream;
    arrivals_.OnRequest(world_.now());
    router.budget->OnRequest(kService);
    AtRouter(router.index, kDeadline, [this, id = stream->id] {
      const auto found = streams_.find(id);
      if (found == streams_.end()) return;
      const auto held = found->second;
      held->request->OnDeadline(Now(*held));
      Forget(*held);
    });
    stream->request->Start(now);
    Forget(*stream);
  }

  ForwardHooks Hooks(Stream& stream, Router& router) {
    ForwardHooks hooks;
    hooks.choose = [this, &router](std::span<const BackendChoice> avoid) {
      return LeastBusy(MayBegin(router, avoid), kEngines);
    };
    hooks.is_condemned = [] { return false; };
    hooks.try_repeat = [&router] { return router.budget->TryRepeat(kService); };
    hooks.try_optional_repeats = [&router](int count) {
      return router.budget->TryOptionalRepeats(kService, count);
    };
    hooks.return_repeat = [&router] { router.budget->ReturnRepeat(kService); };
    hooks.send = [this, &stream, &router](const SendCommand& command) {
      Send(stream, router, command);
    };
    hooks.find_copy = [] { return std::nullopt; };
    hooks.choose_to_resume = [this, &stream, &router](std::span<const BackendChoice> avoid) {
      return ChooseToResume(stream, router, avoid);
    };
    hooks.cancel = [this, &stream](std::int64_t) { EndAttempt(stream); };
    hooks.relay_head = [](std::int64_t) {};
    hooks.relay_event = [](std::string_view) {};
    hooks.relay_end = [this] { ++figures_.complete; };
    hooks.relay_whole = [this](std::int64_t) { ++figures_.complete; };
    hooks.refuse = [this](const Refusal&) { ++figures_.refused; };
    hooks.cut = [this, &stream] { OnCut(stream); };
    hooks.retry_after = [] { return std::nullopt; };
    return hooks;
  }

  void OnCut(Stream& stream) {
    const EndReason reason = stream.request->end_reason();
    const bool is_due = reason == EndReason::kDeadline || reason == EndReason::kShutdown;
    if (is_due || stream.is_hit_by_engine) {
      ++figures_.excused_cuts;
      return;
    }
    ++figures_.cut[std::string(EndReasonName(reason))];
    const Router& router = *routers_[stream.router];
    if (stream.asked_to_stop_at && router.frozen_at >= *stream.asked_to_stop_at) {
      ++figures_.frozen_cuts;
    }
    Trace(stream, fmt::format("cut: {}", EndReasonName(reason)));
    if (trace_.empty())
      trace_ = fmt::format("stream {}, router {}:{}", stream.id, stream.router, stream.trace);
  }

  // Drops a stream that is done, after the call that ended it.
  void Forget(Stream& stream) {
    if (!stream.request->done()) return;
    EndAttempt(stream);
    routers_[stream.router]->streams.erase(stream.id);
    After(Duration(0), [this, id = stream.id] { streams_.erase(id); });
  }

  std::vector<std::size_t> MayBegin(Router& router, std::span<const BackendChoice> avoid) {
    const Instant now = router.clock.Now();
    std::vector<std::size_t> fits;
    for (std::size_t i = 0; i < kEngines; ++i) {
      const KnownEngine& known = router.engines[i];
      const BackendChoice choice{engines_[i].id, known.incarnation};
      const bool is_avoided = std::find(avoid.begin(), avoid.end(), choice) != avoid.end();
      if (is_avoided || now < known.loading_until) continue;
      if (router.limit->BeginsTooLate(kModel, known.version, Duration(0), now)) continue;
      fits.push_back(i);
    }
    return fits;
  }

  std::vector<std::size_t> MayContinue(Stream& stream, Router& router,
                                       std::span<const BackendChoice> avoid) {
    std::vector<std::size_t> fits = MayBegin(router, avoid);
    std::erase_if(fits, [&](std::size_t i) { return router.engines[i].version != stream.weights; });
    return fits;
  }

  // Chooses the least busy one of up to `drawn` engines that are drawn by lot.
  std::optional<BackendChoice> LeastBusy(std::vector<std::size_t> engines, std::size_t drawn) {
    if (engines.empty()) return std::nullopt;
    drawn = std::min(drawn, engines.size());
    for (std::size_t i = 0; i < drawn; ++i) {
      std::swap(engines[i], engines[i + world_.Below(engines.size() - i)]);
    }
    engines.resize(drawn);
    const std::size_t chosen = *std::min_element(
        engines.begin(), engines.end(), [this](std::size_t one, std::size_t other) {
          return engines_[one].runs.size() < engines_[other].runs.size();
        });
    return BackendChoice{engines_[chosen].id, engines_[chosen].incarnation};
  }

  // As EnginesOfRun::ChooseMoveTarget().
  std::optional<BackendChoice> ChooseMoveTarget(Stream& stream, Router& router,
                                                std::span<const BackendChoice> avoid) {
    std::vector<std::size_t> fits = MayContinue(stream, router, avoid);
    const auto& targets = router.window.targets();
    std::erase_if(fits, [&](std::size_t i) {
      return std::find(targets.begin(), targets.end(), engines_[i].id) == targets.end();
    });
    return LeastBusy(std::move(fits), kDrawnMoveTargets);
  }

  // As EnginesOfRun::ChooseToResume().
  std::optional<BackendChoice> ChooseToResume(Stream& stream, Router& router,
                                              std::span<const BackendChoice> avoid) {
    const auto& source = stream.moved_from;
    const bool is_avoided = source && std::find(avoid.begin(), avoid.end(), *source) != avoid.end();
    const KnownEngine* known = source && !is_avoided ? Find(router, *source) : nullptr;
    if (known && router.clock.Now() < known->unordered_until) return source;
    const auto other = LeastBusy(MayContinue(stream, router, avoid), kEngines);
    return other || !known ? other : source;
  }

  void Send(Stream& stream, Router& router, const SendCommand& command) {
    stream.attempt.emplace();
    stream.attempt->number = command.attempt;
    stream.attempt->engine = command.backend;
    const KnownEngine* known = Find(router, command.backend);
    if (!command.copy && known) stream.weights = known->version;
    Trace(stream,
          fmt::format("sent to {}, {}", command.backend.backend_id, SendCauseName(command.cause)));
    After(Link(), [this, id = stream.id, command, weights = stream.weights] {
      Arrive(id, command, weights);
    });
  }

  void OnRefused(Stream& stream, std::optional<std::int64_t> version) {
    KnownEngine* known = Find(*routers_[stream.router], stream.attempt->engine);
    if (known && version) known->version = std::max(known->version, *version);
    stream.request->OnHead(stream.attempt->number, {503, true, true}, Now(stream));
    Forget(stream);
  }

  void OnFirstEvent(Stream& stream) {
    const std::int64_t number = stream.attempt->number;
    stream.attempt->has_data = true;
    stream.request->OnHead(number, {200, false, true}, Now(stream));
    stream.request->OnEvent(number, stream.request->last_event() + 1, "e", Now(stream));
    AdvanceMove(stream);
  }

  // As ForwardExchange::EndAttempt(), and ~RunMover().
  void EndAttempt(Stream& stream) {
    if (!stream.attempt) return;
    Attempt ended = std::move(*stream.attempt);
    stream.attempt.reset();
    stream.cancelled.insert(ended.number);
    if (ended.mover) Free(ended.mover->move.End(), ended.engine);
    After(Link(), [this, id = stream.id, number = ended.number, engine = ended.engine.backend_id] {
      Engine& at = EngineOf(engine);
      const auto run = at.runs.find(id);
      if (run != at.runs.end() && run->second.attempt == number) EndRun(at, id);
    });
  }

  void AdvanceMoves(Router& router) {
    for (const auto& stream : StreamsOf(router.index)) AdvanceMove(*stream);
  }

  // As ForwardExchange::AdvanceMove().
  void AdvanceMove(Stream& stream) {
    if (stream.request->done() || !stream.attempt || !stream.attempt->has_data) return;
    const KnownEngine* source = Find(*routers_[stream.router], stream.attempt->engine);
    if (!source || Now(stream) >= source->loading_until) return;
    if (!stream.attempt->mover) {
      stream.attempt->mover = std::make_unique<Mover>(stream.attempt->engine, Endpoint{});
    }
    AdvanceMover(stream);
  }

  Instant ClosesAt(Stream& stream) { return routers_[stream.router]->window.closes_at(); }

  // As RunMover::Advance().
  void AdvanceMover(Stream& stream) {
    Mover& mover = *stream.attempt->mover;
    if (mover.call != 0) return;
    const Instant now = Now(stream);
    const std::int64_t number = stream.attempt->number;
    if (mover.move.MayBegin(ClosesAt(stream), now)) {
      std::vector<BackendChoice> avoid = mover.move.refused();
      avoid.push_back(stream.attempt->engine);
      const auto target = ChooseMoveTarget(stream, *routers_[stream.router], avoid);
      if (target && stream.request->BeginMove(number)) Call(stream, mover.move.Begin(*target, now));
      return;
    }
    const BackendChoice& to = mover.move.target();
    const KnownEngine* target =
        to.backend_id.empty() ? nullptr : Find(*routers_[stream.router], to);
    if (!target || now < target->loading_until) mover.move.GiveUpCopy();
    if (mover.move.MayStop(ClosesAt(stream), now)) return Call(stream, mover.move.Stop());
    GiveUpUnlessStopped(stream);
  }

  void GiveUpUnlessStopped(Stream& stream) {
    Mover& mover = *stream.attempt->mover;
    if (Free(mover.move.TakeUnusedHandle(), stream.attempt->engine)) {
      ++figures_.given_up;
      Trace(stream, "copy freed");
    }
    if (!mover.move.is_under_way()) stream.request->OnMoveFailed(stream.attempt->number);
  }

  bool Free(const std::optional<std::string>& handle, const BackendChoice& source) {
    if (!handle) return false;
    After(Link(), [this, handle = *handle, source] {
      if (!EngineOf(source.backend_id).is_up) return;
      for (Engine& engine : engines_) engine.kept.erase(handle);
    });
    return true;
  }

  void Call(Stream& stream, const MoveStep& step) {
    const std::int64_t call = stream.attempt->mover->call = ++last_call_;
    const bool is_last = step.kind == MoveStep::Kind::kStop;
    if (is_last) stream.asked_to_stop_at = world_.now();
    Trace(stream, fmt::format("{} to {}", is_last ? "stop" : "copy", step.target.backend_id));
    const std::int64_t id = stream.id;
    const std::int64_t attempt = stream.attempt->number;
    const auto answered = [this, id, attempt, call](const MoveAnswer& answer, Duration delay) {
      ToStream(id, attempt, delay, [this, call, answer](Stream& one) {
        if (one.attempt->mover && one.attempt->mover->call == call) OnAnswer(one, answer);
      });
    };
    const bool is_silent = Happens(trouble_.silent_move_calls);
    const bool is_broken = Happens(trouble_.broken_move_calls);
    const bool is_late = Happens(trouble_.late_move_calls);
    const bool is_lost_before = is_broken && world_.OneIn(2);
    if (is_late || is_lost_before) answered({}, Link());
    if (is_silent)
      answered({}, is_last ? ClosesAt(stream) - Now(stream) - kTimeToResume : kMoveTimeout);
    if (is_lost_before) return;
    const Duration delay = is_late ? world_.Between(Duration(0), milliseconds(500)) : Link();
    const bool is_heard = !is_silent && !is_late;
    After(delay, [this, id, attempt, from = stream.attempt->engine, to = step.target, is_last,
                  answered, is_broken, is_heard] {
      MoveMemory(id, attempt, from, to, is_last,
                 [this, answered, is_broken, is_heard](const auto& answer) {
                   if (is_heard) answered(is_broken ? MoveAnswer{} : answer, Link());
                 });
    });
  }

  // As RunMover::OnAnswer().
  void OnAnswer(Stream& stream, const MoveAnswer& answer) {
    Mover& mover = *stream.attempt->mover;
    mover.call = 0;
    const bool was_stopping = mover.move.is_stopping();
    Trace(stream, fmt::format("answer: {}{}", answer.is_answered ? answer.handle : "lost",
                              answer.has_arrived ? ", arrived" : ""));
    const MoveStep step = mover.move.OnAnswer(answer, Now(stream));
    if (step.kind != MoveStep::Kind::kNone) return Perform(stream, step);
    if (!was_stopping) return AdvanceMover(stream);
    GiveUpUnlessStopped(stream);
  }

  // As RunMover::Perform().
  void Perform(Stream& stream, const MoveStep& step) {
    const std::int64_t number = stream.attempt->number;
    if (step.kind == MoveStep::Kind::kResume) {
      stream.moved_from = stream.attempt->engine;
      stream.request->OnMoved(number, *step.copy, Now(stream));
      Forget(stream);
    } else if (step.kind == MoveStep::Kind::kFail) {
      stream.request->OnMoveFailed(number);
      const auto mover = std::move(stream.attempt->mover);
      OnCallFailed(stream, stream.attempt->failure_at_stop);
    }
  }

  // As ForwardExchange::OnCallFailed(), and RunMover::HoldsFailure().
  void OnCallFailed(Stream& stream, CallFailure failure) {
    if (stream.attempt->mover) {
      stream.attempt->failure_at_stop = failure;
      Mover& mover = *stream.attempt->mover;
      const bool was_stopping = mover.move.is_stopping();
      const MoveStep step = mover.move.OnStreamFailed();
      if (step.kind != MoveStep::Kind::kFail) {
        if (!was_stopping) Perform(stream, step);
        return;
      }
    }
    Trace(stream, "stream failed");
    const std::int64_t number = stream.attempt->number;
    EndAttempt(stream);
    stream.request->OnFailure(number, failure, Now(stream));
    Forget(stream);
  }

  Trouble trouble_;
  VirtualWorld world_;
  bool is_traced_;
  Instant begin_{0};
  Instant end_of_day_{0};
  std::vector<Engine> engines_;
  std::array<AnnouncedEngine, kEngines> announced_;
  std::vector<DriftingClock> replicas_;
  std::array<std::map<std::size_t, Instant>, kReplicas> heard_at_;
  std::size_t leader_ = 0;
  std::int64_t last_term_ = 0;
  std::vector<std::unique_ptr<Term>> terms_;
  std::vector<std::unique_ptr<Router>> routers_;
  std::map<std::int64_t, std::shared_ptr<Stream>> streams_;
  std::int64_t last_stream_ = 0;
  std::int64_t last_call_ = 0;
  std::int64_t newest_ = 1;
  // By version, in true time.
  std::map<std::int64_t, Instant> named_at_;
  RepeatArrivals arrivals_{kAllowance, kWindow, kWindowStep};
  Figures figures_;
  std::string trace_;
};

constexpr std::uint64_t kSeeds = 3;

std::uint64_t Seeds() {
  const char* text = std::getenv("KUMQUAT_SEEDS");
  return text == nullptr ? kSeeds : std::strtoull(text, nullptr, 10);
}

// What is checked under a trouble. BUDGET and TWICE are checked under all.
struct Checks {
  bool has_no_cuts = true;
  bool has_none_too_late = true;
};

void CheckFleet(const Trouble& trouble, const Checks& checks) {
  Figures sum;
  std::map<std::string, std::uint64_t> first_seeds;
  for (std::uint64_t seed = 1; seed <= Seeds(); ++seed) {
    MoveFleet fleet(trouble, seed, false);
    fleet.Run();
    const Figures& one = fleet.figures();
    if (one.cuts() > 0) first_seeds.try_emplace("cut", seed);
    if (one.begun_too_late > 0) first_seeds.try_emplace("too late", seed);
    if (one.twice > 0) first_seeds.try_emplace("twice", seed);
    if (one.worst_excess > 0) first_seeds.try_emplace("budget", seed);
    sum.complete += one.complete;
    sum.refused += one.refused;
    sum.moved += one.moved;
    sum.given_up += one.given_up;
    sum.moves_refused += one.moves_refused;
    sum.returned += one.returned;
    sum.frozen_cuts += one.frozen_cuts;
    for (const auto& [reason, count] : one.cut) sum.cut[reason] += count;
    sum.excused_cuts += one.excused_cuts;
    sum.begun_too_late += one.begun_too_late;
    sum.twice += one.twice;
    sum.tokens_moved += one.tokens_moved;
    sum.loads += one.loads;
    sum.worst_excess = std::max(sum.worst_excess, one.worst_excess);
    sum.worst_strict_excess = std::max(sum.worst_strict_excess, one.worst_strict_excess);
  }
  std::string reasons;
  for (const auto& [reason, count] : sum.cut) reasons += fmt::format(" {} {}", reason, count);
  std::string seeds;
  for (const auto& [what, seed] : first_seeds) seeds += fmt::format(" {} {}", what, seed);
  MESSAGE(fmt::format(
      "{}, {} seeds: {} cut ({} ), {} of them by a freeze, {} excused cuts, {} moved, {} moves "
      "refused, {} returned, {} given up, {} begun too late, worst window {:+.1f} of the "
      "allowance ({:+.1f} if runs that go on count), {} twice, {} tokens moved, {} loads, {} "
      "refused, {} complete; first seeds:{}",
      trouble.name, Seeds(), sum.cuts(), reasons, sum.frozen_cuts, sum.excused_cuts, sum.moved,
      sum.moves_refused, sum.returned, sum.given_up, sum.begun_too_late, sum.worst_excess,
      sum.worst_strict_excess, sum.twice, sum.tokens_moved, sum.loads, sum.refused, sum.complete,
      seeds));
  if (first_seeds.contains("cut")) {
    MoveFleet traced(trouble, first_seeds["cut"], true);
    traced.Run();
    MESSAGE(traced.trace());
  }
  if (checks.has_no_cuts) CHECK(sum.cuts() == 0);
  if (checks.has_none_too_late) CHECK(sum.begun_too_late == 0);
  CHECK(sum.worst_excess <= 0);
  CHECK(sum.twice == 0);
  CHECK(sum.moved > 0);
  CHECK(sum.complete > 0);
}

TEST_CASE("Roll-outs cut no stream that may run once only") {
  Trouble trouble;
  trouble.name = "roll-outs";
  CheckFleet(trouble, {});
}

TEST_CASE("Late news cut no moved run") {
  Trouble trouble;
  trouble.name = "late news";
  trouble.late_news = 0.1;
  CheckFleet(trouble, {});
}

TEST_CASE("A router that freezes cuts no moved run") {
  Trouble trouble;
  trouble.name = "frozen routers";
  trouble.has_frozen_routers = true;
  CheckFleet(trouble, {});
}

TEST_CASE("Routers that stop and start cut no moved run") {
  Trouble trouble;
  trouble.name = "router stops";
  trouble.has_router_stops = true;
  CheckFleet(trouble, {});
}

TEST_CASE("A new leader in the middle of a roll-out cuts no moved run") {
  Trouble trouble;
  trouble.name = "leader changes";
  trouble.has_leader_changes = true;
  CheckFleet(trouble, {});
}

TEST_CASE("Calls for a move whose connection breaks cut no run") {
  Trouble trouble;
  trouble.name = "broken move calls";
  trouble.broken_move_calls = 0.1;
  CheckFleet(trouble, {});
}

TEST_CASE("Calls for a move that get no answer cut no run") {
  Trouble trouble;
  trouble.name = "silent move calls";
  trouble.silent_move_calls = 0.1;
  CheckFleet(trouble, {});
}

TEST_CASE("Calls for a move that take effect after their connection broke cut no run") {
  Trouble trouble;
  trouble.name = "late move calls";
  trouble.late_move_calls = 0.1;
  CheckFleet(trouble, {});
}

TEST_CASE("Runs that their targets refuse go on at their sources") {
  Trouble trouble;
  trouble.name = "refused moves";
  trouble.refused_moves = 0.1;
  CheckFleet(trouble, {});
}

TEST_CASE("A copy that takes too long leaves its run where it is") {
  Trouble trouble;
  trouble.name = "slow copies";
  trouble.slow_copies = 0.3;
  CheckFleet(trouble, {});
}

TEST_CASE("Copies that wait for each other cut no run") {
  Trouble trouble;
  trouble.name = "queued copies";
  trouble.has_queued_copies = true;
  CheckFleet(trouble, {});
}

// Orders that come late and engines that restart are unplanned, and may cost a stream or time.
TEST_CASE("Late orders and engine restarts break neither the repeats' limit nor run twice") {
  Trouble trouble;
  trouble.name = "late orders";
  trouble.late_orders = 0.2;
  CheckFleet(trouble, {false, false});
  trouble.name = "late orders and leader changes";
  trouble.has_leader_changes = true;
  CheckFleet(trouble, {false, false});
  trouble.has_leader_changes = false;
  trouble.late_orders = 0;
  trouble.name = "engine restarts";
  trouble.has_engine_restarts = true;
  CheckFleet(trouble, {false, false});
}

TEST_CASE("All troubles together break neither the repeats' limit nor run twice") {
  Trouble trouble;
  trouble.name = "all";
  trouble.late_news = 0.1;
  trouble.has_frozen_routers = true;
  trouble.has_router_stops = true;
  trouble.has_leader_changes = true;
  trouble.broken_move_calls = 0.05;
  trouble.silent_move_calls = 0.05;
  trouble.late_move_calls = 0.05;
  trouble.refused_moves = 0.05;
  trouble.has_engine_restarts = true;
  trouble.late_orders = 0.1;
  CheckFleet(trouble, {false, false});
}

}  // namespace
}  // namespace kumquat
