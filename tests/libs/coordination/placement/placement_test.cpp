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

Random Seeded(std::uint64_t seed) {
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

TEST_CASE("A leaving engine is never chosen, and an idle fleet gives the longest cached prefix") {
  CheckProperty("idle", [] {
    PlacementPolicy policy({}, Seeded(1));
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
    // Ties are within 2 ms, which is 20 tokens.
    RC_ASSERT(choice->missing_tokens <= prompt_tokens - longest + 20);
    RC_ASSERT(choice->expected_first_token == PrefillTime(choice->missing_tokens));
  });
}

TEST_CASE("Many dispatches on one stale report spread evenly") {
  PlacementPolicy policy({.routers = 6}, Seeded(2));
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

TEST_CASE("Routers with the same beliefs place a cold prefix on the same engine") {
  CheckProperty("agree", [](std::uint64_t root) {
    PlacementRequest request = Reply(20'000);
    request.prefix_root = root;
    PlacementPolicy left({}, Seeded(3));
    PlacementPolicy right({}, Seeded(4));
    const auto candidates = IdleEngines();
    RC_ASSERT(left.Choose(candidates, request, seconds(1))->index ==
              right.Choose(candidates, request, seconds(1))->index);
  });
}

TEST_CASE("A hot prefix gets another copy when its holder's queue outweighs computing it") {
  PlacementPolicy policy({}, Seeded(5));
  auto candidates = IdleEngines();
  candidates[2].cached_tokens = 20'000;
  const PlacementRequest request = Reply(21'000);
  std::size_t elsewhere = 0;
  std::int64_t waiting = 0;
  while (elsewhere == 0 && waiting < 1'000'000) {
    const auto choice = policy.Choose(candidates, request, seconds(1));
    if (choice->index != 2) ++elsewhere;
    policy.Dispatched(candidates[choice->index], request, *choice, seconds(1));
    waiting += choice->missing_tokens;
  }
  CHECK(elsewhere == 1);
  // It is worth 20,000 tokens of queue at least, and with its cost to others at most twice that.
  CHECK(waiting > 20'000);
  CHECK(waiting < 61'000);
}

TEST_CASE("What can be imported is not computed") {
  PlacementPolicy policy({}, Seeded(6));
  auto candidates = IdleEngines();
  for (Candidate& candidate : candidates) candidate.importable_tokens = 10'000;
  const auto choice = policy.Choose(candidates, Reply(12'000), seconds(1));
  CHECK(choice->import_tokens == 10'000);
  CHECK(choice->missing_tokens == 2'000);
  CHECK(choice->expected_first_token == milliseconds(300));
}

TEST_CASE("What peers sent counts while they are heard") {
  PlacementPolicy policy({.routers = 2}, Seeded(7));
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

// Runs that fill an engine's memory evict the cached prefixes that others would have hit, and the
// next run waits until one of them has ended.
TEST_CASE("Runs that hold memory send others elsewhere, and are told to peers until they end") {
  PlacementPolicy policy({.routers = 2, .memory_pressure = milliseconds(60)}, Seeded(9));
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
  const auto told = policy.TakeSentLoads(seconds(2));
  REQUIRE(told.size() == 1);
  CHECK(told[0].tokens == 0);
  CHECK(told[0].held_tokens == 60'000);
  CHECK(policy.Choose({&taken, 1}, request, seconds(2))->expected_first_token >
        PrefillTime(request.prompt_tokens));
  policy.Finished(dispatch, seconds(3));
  CHECK(policy.Choose({&taken, 1}, request, seconds(3))->expected_first_token ==
        PrefillTime(request.prompt_tokens));
  REQUIRE(policy.TakeSentLoads(seconds(3)).size() == 1);
}

// A lost word that a load had ended must not keep an engine idle.
TEST_CASE("What a peer told is forgotten unless it is told again") {
  PlacementPolicy policy({.routers = 2}, Seeded(7));
  auto candidates = IdleEngines();
  candidates.resize(1);
  const SentLoad sent{.backend_id = "e0", .incarnation = 1, .reply_tokens = 5000, .tokens = 5000};
  policy.PeerSent("peer", std::vector{sent}, seconds(1));
  policy.PeerSent("peer", {}, seconds(2));
  policy.PeerSent("peer", {}, seconds(3));
  CHECK(policy.Choose(candidates, Reply(1000), seconds(3))->expected_first_token ==
        milliseconds(100));
  // So a router repeats what still waits.
  const auto choice = policy.Choose(candidates, Reply(9000), seconds(4));
  policy.Dispatched(candidates[0], Reply(9000), *choice, seconds(4));
  CHECK(policy.TakeSentLoads(seconds(4)).size() == 1);
  CHECK(policy.TakeSentLoads(seconds(4) + milliseconds(100)).empty());
  CHECK(policy.TakeSentLoads(seconds(5)).size() == 1);
}

// Whatever was sent, answered, failed, reported and told: once everything has ended and idle
// reports came, nothing is left of it; and a new incarnation starts with nothing at once.
TEST_CASE("Load that has ended leaves nothing behind") {
  CheckProperty("drains", [] {
    PlacementPolicy policy({.routers = 3}, Seeded(8));
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
