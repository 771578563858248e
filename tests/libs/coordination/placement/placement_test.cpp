#include "coordination/placement/placement.h"

#include <algorithm>
#include <deque>
#include <string>
#include <vector>

#include "property.h"

namespace kumquat {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kPrefillMsPer1k = 100;
constexpr double kImportMsPer1k = 10;

Random SeededRandom(std::uint64_t seed) {
  return [state = seed]() mutable {
    state = state * 6364136223846793005ULL + 1442695040888963407ULL;
    return state >> 16U;
  };
}

const std::vector<std::string> kEngineIds{"e0", "e1", "e2", "e3", "e4", "e5"};

std::vector<Candidate> IdleEngines(std::int64_t incarnation = 1) {
  std::vector<Candidate> candidates;
  for (const std::string& id : kEngineIds) {
    Candidate candidate;
    candidate.backend_id = id;
    candidate.incarnation = incarnation;
    candidate.concurrent_requests = 100;
    candidate.prefill_ms_per_1k_tokens = kPrefillMsPer1k;
    candidate.import_ms_per_1k_tokens = kImportMsPer1k;
    candidates.push_back(candidate);
  }
  return candidates;
}

PlacementRequest Reply(std::int64_t tokens) {
  PlacementRequest request;
  request.prompt_tokens = tokens;
  return request;
}

Duration PrefillTime(std::int64_t tokens) {
  return Duration(static_cast<std::int64_t>(static_cast<double>(tokens) * kPrefillMsPer1k));
}

TEST_CASE("Among idle engines the longest cached prefix is chosen, and never a leaving engine") {
  CheckProperty("choice among idle engines", [] {
    PlacementPolicy policy({}, SeededRandom(1));
    auto candidates = IdleEngines();
    const std::int64_t prompt_tokens = *rc::gen::inRange(0, 50'000);
    std::int64_t longest = -1;
    for (Candidate& candidate : candidates) {
      candidate.cached_tokens = *rc::gen::inRange(0, 50'000);
      if (*rc::gen::arbitrary<bool>()) {
        candidate.state = BackendState::kLeaving;
      } else {
        longest = std::max(longest, std::min(candidate.cached_tokens, prompt_tokens));
      }
    }
    const auto choice = policy.Choose(candidates, Reply(prompt_tokens), seconds(1));
    RC_ASSERT(choice.has_value() == (longest >= 0));
    if (!choice) return;
    RC_ASSERT(candidates[choice->index].state == BackendState::kServing);
    // Candidates within 2 ms count as equal, which is the prefill time of 20 tokens.
    RC_ASSERT(choice->missing_tokens <= prompt_tokens - longest + 20);
    RC_ASSERT(choice->expected_first_token == PrefillTime(choice->missing_tokens));
  });
}

TEST_CASE("Requests placed on one stale report are spread evenly over equal engines") {
  PlacementPolicy policy({.routers = 6}, SeededRandom(2));
  const auto candidates = IdleEngines();
  for (const Candidate& candidate : candidates) {
    policy.Reported(candidate.backend_id, 1, {}, seconds(1));
  }
  std::vector<int> counts(candidates.size(), 0);
  for (int request = 0; request < 60; ++request) {
    const auto choice = policy.Choose(candidates, Reply(1000), seconds(4));
    ++counts[choice->index];
    policy.Dispatched(candidates[choice->index], Reply(1000), *choice, seconds(4));
  }
  CHECK(*std::min_element(counts.begin(), counts.end()) == 10);
}

TEST_CASE("Routers with the same information place an uncached prefix on the same engine") {
  CheckProperty("two routers choose the same engine", [](std::uint64_t root) {
    PlacementRequest request = Reply(20'000);
    request.prefix_hash_seed = root;
    PlacementPolicy left({}, SeededRandom(3));
    PlacementPolicy right({}, SeededRandom(4));
    const auto candidates = IdleEngines();
    RC_ASSERT(left.Choose(candidates, request, seconds(1))->index ==
              right.Choose(candidates, request, seconds(1))->index);
  });
}

TEST_CASE("A cached prefix is computed on another engine once its engine's queue costs more") {
  PlacementPolicy policy({}, SeededRandom(5));
  auto candidates = IdleEngines();
  candidates[2].cached_tokens = 20'000;
  const PlacementRequest request = Reply(21'000);
  std::size_t choices_elsewhere = 0;
  std::int64_t waiting_tokens = 0;
  while (choices_elsewhere == 0 && waiting_tokens < 1'000'000) {
    const auto choice = policy.Choose(candidates, request, seconds(1));
    if (choice->index != 2) ++choices_elsewhere;
    policy.Dispatched(candidates[choice->index], request, *choice, seconds(1));
    waiting_tokens += choice->missing_tokens;
  }
  CHECK(choices_elsewhere == 1);
  // The cached prefix outweighs a queue of at least 20,000 tokens, and with its cost to other
  // requests at most twice that.
  CHECK(waiting_tokens > 20'000);
  CHECK(waiting_tokens < 61'000);
}

TEST_CASE("Importable tokens are imported instead of computed when that is cheaper") {
  PlacementPolicy policy({}, SeededRandom(6));
  auto candidates = IdleEngines();
  for (Candidate& candidate : candidates) candidate.importable_tokens = 10'000;
  const auto choice = policy.Choose(candidates, Reply(12'000), seconds(1));
  CHECK(choice->import_tokens == 10'000);
  CHECK(choice->missing_tokens == 2'000);
  CHECK(choice->expected_first_token == milliseconds(300));
}

TEST_CASE("The load that a peer sent counts until the peer has been silent for 1.5 s") {
  PlacementPolicy policy({.routers = 2}, SeededRandom(7));
  auto candidates = IdleEngines();
  candidates.resize(1);
  const SentLoad sent{.backend_id = "e0", .incarnation = 1, .reply_tokens = 5000, .tokens = 5000};
  const auto expected = [&](Instant now) {
    return policy.Choose(candidates, Reply(1000), now)->expected_first_token;
  };
  policy.PeerSent("peer", std::vector{sent}, seconds(1));
  CHECK(expected(seconds(2)) == milliseconds(600));
  CHECK(expected(seconds(3)) == milliseconds(100));
  policy.PeerSent("peer", {}, seconds(3));
  CHECK(expected(seconds(3)) == milliseconds(100));
}

// Runs that fill an engine's memory evict cached prefixes that other requests would have hit, and
// the next run has to wait until one of them has ended.
TEST_CASE("Memory held by a run diverts requests, delays runs and is sent to peers until its end") {
  PlacementPolicy policy({.routers = 2, .memory_pressure = milliseconds(60)}, SeededRandom(9));
  auto candidates = IdleEngines();
  candidates.resize(2);
  for (Candidate& candidate : candidates) candidate.memory_tokens = 100'000;
  PlacementRequest request = Reply(1000);
  request.held_tokens = 60'000;
  const auto first = policy.Choose(candidates, request, seconds(1));
  const Candidate& taken = candidates[first->index];
  const DispatchId dispatch = policy.Dispatched(taken, request, *first, seconds(1));
  policy.FirstToken(dispatch, seconds(1) + milliseconds(100));
  for (int i = 0; i < 20; ++i) {
    CHECK(policy.Choose(candidates, Reply(1000), seconds(2))->index != first->index);
  }
  const auto sent_loads = policy.TakeSentLoads(seconds(2));
  REQUIRE(sent_loads.size() == 1);
  CHECK(sent_loads[0].tokens == 0);
  CHECK(sent_loads[0].held_tokens == 60'000);
  CHECK(policy.Choose({&taken, 1}, request, seconds(2))->expected_first_token >
        PrefillTime(request.prompt_tokens));
  policy.Finished(dispatch, seconds(3));
  CHECK(policy.Choose({&taken, 1}, request, seconds(3))->expected_first_token ==
        PrefillTime(request.prompt_tokens));
  REQUIRE(policy.TakeSentLoads(seconds(3)).size() == 1);
}

// When the message that a load has ended is lost, the engine must not stay unused because of it.
TEST_CASE("A peer's load is dropped unless it is repeated, and a router repeats its own") {
  PlacementPolicy policy({.routers = 2}, SeededRandom(7));
  auto candidates = IdleEngines();
  candidates.resize(1);
  const SentLoad sent{.backend_id = "e0", .incarnation = 1, .reply_tokens = 5000, .tokens = 5000};
  policy.PeerSent("peer", std::vector{sent}, seconds(1));
  policy.PeerSent("peer", {}, seconds(2));
  policy.PeerSent("peer", {}, seconds(3));
  CHECK(policy.Choose(candidates, Reply(1000), seconds(3))->expected_first_token ==
        milliseconds(100));
  // Therefore a router repeats the load that still waits.
  const auto choice = policy.Choose(candidates, Reply(9000), seconds(4));
  policy.Dispatched(candidates[0], Reply(9000), *choice, seconds(4));
  CHECK(policy.TakeSentLoads(seconds(4)).size() == 1);
  CHECK(policy.TakeSentLoads(seconds(4) + milliseconds(100)).empty());
  CHECK(policy.TakeSentLoads(seconds(5)).size() == 1);
}

// After any sequence of dispatches, answers, failures and reports: once all requests have ended and
// the engines have reported that they are idle, no estimated load remains. A new incarnation starts
// without load at once.
TEST_CASE("No estimated load remains after all requests have ended, nor for a new incarnation") {
  CheckProperty("estimated load returns to zero", [] {
    PlacementPolicy policy({.routers = 3}, SeededRandom(8));
    std::deque<DispatchId> open;
    Instant now = seconds(1);
    const auto candidates = IdleEngines();
    const int steps = *rc::gen::inRange(0, 80);
    for (int step = 0; step < steps; ++step) {
      now += milliseconds(*rc::gen::inRange(0, 200));
      const auto engine = *rc::gen::inRange<std::size_t>(0, candidates.size());
      const int kind = *rc::gen::inRange(0, 5);
      if (kind <= 1) {
        const auto choice = policy.Choose(candidates, Reply(1000), now);
        open.push_back(policy.Dispatched(candidates[choice->index], Reply(1000), *choice, now));
      } else if (kind == 2 && !open.empty()) {
        policy.FirstToken(open.front(), now);
      } else if (kind == 3 && !open.empty()) {
        policy.Finished(open.front(), now);
        open.pop_front();
      } else {
        const BackendLoad load{.running_requests = 1, .queued_requests = 2, .queued_tokens = 900};
        policy.Reported(kEngineIds[engine], 1, load, now - milliseconds(*rc::gen::inRange(0, 900)));
      }
    }
    for (const Candidate& candidate : IdleEngines(2)) {
      const auto fresh = policy.Choose({&candidate, 1}, Reply(1000), now);
      RC_ASSERT(fresh->expected_first_token == PrefillTime(1000));
    }
    for (const DispatchId dispatch : open) policy.Failed(dispatch, now);
    now += milliseconds(1);
    for (const Candidate& candidate : candidates) {
      policy.Reported(candidate.backend_id, 1, {}, now);
      const auto choice = policy.Choose({&candidate, 1}, Reply(1000), now);
      RC_ASSERT(choice->expected_first_token == PrefillTime(1000));
    }
    for (const SentLoad& load : policy.TakeSentLoads(now)) RC_ASSERT(load.tokens == 0);
  });
}

}  // namespace
}  // namespace kumquat
