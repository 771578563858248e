// The max-min fair division of one capacity between routers.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

#include "protocol/lists.h"

namespace kumquat {

// Divides a capacity by demand: a router that wants less than the level gets what it wants, all
// others get the level, which is as high as the capacity allows. Where the level is so low that
// single units count, the units left over go to some of the others, who change from round to
// round.
class ShareDivision {
 public:
  struct Demand {
    std::string_view router_id;
    Capacity wanted;
  };

  ShareDivision() = default;
  ShareDivision(const Capacity& capacity, const std::vector<Demand>& demands, std::uint64_t round);

  // Returns the router's part.
  Capacity PartOf(const Demand& demand) const;

 private:
  // The division of one part of the capacity.
  struct Level {
    std::int64_t level = 0;
    // Routers whose rank is below this get one unit more.
    std::uint64_t extra_below = 0;
  };

  Level Divide(std::int64_t capacity, std::int64_t Capacity::*part,
               const std::vector<Demand>& demands) const;
  std::uint64_t RankOf(std::string_view router_id) const;

  std::uint64_t round_ = 0;
  std::array<Level, 3> levels_;
};

}  // namespace kumquat
