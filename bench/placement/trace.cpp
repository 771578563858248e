#include "placement/trace.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace kumquat::bench {

namespace {

constexpr int kCatalogues = 2;
constexpr int kCustomers = 60;
constexpr double kHotCatalogueShare = 0.75;
constexpr double kMeanTurnGapSeconds = 12;
constexpr double kMoreTurns = 0.75;
constexpr double kUsPerSecond = 1e6;

// What a prompt is made of, level by level.
struct Session {
  int organisation = 0;
  int catalogue = 0;
  int customer = 0;
  bool is_draft = false;
  std::uint64_t id = 0;
  std::int64_t turns_tokens = 0;
};

// Lengths that belong to a level, the same in every run.
std::int64_t LevelTokens(std::int64_t shortest, std::int64_t longest, int first, int second) {
  Dice dice(static_cast<std::uint64_t>(first * 1009 + second));
  return dice.Between(shortest, longest);
}

BlockId HashOf(const std::vector<std::uint64_t>& parts) {
  const XXH128_hash_t hash = XXH3_128bits(parts.data(), parts.size() * sizeof(parts[0]));
  return BlockId{.high = hash.high64, .low = hash.low64};
}

// A piece's identity follows from the deepest level that reaches into it.
void FillBlocks(const Session& session, std::uint64_t version, TraceRequest& request) {
  const std::int64_t preamble = LevelTokens(1200, 3000, session.organisation, 0);
  const std::int64_t catalogue =
      preamble + LevelTokens(14'000, 26'000, session.organisation, 1 + session.catalogue);
  const std::int64_t history =
      catalogue + LevelTokens(1000, 7000, session.organisation, 100 + session.customer);
  request.prompt_tokens = history + session.turns_tokens;
  const auto organisation = static_cast<std::uint64_t>(session.organisation);
  for (std::int64_t piece = 0; (piece + 1) * kPieceTokens <= request.prompt_tokens; ++piece) {
    const std::int64_t end = (piece + 1) * kPieceTokens;
    std::vector<std::uint64_t> parts{organisation, static_cast<std::uint64_t>(piece)};
    if (end > preamble) {
      parts.push_back(static_cast<std::uint64_t>(session.catalogue));
      parts.push_back(version);
    }
    if (end > catalogue) parts.push_back(static_cast<std::uint64_t>(session.customer));
    if (end > history) parts.push_back(session.id);
    request.blocks.push_back(HashOf(parts));
  }
}

std::vector<double> OrganisationWeights() { return {30, 22, 16, 10, 8, 6, 5, 3}; }

std::vector<double> CustomerWeights() {
  std::vector<double> weights;
  weights.reserve(kCustomers);
  for (int customer = 0; customer < kCustomers; ++customer) weights.push_back(1.0 / (customer + 1));
  return weights;
}

Session AnySession(const Deployment& deployment, Dice& dice) {
  static const auto organisation_weights = OrganisationWeights();
  static const auto customer_weights = CustomerWeights();
  Session session;
  session.organisation = static_cast<int>(dice.Weighted(organisation_weights));
  session.is_draft = dice.Unit() < deployment.draft_share;
  session.catalogue = dice.Unit() < kHotCatalogueShare ? 0 : kCatalogues - 1;
  // Drafts go through customers evenly, with documents of their own.
  session.customer = session.is_draft
                         ? static_cast<int>(dice.Between(kCustomers, 2 * kCustomers - 1))
                         : static_cast<int>(dice.Weighted(customer_weights));
  session.id = dice.Bits();
  return session;
}

}  // namespace

Deployment Seatworks() {
  return {.name = "Seatworks",
          .engines = 18,
          .routers = 6,
          .failure_domains = 3,
          .sessions_per_second = 9,
          .draft_share = 0.1,
          .length = std::chrono::seconds(150)};
}

Deployment Cooperative() {
  return {.name = "Cooperative",
          .engines = 9,
          .routers = 7,
          .failure_domains = 4,
          .sessions_per_second = 4.5,
          .draft_share = 0.4,
          .length = std::chrono::seconds(150)};
}

std::vector<TraceRequest> MakeTrace(const Deployment& deployment, std::uint64_t seed, bool shifts) {
  Dice dice(seed);
  std::vector<TraceRequest> trace;
  const double length_us = static_cast<double>(deployment.length.count());
  double start_us = 0;
  while (start_us < length_us) {
    start_us += dice.Exponential(kUsPerSecond / deployment.sessions_per_second);
    Session session = AnySession(deployment, dice);
    double at_us = start_us;
    do {
      session.turns_tokens += dice.Between(300, 1200);
      TraceRequest request;
      request.arrival = Instant(static_cast<std::int64_t>(at_us));
      request.router = static_cast<int>(dice.Between(0, deployment.routers - 1));
      request.request_class = session.is_draft ? RequestClass::kDraft : RequestClass::kReply;
      request.output_tokens = dice.Between(40, 200);
      const bool has_shifted = shifts && at_us > length_us / 2 && session.organisation < 2;
      FillBlocks(session, has_shifted ? 1 : 0, request);
      trace.push_back(std::move(request));
      at_us += kUsPerSecond * (3 + dice.Exponential(kMeanTurnGapSeconds));
    } while (dice.Unit() < kMoreTurns && at_us < length_us);
  }
  std::sort(trace.begin(), trace.end(),
            [](const auto& left, const auto& right) { return left.arrival < right.arrival; });
  return trace;
}

// splitmix64
std::uint64_t Dice::Bits() {
  state_ += 0x9e3779b97f4a7c15ULL;
  std::uint64_t bits = state_;
  bits = (bits ^ (bits >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  bits = (bits ^ (bits >> 27U)) * 0x94d049bb133111ebULL;
  return bits ^ (bits >> 31U);
}

double Dice::Unit() { return static_cast<double>(Bits() >> 11U) * 0x1.0p-53; }

std::int64_t Dice::Between(std::int64_t lowest, std::int64_t highest) {
  return lowest + static_cast<std::int64_t>(Unit() * static_cast<double>(highest - lowest + 1));
}

double Dice::Exponential(double mean) { return -mean * std::log(1 - Unit()); }

std::size_t Dice::Weighted(const std::vector<double>& weights) {
  double total = 0;
  for (const double weight : weights) total += weight;
  double left = Unit() * total;
  for (std::size_t at = 0; at + 1 < weights.size(); ++at) {
    left -= weights[at];
    if (left < 0) return at;
  }
  return weights.size() - 1;
}

}  // namespace kumquat::bench
