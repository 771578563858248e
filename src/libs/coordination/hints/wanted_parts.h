// Which parts of prompts routers place requests by. Most parts that engines report belong to one
// request only and are of no use to anyone; routers are told of the wanted ones.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "protocol/control_news.h"
#include "utils/hooks.h"

namespace kumquat {

class WantedParts {
 public:
  // Notes that a router wants these parts, by their keys. Returns those that weren't wanted before.
  std::vector<std::uint64_t> Note(std::span<const std::uint64_t> keys, Instant now);

  // Leaves only the changes of wanted parts; nullopt if the news then says nothing. The rest joins
  // on to what was passed of the source before, so that its receiver sees no gap.
  std::optional<CacheNews> Pass(CacheNews news);

  std::size_t size() const { return wanted_at_.size(); }

 private:
  // The last event of a source that was passed on, or had nothing that was wanted.
  struct Passed {
    std::int64_t epoch = 0;
    std::int64_t next = 0;
  };

  // When a router last wanted the part.
  std::unordered_map<std::uint64_t, Instant> wanted_at_;
  std::map<std::string, Passed> passed_;
};

// A router's side: which keys the replicas have to be told, as they were used.
class PartInterest {
 public:
  // A request is placed by these parts.
  void Use(std::uint64_t key, Instant now);

  // Returns the keys to tell the replicas now, each one once in a while as long as it is used.
  std::vector<std::uint64_t> Take();

 private:
  std::unordered_map<std::uint64_t, Instant> told_at_;
  std::vector<std::uint64_t> untold_;
};

}  // namespace kumquat
