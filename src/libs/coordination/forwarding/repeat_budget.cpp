#include "coordination/forwarding/repeat_budget.h"

#include <algorithm>

namespace kumquat {
namespace {

// The share of the slack that is divided among the routers. The rest covers routers that don't know
// yet that another router has joined.
constexpr double kDividedSlackShare = 0.8;
// Repeats that sends which may wait leave to others.
constexpr double kKeptForUrgent = 1;

}  // namespace

void RepeatBudget::SetRouters(std::int64_t routers) {
  routers_ = std::max<std::int64_t>(0, routers);
}

double RepeatBudget::BucketCapacity() const {
  if (routers_ == 0) return 1;
  return std::max(1.0, allowance_.slack * kDividedSlackShare / static_cast<double>(routers_));
}

void RepeatBudget::OnRequest(const std::string& service) {
  double& tokens = available_[service];
  tokens = std::min(tokens + allowance_.ratio, BucketCapacity());
}

bool RepeatBudget::TryRepeat(const std::string& service) {
  double& tokens = available_[service];
  tokens = std::min(tokens, BucketCapacity());
  if (tokens < 1) return false;
  tokens -= 1;
  return true;
}

bool RepeatBudget::TryOptionalRepeats(const std::string& service, int count) {
  const double capacity = BucketCapacity();
  if (count > capacity || available(service) < std::min(capacity, count + kKeptForUrgent)) {
    return false;
  }
  available_[service] -= count;
  return true;
}

void RepeatBudget::ReturnRepeat(const std::string& service) {
  double& tokens = available_[service];
  tokens = std::min(tokens + 1, BucketCapacity());
}

double RepeatBudget::available(const std::string& service) const {
  const auto found = available_.find(service);
  return found != available_.end() ? found->second : 0;
}

}  // namespace kumquat
