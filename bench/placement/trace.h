// Seeded request traces in the shape of a deployment: organisations with nested prefixes.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "coordination/prefix/prefix_identity.h"
#include "protocol/lists.h"
#include "utils/hooks.h"

namespace kumquat::bench {

// The shape of a deployment and of its traffic.
struct Deployment {
  std::string name;
  int engines = 0;
  int routers = 0;
  int failure_domains = 0;
  double sessions_per_second = 0;
  double draft_share = 0;
  Duration length{};
};

// Returns the deployment with 18 engines, and the one with 9 engines and drafts.
Deployment Seatworks();
Deployment Cooperative();

// One request of a trace.
struct TraceRequest {
  Instant arrival{};
  int router = 0;
  RequestClass request_class = RequestClass::kReply;
  std::vector<BlockId> blocks;
  std::int64_t prompt_tokens = 0;
  std::int64_t output_tokens = 0;
};

// Makes a trace. With `shifts`, half-way the two largest organisations get new catalogues.
std::vector<TraceRequest> MakeTrace(const Deployment& deployment, std::uint64_t seed, bool shifts);

// A seeded generator with the few distributions that the benchmark needs.
class Dice {
 public:
  explicit Dice(std::uint64_t seed) : state_(seed) {}

  std::uint64_t Bits();
  // Uniform in [0, 1).
  double Unit();
  std::int64_t Between(std::int64_t lowest, std::int64_t highest);
  double Exponential(double mean);
  // Returns an index with probability in proportion to its weight.
  std::size_t Weighted(const std::vector<double>& weights);

 private:
  std::uint64_t state_;
};

}  // namespace kumquat::bench
