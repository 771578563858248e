#include "coordination/admission/fair_queue.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "utils/durations.h"

namespace kumquat {
namespace {

// A rate is only measured over at least 1/8 of the window.
constexpr int kMinMeasurementDivisor = 8;
// Number of starts assumed for a window without any, so that a measured rate is never 0.
constexpr double kStartsWhenStalled = 0.5;
// A request is refused when its expected wait exceeds this fraction of the time until its
// `start_by`. The rest is a margin for requests that arrive later and are served before it.
constexpr double kUsableWaitFraction = 0.75;
// Lower bound of the retry delay that Push() returns with a refusal.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);

Duration ToDuration(double seconds) {
  return Duration(static_cast<Duration::rep>(std::ceil(seconds * 1e6)));
}

}  // namespace

FairQueue::FairQueue(FairQueueOptions options) : options_(options) {}

PushResult FairQueue::Push(QueuedRequest request, Instant now) {
  ClassQueue& queue = QueueOf(request.request_class);
  const auto known = queue.organisation_queues.find(request.organisation);
  const std::size_t own =
      known != queue.organisation_queues.end() ? known->second.waiting.size() : 0;
  const bool full = size() >= options_.max_waiting || own >= options_.max_waiting_per_organisation;
  const Duration wait =
      ExpectedWait(request.organisation, request.share, request.request_class, now)
          .value_or(Duration(0));
  if (full) return {false, std::max(wait / 2, kMinRetryAfter)};
  const Duration usable = ToDuration(Seconds(request.start_by - now) * kUsableWaitFraction);
  if (wait > usable) return {false, std::max(wait - usable, kMinRetryAfter)};

  if (size() == 0) drain_meter_.OnBusy(now);
  if (request.request_class == RequestClass::kDraft && queue.size == 0)
    draft_drain_meter_.OnBusy(now);
  OrganisationQueue& organisation_queue = queue.organisation_queues[request.organisation];
  organisation_queue.share = std::max<std::int64_t>(request.share, 1);
  if (organisation_queue.waiting.empty()) {
    organisation_queue.virtual_start =
        std::max(organisation_queue.virtual_start, queue.virtual_now);
    organisation_queue.drain_meter.OnBusy(now);
  }
  queue_keys_[request.id] = {request.request_class, request.organisation};
  organisation_queue.waiting.push_back(std::move(request));
  ++queue.size;
  return {true, Duration(0)};
}

std::optional<QueuedRequest> FairQueue::Pop(Instant now) {
  for (ClassQueue& queue : queues_) {
    std::optional<QueuedRequest> request = PopFrom(&queue, now);
    if (!request) continue;
    drain_meter_.OnStart(options_.rate_window, now);
    if (request->request_class == RequestClass::kDraft) {
      draft_drain_meter_.OnStart(options_.rate_window, now);
    }
    UpdateIdleMeters();
    return request;
  }
  UpdateIdleMeters();
  return std::nullopt;
}

std::vector<std::uint64_t> FairQueue::TakeExpired(Instant now) {
  for (ClassQueue& queue : queues_) {
    for (auto& [organisation, organisation_queue] : queue.organisation_queues) {
      std::erase_if(organisation_queue.waiting, [&](const QueuedRequest& request) {
        if (request.start_by >= now) return false;
        expired_.push_back(request.id);
        OnRequestRemoved(&queue, request.id);
        return true;
      });
    }
  }
  UpdateIdleMeters();
  return std::exchange(expired_, {});
}

bool FairQueue::Remove(std::uint64_t id) {
  const auto queue_key = queue_keys_.find(id);
  if (queue_key == queue_keys_.end()) return false;
  ClassQueue& queue = QueueOf(queue_key->second.request_class);
  std::erase_if(queue.organisation_queues[queue_key->second.organisation].waiting,
                [id](const QueuedRequest& request) { return request.id == id; });
  OnRequestRemoved(&queue, id);
  UpdateIdleMeters();
  return true;
}

std::optional<Duration> FairQueue::ExpectedWait(const std::string& organisation, std::int64_t share,
                                                RequestClass request_class, Instant now) const {
  const std::optional<double> rate = drain_meter_.Rate(options_.rate_window, now);
  if (!rate) return std::nullopt;
  const ClassQueue& replies = QueueOf(RequestClass::kReply);
  const ClassQueue& queue = QueueOf(request_class);
  double wait = PositionOf(queue, organisation, share) / *rate;
  if (request_class == RequestClass::kDraft) {
    const double draft_rate = draft_drain_meter_.Rate(options_.rate_window, now).value_or(*rate);
    wait = static_cast<double>(replies.size) / *rate +
           PositionOf(queue, organisation, share) / draft_rate;
  }
  const auto organisation_queue = queue.organisation_queues.find(organisation);
  if (organisation_queue == queue.organisation_queues.end()) return ToDuration(wait);
  const std::optional<double> own_rate =
      organisation_queue->second.drain_meter.Rate(options_.rate_window, now);
  if (!own_rate) return ToDuration(wait);
  return ToDuration(
      std::max(wait, static_cast<double>(organisation_queue->second.waiting.size()) / *own_rate));
}

FairQueue::ClassQueue& FairQueue::QueueOf(RequestClass request_class) {
  return queues_[static_cast<std::size_t>(request_class)];
}

const FairQueue::ClassQueue& FairQueue::QueueOf(RequestClass request_class) const {
  return queues_[static_cast<std::size_t>(request_class)];
}

std::optional<QueuedRequest> FairQueue::PopFrom(ClassQueue* queue, Instant now) {
  while (queue->size > 0) {
    auto next = queue->organisation_queues.end();
    for (auto it = queue->organisation_queues.begin(); it != queue->organisation_queues.end();
         ++it) {
      if (it->second.waiting.empty()) continue;
      if (next == queue->organisation_queues.end() ||
          it->second.virtual_start < next->second.virtual_start) {
        next = it;
      }
    }
    OrganisationQueue& organisation_queue = next->second;
    QueuedRequest request = std::move(organisation_queue.waiting.front());
    organisation_queue.waiting.pop_front();
    OnRequestRemoved(queue, request.id);
    if (request.start_by < now) {
      expired_.push_back(request.id);
      continue;
    }
    queue->virtual_now = std::max(queue->virtual_now, organisation_queue.virtual_start);
    organisation_queue.virtual_start += 1.0 / static_cast<double>(organisation_queue.share);
    organisation_queue.drain_meter.OnStart(options_.rate_window, now);
    std::erase_if(queue->organisation_queues, [queue](const auto& entry) {
      return entry.second.waiting.empty() && entry.second.virtual_start <= queue->virtual_now;
    });
    return request;
  }
  return std::nullopt;
}

void FairQueue::OnRequestRemoved(ClassQueue* queue, std::uint64_t id) {
  queue_keys_.erase(id);
  --queue->size;
}

void FairQueue::UpdateIdleMeters() {
  if (size() == 0) drain_meter_.OnIdle();
  if (QueueOf(RequestClass::kDraft).size == 0) draft_drain_meter_.OnIdle();
  for (ClassQueue& queue : queues_) {
    for (auto& [organisation, organisation_queue] : queue.organisation_queues) {
      if (organisation_queue.waiting.empty()) organisation_queue.drain_meter.OnIdle();
    }
  }
}

// Returns how many requests of the class would start before a new one of the organisation: all
// waiting requests of the organisation, and from each other organisation as many as its weight lets
// through in the meantime.
double FairQueue::PositionOf(const ClassQueue& queue, const std::string& organisation,
                             std::int64_t share) {
  const auto own = queue.organisation_queues.find(organisation);
  const double own_waiting =
      own != queue.organisation_queues.end() ? static_cast<double>(own->second.waiting.size()) : 0;
  const double turns = (own_waiting + 1) / static_cast<double>(std::max<std::int64_t>(share, 1));
  double position = own_waiting;
  for (const auto& [name, organisation_queue] : queue.organisation_queues) {
    if (name == organisation) continue;
    position += std::min(static_cast<double>(organisation_queue.waiting.size()),
                         std::ceil(turns * static_cast<double>(organisation_queue.share)));
  }
  return position;
}

void FairQueue::DrainMeter::OnBusy(Instant now) {
  if (busy_since_) return;
  busy_since_ = now;
  start_times_.clear();
}

void FairQueue::DrainMeter::OnIdle() { busy_since_.reset(); }

void FairQueue::DrainMeter::OnStart(Duration window, Instant now) {
  while (!start_times_.empty() && start_times_.front() < now - window) start_times_.pop_front();
  start_times_.push_back(now);
  if (const std::optional<double> rate = MeasuredRate(window, now)) last_rate_ = rate;
}

std::optional<double> FairQueue::DrainMeter::Rate(Duration window, Instant now) const {
  const std::optional<double> rate = MeasuredRate(window, now);
  return rate ? rate : last_rate_;
}

std::optional<double> FairQueue::DrainMeter::MeasuredRate(Duration window, Instant now) const {
  if (!busy_since_) return std::nullopt;
  const Duration measured = std::min(window, now - *busy_since_);
  if (measured < window / kMinMeasurementDivisor) return std::nullopt;
  const auto recent = std::count_if(start_times_.begin(), start_times_.end(),
                                    [&](Instant start) { return start > now - measured; });
  return std::max(static_cast<double>(recent), kStartsWhenStalled) / Seconds(measured);
}

}  // namespace kumquat
