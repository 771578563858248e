#include "engine/engine_model.h"

#include <algorithm>
#include <utility>

namespace kumquat {
namespace {

constexpr std::int64_t kTokensPerPrefillUnit = 1000;

}  // namespace

EngineModel::EngineModel(const EngineModelSettings& settings, Clock clock)
    : settings_(settings),
      clock_(std::move(clock)),
      cache_(static_cast<std::size_t>(settings.cache_pieces)) {}

std::uint64_t EngineModel::Submit(EngineJob job) {
  const std::uint64_t number = ++last_job_;
  queue_.emplace(QueueKey{job.request_class, number}, std::move(job));
  StartNext(clock_());
  return number;
}

void EngineModel::Cancel(std::uint64_t job) {
  const auto erased =
      std::erase_if(queue_, [job](const auto& item) { return item.first.job == job; });
  if (erased + running_.erase(job) == 0) return;
  ++stats_.cancelled;
  if (prefilling_ == job) prefilling_ = 0;
  StartNext(clock_());
}

std::vector<EngineModelEvent> EngineModel::Advance() {
  std::vector<EngineModelEvent> events;
  const Instant now = clock_();
  for (auto next = Earliest(); next != running_.end() && next->second.next_at <= now;
       next = Earliest()) {
    Step(next->first, &events);
  }
  return events;
}

std::optional<Instant> EngineModel::next_event() const {
  const auto next = Earliest();
  if (next == running_.end()) return std::nullopt;
  return next->second.next_at;
}

BackendLoad EngineModel::load() const {
  BackendLoad load;
  load.running_requests = static_cast<std::int64_t>(running_.size());
  load.queued_requests = static_cast<std::int64_t>(queue_.size());
  for (const auto& [key, job] : queue_) load.queued_tokens += job.prompt_tokens;
  return load;
}

void EngineModel::StartNext(Instant now) {
  const bool is_full = static_cast<std::int64_t>(running_.size()) >= settings_.concurrent_requests;
  if (prefilling_ != 0 || is_full || queue_.empty()) return;
  const auto first = queue_.begin();
  const std::uint64_t number = first->first.job;
  EngineJob job = std::move(first->second);
  queue_.erase(first);
  StartPrefill(number, std::move(job), now);
}

void EngineModel::StartPrefill(std::uint64_t number, EngineJob job, Instant now) {
  ++stats_.runs;
  Running running;
  const auto held = static_cast<std::int64_t>(cache_.Lookup(job.prefix));
  running.cached_tokens = std::min(held * settings_.piece_tokens, job.prompt_tokens);
  const std::int64_t missing = job.prompt_tokens + job.first_token - running.cached_tokens;
  stats_.cached_tokens += running.cached_tokens;
  stats_.recomputed_tokens += missing;
  running.next_token = job.first_token;
  running.next_at = now + settings_.prefill_per_1k_tokens * missing / kTokensPerPrefillUnit;
  running.job = std::move(job);
  running_[number] = std::move(running);
  prefilling_ = number;
}

void EngineModel::Step(std::uint64_t number, std::vector<EngineModelEvent>* events) {
  Running& running = running_[number];
  const Instant at = running.next_at;
  if (running.prefilling) {
    running.prefilling = false;
    prefilling_ = 0;
    cache_.Store(running.job.prefix);
    running.next_at += settings_.token_interval;
    StartNext(at);
    return;
  }
  if (running.next_token < running.job.answer_tokens) {
    events->push_back({number, running.next_token, false, running.cached_tokens, at});
    ++running.next_token;
    running.next_at += settings_.token_interval;
  }
  if (running.next_token < running.job.answer_tokens) return;
  events->push_back({number, running.next_token, true, running.cached_tokens, at});
  ++stats_.completed;
  running_.erase(number);
  StartNext(at);
}

std::map<std::uint64_t, EngineModel::Running>::const_iterator EngineModel::Earliest() const {
  return std::min_element(running_.begin(), running_.end(), [](const auto& a, const auto& b) {
    return a.second.next_at < b.second.next_at;
  });
}

}  // namespace kumquat
