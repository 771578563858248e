#include "coordination/hints/send_allowance.h"

#include <algorithm>

namespace kumquat {

SendAllowance::SendAllowance(std::int64_t per_second, Duration burst)
    : per_microsecond_(static_cast<double>(per_second) /
                       static_cast<double>(Duration(std::chrono::seconds(1)).count())),
      most_(per_microsecond_ * static_cast<double>(burst.count())),
      left_(most_) {}

void SendAllowance::Refill(Instant now) {
  const auto passed = static_cast<double>(std::max(now - refilled_at_, Duration(0)).count());
  left_ = std::min(most_, left_ + passed * per_microsecond_);
  refilled_at_ = now;
}

}  // namespace kumquat
