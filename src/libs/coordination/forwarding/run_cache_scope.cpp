#include "coordination/forwarding/run_cache_scope.h"

#include <fmt/format.h>

#include <string_view>
#include <utility>

namespace kumquat {
namespace {

// Neither a shared scope nor that of an isolated organisation begins with it.
constexpr std::string_view kAlonePrefix = "~";

}  // namespace

void RunCacheScope::Begin(std::string scope_in_force) { name_ = std::move(scope_in_force); }

void RunCacheScope::BeginAlone() {
  // A caller chooses the id of its request, so the id can't keep two runs apart.
  name_ = fmt::format("{}{:016x}{:016x}", kAlonePrefix, random_(), random_());
}

void RunCacheScope::GoOn(const std::string& scope_in_force) {
  const bool is_alone = name_.starts_with(kAlonePrefix);
  if (!is_alone && name_ != scope_in_force) BeginAlone();
}

}  // namespace kumquat
