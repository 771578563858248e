// A bound on what is sent a second, with a short burst.
#pragma once

#include <cstdint>

#include "utils/hooks.h"

namespace kumquat {

class SendAllowance {
 public:
  // Allows this many units a second; what isn't used for longer than `burst` is lost.
  SendAllowance(std::int64_t per_second, Duration burst);

  // Adds what has become free since the last call.
  void Refill(Instant now);

  // Returns whether anything may be sent. What is sent may go beyond what is left once; that is
  // made up for later, so that a message larger than the burst can be sent too.
  bool has_any() const { return left_ > 0; }

  void Use(std::int64_t units) { left_ -= static_cast<double>(units); }

 private:
  double per_microsecond_;
  double most_;
  double left_;
  Instant refilled_at_{0};
};

}  // namespace kumquat
