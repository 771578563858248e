// The max-min fair division of one capacity among routers.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

#include "protocol/lists.h"

namespace kumquat {

// Divides a capacity by demand: a router that wants less than the fair level gets what it wants,
// all others get the level, which is as high as the capacity allows. Where the level is so low that
// single units matter, the remainder of the integer division goes, one unit each, to some of the
// others. They are chosen anew whenever `rotation` changes.
class ShareDivision {
 public:
  struct Demand {
    std::string_view router_id;
    Capacity wanted;
  };

  ShareDivision() = default;
  ShareDivision(const Capacity& capacity, const std::vector<Demand>& demands,
                std::uint64_t rotation);

  // Returns the amount that the division gives to the router.
  Capacity ShareOf(const Demand& demand) const;

 private:
  // The division of one field of the capacity.
  struct Level {
    std::int64_t level = 0;
    // Routers that want more than the level and whose rank is below this get one unit more.
    std::uint64_t extra_rank_limit = 0;
  };

  Level Divide(std::int64_t capacity, std::int64_t Capacity::*field,
               const std::vector<Demand>& demands) const;
  std::uint64_t RankOf(std::string_view router_id) const;

  std::uint64_t rotation_ = 0;
  std::array<Level, 3> levels_;
};

}  // namespace kumquat
