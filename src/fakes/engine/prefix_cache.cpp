#include "engine/prefix_cache.h"

#include <algorithm>
#include <utility>

namespace kumquat {

std::size_t PrefixCache::Lookup(std::span<const std::string> prefix) {
  std::size_t held = 0;
  while (held < prefix.size() && places_.contains(prefix[held])) ++held;
  // The deepest first, so that a piece never outlives the ones before it.
  for (std::size_t i = held; i-- > 0;) Touch(prefix[i]);
  return held;
}

void PrefixCache::Store(std::span<const std::string> prefix) {
  const auto kept = prefix.first(std::min(prefix.size(), max_pieces_));
  for (std::size_t i = kept.size(); i-- > 0;) Touch(kept[i]);
  while (places_.size() > max_pieces_) {
    changes_.push_back({false, by_use_.back()});
    places_.erase(by_use_.back());
    by_use_.pop_back();
  }
}

std::vector<CacheChange> PrefixCache::TakeChanges() { return std::exchange(changes_, {}); }

void PrefixCache::Touch(const std::string& block) {
  const auto found = places_.find(block);
  if (found != places_.end()) {
    by_use_.splice(by_use_.begin(), by_use_, found->second);
    return;
  }
  by_use_.push_front(block);
  places_[block] = by_use_.begin();
  changes_.push_back({true, block});
}

}  // namespace kumquat
