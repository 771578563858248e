// Counts the routers among which an allowance is divided, from what the control replicas tell.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "utils/hooks.h"

namespace kumquat {

// Each replica tells how many routers greeted it lately. One that has just started, was frozen or
// is cut off from a part of the routers tells too few, and with too small a count each router takes
// too large a share. So the count is the largest that was told; it falls only after all replicas,
// none of them lost or silent meanwhile, have told less for a while.
class RouterCount {
 public:
  // A replica told how many routers it knows. `replicas` is how many replicas there are, whether
  // they can be reached or not.
  void OnTold(const std::string& replica, std::int64_t routers, std::size_t replicas, Instant now);

  // The link to a replica broke.
  void OnLost(const std::string& replica);

  // Returns the count; 0 until most replicas have told it, for longer than a replica that has just
  // started needs to hear of all routers.
  std::int64_t routers() const { return is_settled_ ? routers_ : 0; }

 private:
  std::map<std::string, Instant> told_at_;
  std::int64_t routers_ = 0;
  bool is_settled_ = false;
  // Since when most replicas have told something; and since when all of them have told less than
  // the count, and the most that they told since. Begun anew when a replica is lost or silent.
  std::optional<Instant> most_since_;
  Instant less_since_{0};
  std::int64_t largest_since_ = 0;
};

}  // namespace kumquat
