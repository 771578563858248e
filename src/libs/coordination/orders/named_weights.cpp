#include "coordination/orders/named_weights.h"

#include <algorithm>

namespace kumquat {
namespace {

// Older versions are dropped. Only the next version above the one that an engine has matters, and
// no engine lags behind by 64 versions.
constexpr std::size_t kMaxVersions = 64;

}  // namespace

void NamedWeights::Learn(const std::string& model, std::int64_t version, Instant named_at) {
  auto& versions = named_[model];
  const auto entry = versions.try_emplace(version, named_at).first;
  entry->second = std::min(entry->second, named_at);
  if (versions.size() > kMaxVersions) versions.erase(versions.begin());
}

std::int64_t NamedWeights::Newest(std::string_view model) const {
  const auto versions = named_.find(model);
  return versions != named_.end() ? versions->second.rbegin()->first : 0;
}

std::optional<NamedWeights::NamedVersion> NamedWeights::NextVersion(std::string_view model,
                                                                    std::int64_t version) const {
  const auto versions = named_.find(model);
  if (versions == named_.end()) return std::nullopt;
  const auto next = versions->second.upper_bound(version);
  if (next == versions->second.end()) return std::nullopt;
  return NamedVersion{next->first, next->second};
}

std::optional<Duration> NamedWeights::TimeSinceReplaced(std::string_view model,
                                                        std::int64_t version, Instant now) const {
  const auto replacement = NextVersion(model, version);
  return replacement ? std::optional(now - replacement->at) : std::nullopt;
}

}  // namespace kumquat
