#include "coordination/forwarding/forward_admission.h"

#include <algorithm>
#include <utility>

namespace kumquat {
namespace {

constexpr Duration kSoonest = std::chrono::milliseconds(300);
// Callers wait no longer than a third of the time that they have left, whatever they are told.
constexpr int kLongestPartOfTimeLeft = 3;
constexpr int kShortestPartOfTimeLeft = 6;
// An election after a restart of all takes up to 0.5 s; callers with a short deadline wait no
// longer than the upper bound.
constexpr Duration kShortestStart = std::chrono::milliseconds(450);
constexpr Duration kLongestStart = std::chrono::milliseconds(800);

}  // namespace

ForwardAdmission::ForwardAdmission(const ForwardAdmissionOptions& options, Random random)
    : options_(options), random_(std::move(random)) {}

bool ForwardAdmission::IsTooLate(Duration objective, Duration waited, Duration expected) const {
  const auto begins = static_cast<double>((waited + expected).count());
  return begins > options_.begin_within * static_cast<double>(objective.count());
}

Duration ForwardAdmission::ComeBackAfterOverload(Duration time_left) const {
  const Duration highest = std::max(kSoonest, time_left / kLongestPartOfTimeLeft);
  return Between(std::max(kSoonest, time_left / kShortestPartOfTimeLeft), highest);
}

Duration ForwardAdmission::ComeBackAfterStart() const {
  return Between(kShortestStart, kLongestStart);
}

Duration ForwardAdmission::Between(Duration lowest, Duration highest) const {
  const auto steps = static_cast<std::uint64_t>((highest - lowest).count()) + 1;
  return lowest + Duration(static_cast<std::int64_t>(random_() % steps));
}

}  // namespace kumquat
