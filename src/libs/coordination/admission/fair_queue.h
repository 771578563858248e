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
// the measured drain rate goes past its `start_by` is refused at once.
class FairQueue {
 public:
  explicit FairQueue(FairQueueOptions options = {});

  PushAnswer Push(QueuedRequest request, Instant now);

  // Takes out the next request to start; nothing when none waits. Those whose `start_by` has
  // passed are skipped, and given out by TakeExpired().
  std::optional<QueuedRequest> Pop(Instant now);

  // Returns the ids of the requests that can't start in time any more, and removes them.
  std::vector<std::uint64_t> TakeExpired(Instant now);

  // Removes a request whose caller is gone; false when it does not wait here.
  bool Remove(std::uint64_t id);

  // Returns how long a request would wait if it came now.
  Duration ExpectedWait(const std::string& organisation, std::int64_t share,
                        RequestClass request_class, Instant now) const;

  std::size_t size() const { return where_.size(); }

 private:
  // The requests of one organisation in one class.
  struct Lane {
    std::deque<QueuedRequest> waiting;
    std::int64_t share = 1;
    // Virtual start time of the first request.
    double virtual_start = 0;
  };

  struct ClassQueue {
    std::map<std::string, Lane> lanes;
    std::size_t size = 0;
    double virtual_now = 0;
    // When requests were started lately.
    std::deque<Instant> starts;
    // Since when requests have waited without a break.
    Instant busy_since{0};
  };

  struct Place {
    RequestClass request_class;
    std::string organisation;
  };

  ClassQueue& QueueOf(RequestClass request_class);
  const ClassQueue& QueueOf(RequestClass request_class) const;
  std::map<std::string, Lane>::iterator NextLane(ClassQueue* queue);
  std::optional<QueuedRequest> PopFrom(ClassQueue* queue, Instant now);
  void EraseIfEmpty(ClassQueue* queue, std::map<std::string, Lane>::iterator lane);
  std::optional<double> DrainRate(const ClassQueue& queue, Instant now) const;
  PushAnswer Refusal(Duration wait, const QueuedRequest& request, Instant now) const;

  FairQueueOptions options_;
  std::array<ClassQueue, 2> queues_;
  std::unordered_map<std::uint64_t, Place> where_;
  std::vector<std::uint64_t> expired_;
};

}  // namespace kumquat
