#include "coordination/forwarding/weights_limit.h"

namespace kumquat {
namespace {

// A request may wait in the engine's queue for longer than expected: by this margin, and by as much
// again as was expected.
constexpr Duration kBeginMargin = std::chrono::milliseconds(2000);
constexpr int kBeginFactor = 2;
// Covers the delay until this router learns of the newer version, the interval of its check of the
// requests in progress, and the delay until the engine notices the closed connection.
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
