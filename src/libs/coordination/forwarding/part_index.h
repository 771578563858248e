// Which prompt parts each engine and store is believed to hold.
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

// A part of a prompt by its key, with the tokens that it has when whole.
struct KeyedPart {
  std::uint64_t key = 0;
  std::int64_t tokens = 0;
};

class PartIndex {
 public:
  // Takes in what a control replica read from a source. False when something in between is missing:
  // the whole contents are to be asked for then.
  bool Apply(const CacheNews& news);

  // A request for these parts went to the source, which will hold them soon if it does not yet.
  void Expect(const std::string& source, std::span<const KeyedPart> parts, Instant now);

  // Returns whether anything was ever read from this incarnation of the source.
  bool IsKnown(std::string_view source) const;

  // Returns the tokens of the leading parts that the source holds or is expected to hold.
  std::int64_t LeadingTokens(std::string_view source, std::span<const KeyedPart> parts,
                             Instant now) const;

  // The source is gone.
  void Forget(std::string_view source);

  std::size_t size() const;

 private:
  struct Source {
    std::int64_t epoch = 0;
    std::int64_t next = 0;
    std::unordered_map<std::uint64_t, std::int64_t> held;
    // Until when a part that was sent for counts as held.
    std::unordered_map<std::uint64_t, Instant> expected;
  };

  std::map<std::string, Source, std::less<>> sources_;
};

}  // namespace kumquat
