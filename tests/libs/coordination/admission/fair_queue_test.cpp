// Tests FairQueue against a list as a model, its fairness, and its goodput under overload in
// virtual time, as well as the limits of RetryBudget.
#include "coordination/admission/fair_queue.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <list>
#include <map>
#include <set>

#include "coordination/admission/retry_budget.h"
#include "property.h"
#include "virtual_world.h"

namespace kumquat {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kServiceTime = milliseconds(100);
constexpr int kServers = 10;
constexpr double kCapacityPerSecond = 100;
constexpr Duration kMaxResponseTime = seconds(1);

struct Load {
  // Arrival rates as multiples of the capacity.
  double replies;
  double drafts;
};

struct Outcome {
  // Requests per second that finished in time.
  double goodput = 0;
  double reply_goodput = 0;
  Duration longest_reply_wait{0};
  std::int64_t refused = 0;
  std::int64_t accepted = 0;
  // Accepted, but not started in time.
  std::int64_t expired = 0;
};

// Simulates a load on a fixed number of servers. The first second is a warm-up, which goodput and
// the longest wait leave out.
Outcome SimulateLoad(const Load& load, std::uint64_t seed) {
  constexpr Duration kSimulatedTime = seconds(21);
  VirtualWorld world(seed);
  FairQueue queue;
  Outcome outcome;
  std::map<std::uint64_t, Instant> arrived;
  int idle = kServers;
  std::uint64_t next_id = 0;
  const Instant counted_from = world.now() + seconds(1);
  std::function<void()> start_next = [&] {
    while (idle > 0) {
      const auto request = queue.Pop(world.now());
      outcome.expired += static_cast<std::int64_t>(queue.TakeExpired(world.now()).size());
      if (!request) return;
      --idle;
      const Instant arrived_at = arrived[request->id];
      const bool reply = request->request_class == RequestClass::kReply;
      if (reply && arrived_at >= counted_from) {
        outcome.longest_reply_wait = std::max(outcome.longest_reply_wait, world.now() - arrived_at);
      }
      world.After(kServiceTime, [&, arrived_at, reply] {
        ++idle;
        if (world.now() <= arrived_at + kMaxResponseTime && world.now() >= counted_from) {
          outcome.goodput += 1.0 / 20;
          if (reply) outcome.reply_goodput += 1.0 / 20;
        }
        start_next();
      });
    }
  };
  const auto arrive = [&](RequestClass request_class) {
    const std::uint64_t id = ++next_id;
    arrived[id] = world.now();
    const std::string organisation(1, static_cast<char>('a' + world.Below(4)));
    const Instant start_by = world.now() + kMaxResponseTime - kServiceTime;
    if (!queue.Push({id, organisation, 1, request_class, start_by}, world.now()).accepted) {
      ++outcome.refused;
    } else {
      ++outcome.accepted;
    }
    start_next();
  };
  const Instant end = world.now() + kSimulatedTime;
  std::function<void(RequestClass, double)> source = [&](RequestClass request_class, double rate) {
    if (rate <= 0 || world.now() >= end) return;
    const double uniform = static_cast<double>(world.Below(1'000'000) + 1) / 1e6;
    const double gap = -std::log(uniform) / (rate * kCapacityPerSecond);
    world.After(Duration(static_cast<std::int64_t>(gap * 1e6)), [&, request_class, rate] {
      arrive(request_class);
      source(request_class, rate);
    });
  };
  source(RequestClass::kReply, load.replies);
  source(RequestClass::kDraft, load.drafts);
  world.Advance(kSimulatedTime, [] {});
  return outcome;
}

}  // namespace

TEST_CASE(
    "Pop returns each request once, replies before drafts, and each organisation's in FIFO order") {
  CheckProperty("queue matches a list", [] {
    FairQueue queue({50, 20, seconds(2)});
    std::list<QueuedRequest> waiting;
    Instant now = seconds(1);
    const auto take_out = [&](std::uint64_t id) {
      const auto it = std::find_if(waiting.begin(), waiting.end(),
                                   [id](const auto& request) { return request.id == id; });
      RC_ASSERT(it != waiting.end());
      QueuedRequest request = *it;
      waiting.erase(it);
      return request;
    };
    const auto steps = *rc::gen::container<std::vector<int>>(300, rc::gen::inRange(0, 1000));
    std::uint64_t next_id = 0;
    for (const int step : steps) {
      now += milliseconds(step % 37);
      if (step % 4 < 2) {
        const QueuedRequest request{++next_id, std::string(1, static_cast<char>('a' + step % 3)),
                                    1 + step % 3,
                                    step % 5 < 2 ? RequestClass::kDraft : RequestClass::kReply,
                                    now + milliseconds(step * 5)};
        const PushResult answer = queue.Push(request, now);
        if (answer.accepted) waiting.push_back(request);
        if (!answer.accepted) RC_ASSERT(answer.retry_after > Duration(0));
      } else if (step % 4 == 2) {
        const auto popped = queue.Pop(now);
        for (const std::uint64_t id : queue.TakeExpired(now)) {
          RC_ASSERT(take_out(id).start_by < now);
        }
        RC_ASSERT(popped.has_value() == !waiting.empty());
        if (!popped) continue;
        RC_ASSERT(take_out(popped->id).start_by >= now);
        for (const QueuedRequest& other : waiting) {
          if (popped->request_class == RequestClass::kDraft) {
            RC_ASSERT(other.request_class == RequestClass::kDraft);
          }
          const bool same_lane = other.organisation == popped->organisation &&
                                 other.request_class == popped->request_class;
          RC_ASSERT(!same_lane || other.id > popped->id);
        }
      } else if (!waiting.empty()) {
        const std::uint64_t id = waiting.back().id;
        RC_ASSERT(queue.Remove(id));
        RC_ASSERT(!queue.Remove(id));
        take_out(id);
      }
      RC_ASSERT(queue.size() == waiting.size());
      RC_ASSERT(queue.size() <= 50U);
    }
  });
}

TEST_CASE("Organisations with waiting requests are served in proportion to their weights") {
  CheckProperty("service in proportion to weights", [] {
    const auto weights = *rc::gen::container<std::vector<int>>(4, rc::gen::inRange(1, 6));
    FairQueue queue;
    std::uint64_t id = 0;
    for (int round = 0; round < 120; ++round) {
      for (std::size_t i = 0; i < weights.size(); ++i) {
        queue.Push({++id, std::string(1, static_cast<char>('a' + i)), weights[i],
                    RequestClass::kReply, seconds(100)},
                   seconds(1));
      }
    }
    int sum = 0;
    for (const int weight : weights) sum += weight;
    std::map<std::string, int> served;
    const int rounds = 100 / *std::max_element(weights.begin(), weights.end());
    for (int i = 0; i < rounds * sum; ++i) ++served[queue.Pop(seconds(1))->organisation];
    for (std::size_t i = 0; i < weights.size(); ++i) {
      const int given = served[std::string(1, static_cast<char>('a' + i))];
      RC_ASSERT(std::abs(given - rounds * weights[i]) <= weights[i] + 1);
    }
  });
}

TEST_CASE(
    "Goodput is at least 90% of capacity at 2x and 5x load, and with replies at 0.5x and drafts at "
    "5x no reply waits longer than two service times") {
  for (const std::uint64_t seed : {1, 2, 3}) {
    for (const double factor : {2.0, 5.0}) {
      const Outcome mixed = SimulateLoad({factor / 2, factor / 2}, seed);
      MESSAGE("load " << factor << "x, seed " << seed << ": goodput " << mixed.goodput << " of "
                      << kCapacityPerSecond << " requests/s, refused early " << mixed.refused);
      CHECK(mixed.goodput >= 0.9 * kCapacityPerSecond);
      // Push() refuses most of the requests that can't start in time; at most 10% of the accepted
      // ones may expire in the queue.
      MESSAGE("accepted " << mixed.accepted << ", expired in the queue " << mixed.expired);
      CHECK(mixed.expired * 10 <= mixed.accepted);
    }
    // With replies at half the capacity, a reply should wait only for requests that are already
    // running when it arrives, here for at most two service times.
    const Outcome drafts = SimulateLoad({0.5, 5}, seed);
    MESSAGE("drafts 5x beside replies 0.5x, seed "
            << seed << ": replies done " << drafts.reply_goodput << "/s, longest reply wait "
            << drafts.longest_reply_wait.count() << " us");
    CHECK(drafts.goodput >= 0.9 * kCapacityPerSecond);
    CHECK(drafts.longest_reply_wait <= 2 * kServiceTime);
  }
}

TEST_CASE("Charged retries stay within the budget, and every retry begins before the deadline") {
  int most_retries = 0;
  CheckProperty("retry budget", [&] {
    VirtualWorld world(*rc::gen::arbitrary<std::uint64_t>());
    const RetryBudgetOptions options;
    RetryBudget budget(options, [&] { return world.Below(~std::uint64_t{0}); });
    int successes = 0;
    int retries = 0;
    const auto steps = *rc::gen::container<std::vector<int>>(500, rc::gen::inRange(0, 12));
    // 0 stands for a success, another number for a retry after that many retries.
    for (const int retries_before : steps) {
      if (retries_before == 0) {
        budget.OnSuccess();
        ++successes;
        continue;
      }
      const Instant deadline = seconds(1) + milliseconds(retries_before * 97 % 700);
      const auto backoff = budget.TryRetry(retries_before, seconds(1), deadline);
      const bool is_free = retries_before < options.free_retries;
      if (is_free)
        RC_ASSERT(backoff.has_value() || deadline <= seconds(1) + options.initial_backoff * 2);
      if (!backoff) continue;
      if (!is_free) ++retries;
      RC_ASSERT(seconds(1) + *backoff < deadline);
      RC_ASSERT(*backoff <= options.max_backoff);
    }
    most_retries = std::max(most_retries, retries);
    RC_ASSERT(retries <= options.max_budget + successes * options.retries_per_success);
  });
  // Some run must exceed the initial budget of 20; otherwise the refill by successes is not tested.
  CHECK(most_retries > 20);
}

}  // namespace kumquat
