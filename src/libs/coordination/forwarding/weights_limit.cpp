#include "coordination/forwarding/weights_limit.h"

namespace kumquat {
namespace {

// A request that is sent may wait longer in the engine's queue before it begins than was expected:
// by so much, and by as much again as was expected.
constexpr Duration kBeginMargin = std::chrono::milliseconds(2000);
constexpr int kBeginFactor = 2;
// The way of a newer version to this router, of a closed connection to the engine, and one look at
// all requests in progress between them.
constexpr Duration kTakeBackMargin = std::chrono::milliseconds(300);

}  // namespace

bool WeightsLimit::BeginsTooLate(std::string_view model, std::int64_t version,
                                 Duration expected_wait, Instant now) const {
  const auto lag = named_weights_->ReplacedFor(model, version, now);
  return lag && *lag + kBeginMargin + kBeginFactor * expected_wait > longest_lag_;
}

bool WeightsLimit::MustTakeBack(std::string_view model, std::int64_t version, Instant now) const {
  const auto lag = named_weights_->ReplacedFor(model, version, now);
  return lag && *lag + kTakeBackMargin >= longest_lag_;
}

}  // namespace kumquat
