// A bounded, weighted fair queue of requests that wait for free capacity on a backend server.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "protocol/lists.h"
#include "utils/hooks.h"

namespace kumquat {

struct FairQueueOptions {
  // Maximum number of waiting requests over all organisations.
  std::size_t max_waiting = 1000;
  // Maximum number of waiting requests of an organisation in each class.
  std::size_t max_waiting_per_organisation = 250;
  // Sliding window over which the drain rates, at which requests start, are measured.
  Duration rate_window = std::chrono::seconds(2);
};

// A waiting request.
struct QueuedRequest {
  std::uint64_t id = 0;
  std::string organisation;
  // The organisation's weight in the fair queue, from its allowance.
  std::int64_t share = 1;
  RequestClass request_class = RequestClass::kReply;
  // The latest moment at which starting the request is still useful.
  Instant start_by{0};
};

// The result of FairQueue::Push(): whether the request was queued and, if not, when to retry.
struct PushResult {
  bool accepted = false;
  Duration retry_after{0};
};

// Replies have strict priority over drafts. Drafts have no guaranteed share, so replies can delay
// them without limit, because only replies are urgent; a draft that is not expected to start in
// time is refused early instead. Within a class, organisations are served by weighted start-time
// fair queueing in which every request has the same cost, and the requests of one organisation are
// served in FIFO order. Push() refuses a request at once when its expected wait is too long for its
// `start_by`. The expected wait is estimated from the rates at which requests started recently: of
// the whole queue, of the drafts, and of the organisation in its class.
class FairQueue {
 public:
  explicit FairQueue(FairQueueOptions options = {});

  // Adds a request. Refuses it when the queue is full, when the organisation has too many waiting
  // requests of this class, or when the expected wait is too long for its `start_by`. The id must
  // not be in the queue yet.
  PushResult Push(QueuedRequest request, Instant now);

  // Removes and returns the next request to start, or nothing when no request can start. Requests
  // whose `start_by` has passed are skipped; TakeExpired() returns their ids.
  std::optional<QueuedRequest> Pop(Instant now);

  // Removes the requests whose `start_by` has passed. Returns their ids and those of the expired
  // requests that Pop() has skipped since the last call.
  std::vector<std::uint64_t> TakeExpired(Instant now);

  // Removes a request, for example after its caller disconnected. Returns false when the id is not
  // in the queue.
  bool Remove(std::uint64_t id);

  // Estimates how long a request would wait if it were added now. Returns nothing before the first
  // measurement of the drain rate.
  std::optional<Duration> ExpectedWait(const std::string& organisation, std::int64_t share,
                                       RequestClass request_class, Instant now) const;

  std::size_t size() const { return queue_keys_.size(); }

 private:
  // Measures the rate at which requests start. It counts only the starts of the current busy
  // period, in which at least one request has been waiting all the time.
  class DrainMeter {
   public:
    void OnBusy(Instant now);
    void OnIdle();
    void OnStart(Duration window, Instant now);
    // Returns starts per second. Falls back to the last measured rate while the queue is idle or
    // the busy period is too short to measure. Returns nothing before the first measurement.
    std::optional<double> Rate(Duration window, Instant now) const;

   private:
    std::optional<double> MeasuredRate(Duration window, Instant now) const;

    std::deque<Instant> start_times_;
    std::optional<Instant> busy_since_;
    std::optional<double> last_rate_;
  };

  // The waiting requests of one organisation in one class.
  struct OrganisationQueue {
    std::deque<QueuedRequest> waiting;
    std::int64_t share = 1;
    // The virtual start time of the next request. Each start advances it by 1 / `share`, and the
    // organisation with the lowest one is served next. An empty queue is kept while this is later
    // than the virtual time of its class.
    double virtual_start = 0;
    DrainMeter drain_meter;
  };

  struct ClassQueue {
    std::map<std::string, OrganisationQueue> organisation_queues;
    std::size_t size = 0;
    // The virtual time: the latest virtual start time of the requests that have started.
    double virtual_now = 0;
  };

  struct QueueKey {
    RequestClass request_class;
    std::string organisation;
  };

  ClassQueue& QueueOf(RequestClass request_class);
  const ClassQueue& QueueOf(RequestClass request_class) const;
  std::optional<QueuedRequest> PopFrom(ClassQueue* queue, Instant now);
  void OnRequestRemoved(ClassQueue* queue, std::uint64_t id);
  void UpdateIdleMeters();
  static double PositionOf(const ClassQueue& queue, const std::string& organisation,
                           std::int64_t share);

  FairQueueOptions options_;
  // Indexed by RequestClass.
  std::array<ClassQueue, 2> queues_;
  DrainMeter drain_meter_;
  DrainMeter draft_drain_meter_;
  std::unordered_map<std::uint64_t, QueueKey> queue_keys_;
  std::vector<std::uint64_t> expired_;
};

}  // namespace kumquat
