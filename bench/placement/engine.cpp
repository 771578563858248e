#include "placement/engine.h"

#include <algorithm>
#include <utility>

namespace kumquat::bench {

namespace {

Duration PrefillDuration(double tokens, double ms_per_1k) {
  return Duration(static_cast<std::int64_t>(tokens * ms_per_1k));
}

}  // namespace

bool VirtualTime::IsLater(const Event& left, const Event& right) {
  return std::pair(left.at, left.order) > std::pair(right.at, right.order);
}

void VirtualTime::After(Duration delay, std::function<void()> action) {
  heap_.push_back({.at = now_ + delay, .order = next_order_++, .action = std::move(action)});
  std::push_heap(heap_.begin(), heap_.end(), IsLater);
}

void VirtualTime::Run(Instant end) {
  while (!heap_.empty() && heap_.front().at <= end) {
    std::pop_heap(heap_.begin(), heap_.end(), IsLater);
    const Event event = std::move(heap_.back());
    heap_.pop_back();
    now_ = event.at;
    event.action();
  }
}

Engine::Engine(std::string id, const EngineLimits& limits, VirtualTime* time, EngineHooks hooks)
    : id_(std::move(id)), limits_(limits), time_(time), hooks_(std::move(hooks)) {}

void Engine::Submit(const Job& job) {
  QueueOf(job.request->request_class).push_back(job);
  StartNext();
}

std::vector<Job> Engine::Crash() {
  std::vector<Job> lost(replies_.begin(), replies_.end());
  lost.insert(lost.end(), drafts_.begin(), drafts_.end());
  if (prefill_) lost.push_back(prefill_->job);
  for (const Running& running : decoding_) lost.push_back(running.job);
  replies_.clear();
  drafts_.clear();
  prefill_.reset();
  decoding_.clear();
  blocks_.clear();
  where_.clear();
  changes_.clear();
  last_sequence_ = 0;
  ++incarnation_;
  is_up_ = false;
  return lost;
}

CacheEventBatch Engine::TakeEvents() {
  const auto count = static_cast<std::int64_t>(changes_.size());
  return {.backend_id = id_,
          .incarnation = incarnation_,
          .first_sequence = last_sequence_ - count + 1,
          .last_sequence = last_sequence_,
          .changes = std::exchange(changes_, {})};
}

CacheContents Engine::Contents() const {
  return {.backend_id = id_,
          .incarnation = incarnation_,
          .last_sequence = last_sequence_,
          .blocks = {blocks_.begin(), blocks_.end()}};
}

BackendLoad Engine::Load() const {
  BackendLoad load;
  load.running_requests = static_cast<std::int64_t>(decoding_.size()) + (prefill_ ? 1 : 0);
  load.queued_requests = static_cast<std::int64_t>(replies_.size() + drafts_.size());
  const auto add = [&](const Job& job) {
    const auto cached = static_cast<std::int64_t>(CachedPieces(*job.request));
    load.queued_tokens += job.request->prompt_tokens - cached * kPieceTokens;
  };
  std::for_each(replies_.begin(), replies_.end(), add);
  std::for_each(drafts_.begin(), drafts_.end(), add);
  if (prefill_) {
    const auto left_us = static_cast<double>((prefill_->until - time_->now()).count());
    load.queued_tokens += static_cast<std::int64_t>(left_us / limits_.prefill_ms_per_1k);
  }
  return load;
}

TrueState Engine::Truth(const TraceRequest& request) const {
  TrueState state;
  BlockSet coming;
  const auto leading = [&](const TraceRequest& asked) {
    const auto held = [&](const BlockId& block) {
      return where_.contains(block) || coming.contains(block);
    };
    const auto end = std::find_if_not(asked.blocks.begin(), asked.blocks.end(), held);
    return static_cast<std::size_t>(end - asked.blocks.begin());
  };
  const auto add = [&](const Job& job) {
    state.wait += PrefillTime(job, leading(*job.request));
    coming.insert(job.request->blocks.begin(), job.request->blocks.end());
  };
  if (prefill_) {
    state.wait += prefill_->until - time_->now();
    coming.insert(prefill_->job.request->blocks.begin(), prefill_->job.request->blocks.end());
  }
  std::for_each(replies_.begin(), replies_.end(), add);
  if (request.request_class == RequestClass::kDraft) {
    std::for_each(drafts_.begin(), drafts_.end(), add);
  }
  state.cached_pieces = static_cast<std::int64_t>(leading(request));
  const std::size_t ahead = replies_.size() + drafts_.size() + decoding_.size() + 1;
  if (ahead > limits_.slots) {
    std::vector<Instant> ends;
    for (const Running& running : decoding_) ends.push_back(running.until);
    std::sort(ends.begin(), ends.end());
    const std::size_t at = std::min(ahead - limits_.slots, ends.size()) - 1;
    state.wait = std::max(state.wait, ends[at] - time_->now());
  }
  return state;
}

std::deque<Job>& Engine::QueueOf(RequestClass request_class) {
  return request_class == RequestClass::kReply ? replies_ : drafts_;
}

void Engine::StartNext() {
  if (prefill_ || !is_up_ || decoding_.size() >= limits_.slots) return;
  std::deque<Job>& queue = replies_.empty() ? drafts_ : replies_;
  if (queue.empty()) return;
  const Job job = queue.front();
  queue.pop_front();
  const std::size_t cached = CachedPieces(*job.request);
  const Duration length = PrefillTime(job, cached);
  prefill_ = Running{.job = job,
                     .cached_pieces = static_cast<std::int64_t>(cached),
                     .until = time_->now() + length};
  hooks_.on_prefill(job, prefill_->cached_pieces);
  time_->After(length, [this, incarnation = incarnation_] {
    if (incarnation == incarnation_) EndPrefill();
  });
}

void Engine::EndPrefill() {
  Running running = *prefill_;
  prefill_.reset();
  Touch(*running.job.request);
  const Duration decode = running.job.request->output_tokens * limits_.decode_per_token;
  running.until = time_->now() + decode;
  decoding_.push_back(running);
  hooks_.on_first_token(running.job);
  time_->After(decode, [this, running, incarnation = incarnation_] {
    if (incarnation != incarnation_) return;
    std::erase_if(decoding_, [&](const Running& other) {
      return other.job.request_index == running.job.request_index;
    });
    hooks_.on_end(running.job, running.cached_pieces);
    StartNext();
  });
  StartNext();
}

std::size_t Engine::CachedPieces(const TraceRequest& request) const {
  const auto end = std::find_if_not(request.blocks.begin(), request.blocks.end(),
                                    [&](const BlockId& block) { return where_.contains(block); });
  return static_cast<std::size_t>(end - request.blocks.begin());
}

Duration Engine::PrefillTime(const Job& job, std::size_t cached) const {
  const std::size_t imported = std::max(job.import_pieces, cached) - cached;
  const auto present = static_cast<std::int64_t>(cached + imported);
  const auto missing = static_cast<double>(job.request->prompt_tokens - present * kPieceTokens);
  const auto import_tokens = static_cast<double>(imported) * static_cast<double>(kPieceTokens);
  return PrefillDuration(missing, limits_.prefill_ms_per_1k) +
         PrefillDuration(import_tokens, limits_.import_ms_per_1k);
}

// The first piece ends as the most recent one: a prefix goes from its end.
void Engine::Touch(const TraceRequest& request) {
  for (auto block = request.blocks.rbegin(); block != request.blocks.rend(); ++block) {
    const auto found = where_.find(*block);
    if (found != where_.end()) {
      blocks_.splice(blocks_.begin(), blocks_, found->second);
      continue;
    }
    blocks_.push_front(*block);
    where_.emplace(*block, blocks_.begin());
    ++last_sequence_;
    changes_.push_back({.block = *block, .stored = true});
  }
  while (blocks_.size() > limits_.cache_pieces) Evict();
}

void Engine::Evict() {
  ++last_sequence_;
  changes_.push_back({.block = blocks_.back(), .stored = false});
  where_.erase(blocks_.back());
  blocks_.pop_back();
}

}  // namespace kumquat::bench
