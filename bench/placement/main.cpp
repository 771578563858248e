// Compares placement policies over fake engines in virtual time and prints the tables.
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <cstdint>
#include <future>
#include <string>
#include <string_view>
#include <vector>

#include "placement/policies.h"

DEFINE_string(seeds, "final", "Which traces to run: final, or tuning.");
DEFINE_string(cell, "", "Runs only the conditions with this name.");
DEFINE_string(deployment, "", "Runs only the deployment with this name.");
DEFINE_int32(threads, 4, "Simulations to run at once.");
DEFINE_double(reply_weight, -1, "Overrides the policy's reply_recompute_weight.");
DEFINE_double(draft_weight, -1, "Overrides the policy's draft_recompute_weight.");
DEFINE_int32(tell_ms, 100, "Interval at which routers tell each other what waits; 0 for never.");
DEFINE_bool(classes, true, "Prints each class, besides all requests.");

namespace kumquat::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The target against the clairvoyant.
constexpr double kHitRateShare = 0.95;
constexpr double kTailFactor = 1.25;
constexpr double kRecomputeFactor = 1.1;
constexpr double kTail = 0.99;
constexpr double kMedian = 0.5;
constexpr double kPercent = 100;

struct NamedPolicy {
  std::string_view name;
  MakePolicy make;
};

PlacementOptions Options() {
  PlacementOptions options;
  if (FLAGS_reply_weight >= 0) options.reply_recompute_weight = FLAGS_reply_weight;
  if (FLAGS_draft_weight >= 0) options.draft_recompute_weight = FLAGS_draft_weight;
  return options;
}

// The project's policy is first, the clairvoyant last.
std::vector<NamedPolicy> Policies() {
  const auto kumquat = [](Fleet& fleet, const Deployment& deployment) {
    return MakeKumquat(fleet, deployment, Options(), milliseconds(FLAGS_tell_ms));
  };
  return {{"kumquat", kumquat},
          {"round robin", MakeRoundRobin},
          {"least load", MakeLeastLoad},
          {"two choices", MakeTwoChoices},
          {"bounded hashing", MakeBoundedHashing},
          {"clairvoyant", MakeClairvoyant}};
}

std::vector<Conditions> Cells() {
  const auto lag1 = seconds(1);
  const auto lag3 = seconds(3);
  return {
      {.name = "steady"},
      {.name = "hot shift", .shifts = true},
      {.name = "engine crash", .crashes = true},
      {.name = "event loss 1%", .event_loss = 0.01},
      {.name = "event loss 10%", .event_loss = 0.1},
      {.name = "load lag 1 s", .load_lag = lag1},
      {.name = "load lag 3 s", .load_lag = lag3},
      {.name = "all at once", .event_loss = 0.1, .load_lag = lag3, .shifts = true, .crashes = true},
      {.name = "kept cache", .has_store = true}};
}

// The seeds of the final table were not used to tune.
std::vector<std::uint64_t> Seeds() {
  if (FLAGS_seeds == "tuning") return {11, 12, 13, 14, 15, 16};
  return {9201, 9202, 9203, 9204, 9205, 9206};
}

// One row: what a policy reached for a class, or for all requests.
struct Row {
  std::string_view policy;
  ClassResult result;
};

Result RunAll(const Deployment& deployment, const Conditions& conditions, const MakePolicy& make) {
  Result sum;
  for (const std::uint64_t seed : Seeds()) {
    const Result result = Simulate(deployment, conditions, seed, make);
    for (std::size_t at = 0; at < sum.size(); ++at) sum[at].Add(result[at]);
  }
  return sum;
}

// Says where the first row misses a target against the last, or is not ahead of another.
std::string Verdict(const std::vector<Row>& rows) {
  const ClassResult& own = rows.front().result;
  const ClassResult& best = rows.back().result;
  const double hit_share = own.HitRate() / best.HitRate();
  const double tail_factor = own.FirstTokenMs(kTail) / best.FirstTokenMs(kTail);
  const double recompute_factor =
      static_cast<double>(own.recomputed_tokens) /
      static_cast<double>(std::max<std::int64_t>(best.recomputed_tokens, 1));
  std::string misses;
  if (hit_share < kHitRateShare) misses += " hit-rate";
  if (tail_factor > kTailFactor) misses += " tail";
  if (recompute_factor > kRecomputeFactor) misses += " recomputed";
  for (std::size_t at = 1; at + 1 < rows.size(); ++at) {
    const ClassResult& other = rows[at].result;
    const bool is_ahead = own.HitRate() > other.HitRate() &&
                          own.FirstTokenMs(kTail) < other.FirstTokenMs(kTail) &&
                          own.recomputed_tokens < other.recomputed_tokens;
    if (!is_ahead) misses += fmt::format(" behind({})", rows[at].policy);
  }
  return fmt::format("hit x{:.3f}, p99 x{:.2f}, recomputed x{:.2f}: {}", hit_share, tail_factor,
                     recompute_factor, misses.empty() ? "met" : "missed" + misses);
}

void PrintRows(std::string_view class_name, const std::vector<Row>& rows) {
  for (const Row& row : rows) {
    fmt::print("  {:<6} {:<16} {:>6.2f} {:>9.0f} {:>9.0f} {:>11}\n", class_name, row.policy,
               row.result.HitRate() * kPercent, row.result.FirstTokenMs(kMedian),
               row.result.FirstTokenMs(kTail), row.result.recomputed_tokens / 1000);
  }
  fmt::print("  {:<6} against the clairvoyant: {}\n", class_name, Verdict(rows));
}

using Futures = std::vector<std::future<Result>>;

void PrintCell(const Deployment& deployment, const Conditions& conditions,
               const std::vector<NamedPolicy>& policies, Futures& futures) {
  std::vector<Row> replies;
  std::vector<Row> drafts;
  std::vector<Row> all;
  for (std::size_t at = 0; at < policies.size(); ++at) {
    const Result result = futures[at].get();
    replies.push_back({policies[at].name, result[0]});
    drafts.push_back({policies[at].name, result[1]});
    all.push_back({policies[at].name, result[0]});
    all.back().result.Add(result[1]);
  }
  fmt::print("{}, {}\n  {:<6} {:<16} {:>6} {:>9} {:>9} {:>11}\n", deployment.name, conditions.name,
             "class", "policy", "hit %", "p50 ms", "p99 ms", "recomp. k");
  if (FLAGS_classes) {
    PrintRows("reply", replies);
    PrintRows("draft", drafts);
  }
  PrintRows("all", all);
}

void Main() {
  const auto policies = Policies();
  const std::vector<Deployment> deployments{Seatworks(), Cooperative()};
  const auto cells = Cells();
  for (const Deployment& deployment : deployments) {
    if (!FLAGS_deployment.empty() && FLAGS_deployment != deployment.name) continue;
    for (const Conditions& conditions : cells) {
      if (!FLAGS_cell.empty() && FLAGS_cell != conditions.name) continue;
      Futures futures;
      for (const NamedPolicy& policy : policies) {
        futures.push_back(std::async(FLAGS_threads > 1 ? std::launch::async : std::launch::deferred,
                                     RunAll, std::cref(deployment), std::cref(conditions),
                                     std::cref(policy.make)));
      }
      PrintCell(deployment, conditions, policies, futures);
    }
  }
}

}  // namespace
}  // namespace kumquat::bench

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  kumquat::bench::Main();
  return 0;
}
