#include "state/index/shard_map.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "property.h"

namespace kumquat {
namespace {

constexpr std::uint64_t kRoots = 4000;

std::vector<std::string> Routers(int count) {
  std::vector<std::string> routers;
  routers.reserve(static_cast<std::size_t>(count));
  for (int at = 0; at < count; ++at) routers.push_back("router-" + std::to_string(at));
  return routers;
}

TEST_CASE("A router that leaves changes no owner but its own, and shares are even") {
  CheckProperty("rendezvous", [] {
    const int count = *rc::gen::inRange(2, 12);
    const auto routers = Routers(count);
    ShardMap before;
    before.SetRouters(routers);
    const std::string gone = *rc::gen::elementOf(routers);
    auto rest = routers;
    std::erase(rest, gone);
    std::reverse(rest.begin(), rest.end());
    ShardMap after;
    after.SetRouters(rest);
    std::map<std::string_view, std::uint64_t> shares;
    for (std::uint64_t root = 0; root < kRoots; ++root) {
      const BlockId block{.high = root, .low = root * root};
      const auto owner = before.OwnerOf(block);
      ++shares[owner];
      RC_ASSERT(owner == gone || after.OwnerOf(block) == owner);
      RC_ASSERT(after.OwnerOf(block) != gone);
    }
    for (const auto& [router, share] : shares) RC_ASSERT(share * count < 2 * kRoots);
  });
  CHECK(ShardMap().OwnerOf({}).empty());
}

}  // namespace
}  // namespace kumquat
