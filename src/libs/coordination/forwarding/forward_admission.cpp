#include "coordination/forwarding/forward_admission.h"

#include <algorithm>
#include <utility>

namespace kumquat {
namespace {

constexpr Duration kMinRetryAfter = std::chrono::milliseconds(300);
// The delay lies between a sixth and a third of the time left: callers wait no longer than a third
// of it, whatever they are told.
constexpr int kMaxRetryDivisor = 3;
constexpr int kMinRetryDivisor = 6;
// The first half of the time in which requests can begin is open to all organisations.
constexpr int kLastRoomDivisor = 2;
// Less urgent requests are assumed to get the rest of the engines' time at least.
constexpr double kMostMoreUrgent = 0.9;
// Answers that come later than this many objectives are worth nothing to most callers.
constexpr int kHopelessFactor = 2;
// After a restart of all processes, electing a control leader takes up to 0.5 s. Callers with a
// short deadline wait no longer than the upper bound.
constexpr Duration kMinRetryAfterStart = std::chrono::milliseconds(450);
constexpr Duration kMaxRetryAfterStart = std::chrono::milliseconds(800);
// New connections reach other routers; the spread keeps the callers of one router from arriving at
// the others in step.
constexpr Duration kMaxRetryAfterElsewhere = std::chrono::milliseconds(100);

}  // namespace

ForwardAdmission::ForwardAdmission(const ForwardAdmissionOptions& options, Random random)
    : options_(options), random_(std::move(random)) {}

bool ForwardAdmission::IsTooLate(Duration objective, Duration waited, Duration expected) const {
  const auto begins_after = static_cast<double>((waited + expected).count());
  return begins_after > options_.begin_within * static_cast<double>(objective.count());
}

Duration ForwardAdmission::LongestQueue(Duration objective, Duration own_time) const {
  return BeginsWithin(objective) - own_time;
}

Duration ForwardAdmission::OvertakenQueue(Duration queue_time, double more_urgent_share) {
  const double share_left = 1 - std::min(more_urgent_share, kMostMoreUrgent);
  return Duration(static_cast<std::int64_t>(static_cast<double>(queue_time.count()) / share_left));
}

bool ForwardAdmission::TakesLastRoom(Duration objective, Duration queue_time) const {
  return IsTooLate(objective / kLastRoomDivisor, Duration(0), queue_time);
}

bool ForwardAdmission::IsHopeless(Duration objective, Duration waited, Duration expected) {
  return waited + expected > kHopelessFactor * objective;
}

Duration ForwardAdmission::RetryAfterBacklog(Duration objective, Duration expected,
                                             Duration time_left) const {
  const Duration worked_off = std::max(kMinRetryAfter, expected - BeginsWithin(objective));
  const Duration longest = std::max(kMinRetryAfter, time_left / kMaxRetryDivisor);
  // Callers that were refused together are spread over half as long again, also where the third of
  // the time left cuts that short.
  const Duration highest = std::min(longest, worked_off * 3 / 2);
  return DrawBetween(std::clamp(highest * 2 / 3, kMinRetryAfter, worked_off), highest);
}

Duration ForwardAdmission::RetryAfterOverload(Duration time_left) const {
  const Duration highest = std::max(kMinRetryAfter, time_left / kMaxRetryDivisor);
  return DrawBetween(std::max(kMinRetryAfter, time_left / kMinRetryDivisor), highest);
}

Duration ForwardAdmission::RetryAfterStart() const {
  return DrawBetween(kMinRetryAfterStart, kMaxRetryAfterStart);
}

Duration ForwardAdmission::RetryAfterElsewhere() const {
  return DrawBetween(Duration(0), kMaxRetryAfterElsewhere);
}

Duration ForwardAdmission::BeginsWithin(Duration objective) const {
  return Duration(
      static_cast<std::int64_t>(options_.begin_within * static_cast<double>(objective.count())));
}

Duration ForwardAdmission::DrawBetween(Duration lowest, Duration highest) const {
  const auto steps = static_cast<std::uint64_t>((highest - lowest).count()) + 1;
  return lowest + Duration(static_cast<std::int64_t>(random_() % steps));
}

}  // namespace kumquat
