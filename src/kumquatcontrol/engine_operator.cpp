#include "engine_operator.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "utils/durations.h"
#include "utils/log.h"

namespace kumquat {
namespace {

// For so long after a confirming round began this replica orders without another one. A new leader
// waits for this and a whole lease.
constexpr Duration kConfirmedFor = std::chrono::milliseconds(500);
constexpr Duration kConfirmInterval = std::chrono::milliseconds(200);
constexpr Duration kCallTimeout = std::chrono::milliseconds(1000);
// A report lists an engine's runs.
constexpr GatherLimits kCallLimits{2 * kCallTimeout, 256 * 1024};
// News are repeated, as a router's link may just have been down, and as what they promise routers
// ends soon.
constexpr Duration kPublishInterval = std::chrono::milliseconds(250);

}  // namespace

EngineOperator::EngineOperator(EngineOperatorOptions options, EngineOperatorHooks hooks,
                               EngineCodec codec, BackendClient* client)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      codec_(std::move(codec)),
      client_(client) {}

void EngineOperator::Tick() {
  const auto term = hooks_.term();
  if (term != term_) {
    EndTerm();
    if (term) BeginTerm(*term);
  }
  if (!rollout_) return;
  const Instant now = hooks_.clock();
  if (!HasWaited(now)) return;
  ConfirmWhenDue(now);
  if (!MayOrder(now)) return;
  for (const RolloutAction& action : rollout_->Advance(hooks_.engines(), *hooks_.named, now)) {
    std::visit([this](const auto& one) { Perform(one); }, action);
  }
  Publish(now);
}

void EngineOperator::BeginTerm(std::int64_t term) {
  term_ = term;
  rollout_.emplace(options_.rollout);
  term_began_at_ = hooks_.clock();
  confirmed_at_ = Instant(0);
  is_confirming_ = false;
  published_ = {};
}

void EngineOperator::EndTerm() {
  term_.reset();
  rollout_.reset();
  calls_.clear();
}

// The former leader stops by itself once its last confirmed round is old, which began before this
// term did. What it sent before may still be on its way for a lease.
bool EngineOperator::HasWaited(Instant now) const {
  if (now >= term_began_at_ + kConfirmedFor + options_.lease) return true;
  const bool has_stopped = now >= term_began_at_ + kConfirmedFor;
  return has_stopped && options_.engines_check_fences && hooks_.former_leader_is_silent();
}

bool EngineOperator::MayOrder(Instant now) const {
  return confirmed_at_ != Instant(0) && now < confirmed_at_ + kConfirmedFor;
}

void EngineOperator::ConfirmWhenDue(Instant now) {
  if (is_confirming_ || now < confirmed_at_ + kConfirmInterval) return;
  is_confirming_ = true;
  hooks_.confirm([this, now, term = term_](bool confirmed) {
    if (term != term_) return;
    is_confirming_ = false;
    if (confirmed) confirmed_at_ = now;
  });
}

void EngineOperator::Perform(const EngineStateQuery& look) {
  Call(codec_.encode_look(look), [this, look](int status, std::string_view body) {
    if (!rollout_) return;
    const auto state = codec_.decode_look(status, body);
    LogEvent(LogLevel::kInfo, "engine_looked_at",
             {{"engine", look.id},
              {"status", status},
              {"running", state ? state->running : 0},
              {"queued", state ? state->queued : 0},
              {"memory_held", state ? state->memory_held : 0},
              {"orders", state ? state->orders : 0},
              {"busy", state && state->is_busy ? "yes" : "no"}});
    rollout_->OnEngineState(look.id, look.incarnation, state, hooks_.clock());
  });
}

void EngineOperator::Perform(const OrderWeights& order) {
  LogEvent(LogLevel::kInfo, "order_sent",
           {{"engine", order.id},
            {"model", order.model},
            {"version", order.version},
            {"replaced_version", order.replaced_version},
            {"replaced_ms", Milliseconds(order.time_since_replaced)},
            {"outdated", rollout_->outdated()},
            {"loading", rollout_->loading().size()},
            {"expected_orders", order.expected_orders},
            {"fencing_number", *term_}});
  Call(codec_.encode_order(order, {options_.holder, *term_}),
       [this, order](int status, std::string_view /*body*/) {
         LogEvent(LogLevel::kInfo, "order_answered",
                  {{"engine", order.id}, {"version", order.version}, {"status", status}});
         hooks_.metrics->Count("kumquat_orders_total", fmt::format("status=\"{}\"", status));
         const OrderOutcome outcome =
             status == 0 ? OrderOutcome::kUnknown : codec_.decode_order(status);
         if (rollout_)
           rollout_->OnOrderOutcome(order.id, order.incarnation, outcome, hooks_.clock());
       });
}

void EngineOperator::Call(BackendCallRequest request,
                          std::function<void(int status, std::string_view body)> done) {
  const std::int64_t number = ++last_call_;
  request.timeouts = {kCallTimeout, kCallTimeout, kCallTimeout};
  const auto on_answer = [this, number, done = std::move(done)](int status, std::string_view body) {
    const auto call = calls_.find(number);
    if (call == calls_.end()) return;
    DestroyLater(std::move(call->second));
    calls_.erase(call);
    done(status, body);
  };
  calls_[number] = StartGathered(*client_, std::move(request), kCallLimits, on_answer);
}

void EngineOperator::Measure() {
  const std::size_t outdated = rollout_ ? rollout_->outdated() : 0;
  const std::size_t loading = rollout_ ? rollout_->loading().size() : 0;
  const Duration replaced = rollout_ ? rollout_->longest_time_since_replaced() : Duration(0);
  hooks_.metrics->Set("kumquat_engines_outdated", {}, static_cast<double>(outdated));
  hooks_.metrics->Set("kumquat_engines_loading", {}, static_cast<double>(loading));
  hooks_.metrics->Set("kumquat_weights_replaced_seconds", {}, Seconds(replaced));
}

EngineNews EngineOperator::MakeNews(Instant now) const {
  EngineNews news;
  // Engines share most of these.
  std::map<std::pair<std::string, std::int64_t>, Duration> named;
  const auto loading = rollout_->loading();
  for (const RolloutEngine& engine : hooks_.engines()) {
    EngineNews::Engine entry{engine.id, engine.incarnation, false, {}};
    entry.is_loading = std::find(loading.begin(), loading.end(), engine.id) != loading.end();
    if (entry.is_loading) entry.unordered_until = rollout_->UnorderedUntil(engine.id);
    for (const auto& [model, announced] : engine.weights) {
      const auto known = rollout_->KnownVersion(engine.id, engine.incarnation, model);
      const std::int64_t has = std::max(announced, known.value_or(0));
      if (has > announced) entry.weights[model] = has;
      const auto replacement = hooks_.named->NextVersion(model, has);
      if (replacement) named[{model, replacement->version}] = now - replacement->at;
    }
    if (entry.is_loading || !entry.weights.empty()) news.engines.push_back(std::move(entry));
  }
  for (const auto& [weights, age] : named) {
    news.named.push_back({weights.first, weights.second, age});
  }
  news.others_unordered_until = rollout_->OthersUnorderedUntil();
  news.move_targets = rollout_->move_targets();
  return news;
}

void EngineOperator::Publish(Instant now) {
  EngineNews news = MakeNews(now);
  const bool has_news = !news.engines.empty() || !news.named.empty();
  const bool is_due = has_news && now >= published_at_ + kPublishInterval;
  const bool is_same =
      news.engines == published_.engines && news.move_targets == published_.move_targets;
  if (is_same && !is_due) return;
  hooks_.publish(news);
  published_ = std::move(news);
  published_at_ = now;
}

}  // namespace kumquat
