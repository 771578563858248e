#include "coordination/forwarding/weights_limit.h"

namespace kumquat {
namespace {

// The actual wait in the engine's queue is assumed to be at most kWaitFactor times the expected
// wait plus kWaitMargin.
constexpr Duration kWaitMargin = std::chrono::milliseconds(2000);
constexpr int kWaitFactor = 2;
// Covers the delay until this router learns of the newer version, the interval of its check of the
// requests in progress, and the delay until the engine notices the closed connection.
constexpr Duration kCancelMargin = std::chrono::milliseconds(300);

}  // namespace

bool WeightsLimit::BeginsTooLate(std::string_view model, std::int64_t version,
                                 Duration expected_wait, Instant now) const {
  const auto lag = named_weights_->TimeSinceReplaced(model, version, now);
  return lag && *lag + kWaitMargin + kWaitFactor * expected_wait > longest_lag_;
}

bool WeightsLimit::MustCancel(std::string_view model, std::int64_t version, Instant now) const {
  const auto lag = named_weights_->TimeSinceReplaced(model, version, now);
  return lag && *lag + kCancelMargin >= longest_lag_;
}

}  // namespace kumquat
