// Tracks which prompt parts each engine and cache store is believed to hold.
#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

#include "protocol/control_news.h"
#include "protocol/part_events.h"
#include "utils/hooks.h"

namespace kumquat {

// A part of a prompt: its cache key and its full length in tokens.
struct KeyedPart {
  std::uint64_t key = 0;
  std::int64_t tokens = 0;
};

class PartIndex {
 public:
  // Applies events that a control replica read from a source (an engine or a store). Returns false
  // and changes no contents when events before them are missing; the caller must then request a
  // snapshot.
  bool Apply(const CacheNews& news);

  // A request with these parts was sent to the source, which will hold them soon if it doesn't yet.
  void Expect(const std::string& source, std::span<const KeyedPart> parts, Instant now);

  // Returns whether events of the source have been applied, and Forget wasn't called after them.
  bool IsKnown(std::string_view source) const;

  // Returns how many tokens of the leading parts the source holds or is expected to hold. Counting
  // ends at the first part that isn't held in full.
  std::int64_t LeadingTokens(std::string_view source, std::span<const KeyedPart> parts,
                             Instant now) const;

  // Drops all that is known of the source, as it is gone.
  void Forget(std::string_view source);

  // Returns the number of parts held, summed over all sources.
  std::size_t size() const;

 private:
  struct Source {
    // The epoch of the applied events, which differs after each start of the source; 0 before any
    // were applied.
    std::int64_t epoch = 0;
    // The number of the next event to apply.
    std::int64_t next = 0;
    // Tokens held of each part, by its key.
    std::unordered_map<std::uint64_t, std::int64_t> held;
    // Until when a part of a request that was sent counts as held, by its key.
    std::unordered_map<std::uint64_t, Instant> expected;
  };

  std::map<std::string, Source, std::less<>> sources_;
};

}  // namespace kumquat
