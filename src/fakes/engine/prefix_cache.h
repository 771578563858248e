// The prefix cache of a fake engine: pieces in limited memory, the least recently used go first.
#pragma once

#include <cstdint>
#include <list>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace kumquat {

// A piece that came into the cache or left it.
struct CacheChange {
  bool stored = true;
  std::string block;
};

class PrefixCache {
 public:
  explicit PrefixCache(std::size_t max_pieces) : max_pieces_(max_pieces) {}

  // Returns how many pieces from the first on are held, and marks them as used.
  std::size_t Lookup(std::span<const std::string> prefix);

  // Holds the pieces; those used longest ago make room.
  void Store(std::span<const std::string> prefix);

  // Returns the changes since the last call, in order.
  std::vector<CacheChange> TakeChanges();

  std::vector<std::string> Blocks() const { return {by_use_.begin(), by_use_.end()}; }
  std::size_t size() const { return places_.size(); }

 private:
  void Touch(const std::string& block);

  std::size_t max_pieces_;
  // The last used piece first.
  std::list<std::string> by_use_;
  std::unordered_map<std::string, std::list<std::string>::iterator> places_;
  std::vector<CacheChange> changes_;
};

}  // namespace kumquat
