// The queue of requests that wait for a place on a backend server.
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
  // Most requests that wait, over all organisations.
  std::size_t most_waiting = 1000;
  // Most requests of one organisation that wait.
  std::size_t most_waiting_per_organisation = 250;
  // Over how much time the drain rate is measured.
  Duration rate_window = std::chrono::seconds(2);
};

// One request that waits.
struct QueuedRequest {
  std::uint64_t id = 0;
  std::string organisation;
  // The organisation's weight, from its allowance.
  std::int64_t share = 1;
  RequestClass request_class = RequestClass::kReply;
  // The latest moment at which it is worth to start.
  Instant start_by{0};
};

// Whether a request was taken in; else when to come back.
struct PushAnswer {
  bool accepted = false;
  Duration retry_after{0};
};

// A bounded queue. Replies go strictly before drafts; there is no rule against starvation of
// drafts, as drafts may wait and replies may not: a draft that can't start in time is refused
// early. Within a class, organisations take turns by their weights (start-time fair queueing with
// equal costs), and an organisation's own requests go in order. A request whose expected wait by
// the measured drain rates, of all and of its organisation, goes past its `start_by` is refused at
// once.
class FairQueue {
 public:
  explicit FairQueue(FairQueueOptions options = {});

  // Takes in a request with an id that does not wait here yet.
  PushAnswer Push(QueuedRequest request, Instant now);

  // Takes out the next request to start; nothing when none waits. Those whose `start_by` has
  // passed are left out, and given out by TakeExpired().
  std::optional<QueuedRequest> Pop(Instant now);

  // Removes the requests that can't start in time any more, and returns their ids.
  std::vector<std::uint64_t> TakeExpired(Instant now);

  // Removes a request whose caller is gone; false when it does not wait here.
  bool Remove(std::uint64_t id);

  // Returns how long a request would wait if it came now; nothing when the queue has not been
  // measured yet.
  std::optional<Duration> ExpectedWait(const std::string& organisation, std::int64_t share,
                                       RequestClass request_class, Instant now) const;

  std::size_t size() const { return where_.size(); }

 private:
  // Starts in the last window, since requests have waited without a break.
  class DrainMeter {
   public:
    void OnBusy(Instant now);
    void OnIdle();
    void OnStart(Duration window, Instant now);
    // Starts a second; nothing before the first measurement.
    std::optional<double> Rate(Duration window, Instant now) const;

   private:
    std::optional<double> Measured(Duration window, Instant now) const;

    std::deque<Instant> starts_;
    std::optional<Instant> busy_since_;
    std::optional<double> last_rate_;
  };

  // The requests of one organisation in one class.
  struct Lane {
    std::deque<QueuedRequest> waiting;
    std::int64_t share = 1;
    // The turn of its next request; kept while it lies ahead, also when none waits.
    double virtual_start = 0;
    DrainMeter starts;
  };

  struct ClassQueue {
    std::map<std::string, Lane> lanes;
    std::size_t size = 0;
    double virtual_now = 0;
  };

  struct Place {
    RequestClass request_class;
    std::string organisation;
  };

  ClassQueue& QueueOf(RequestClass request_class);
  const ClassQueue& QueueOf(RequestClass request_class) const;
  std::optional<QueuedRequest> PopFrom(ClassQueue* queue, Instant now);
  void Forget(ClassQueue* queue, std::uint64_t id);
  void NoteIdle();
  static double PositionOf(const ClassQueue& queue, const std::string& organisation,
                           std::int64_t share);

  FairQueueOptions options_;
  // By RequestClass.
  std::array<ClassQueue, 2> queues_;
  DrainMeter all_starts_;
  DrainMeter draft_starts_;
  std::unordered_map<std::uint64_t, Place> where_;
  std::vector<std::uint64_t> expired_;
};

}  // namespace kumquat
