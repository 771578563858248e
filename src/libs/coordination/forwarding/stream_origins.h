// The streams that a process knows the origin of, for as long as they may be taken up.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "protocol/stream_record.h"
#include "utils/hooks.h"

namespace kumquat {

// Returns the key of a stream: a strong hash, as callers choose the ids of their requests.
std::string StreamKey(std::string_view organisation, std::string_view first_request_id);

class StreamOrigins {
 public:
  // Above `max_records` the ones that end first are dropped.
  explicit StreamOrigins(std::size_t max_records = kDefaultMaxRecords)
      : max_records_(max_records) {}

  // Adds a record, or extends the lifetime of the one that is there. A key that comes with two
  // origins has none until it ends: one id was used for two streams.
  void Add(const StreamRecord& record, Instant now);

  // Returns the origin of the stream; nullopt if none is known.
  std::optional<StreamOrigin> Find(std::string_view key, Instant now) const;

  // Returns the records that have an origin.
  std::vector<StreamRecord> Records(Instant now) const;

  // Drops what has ended.
  void Expire(Instant now);

  std::size_t size() const { return records_.size(); }

 private:
  static constexpr std::size_t kDefaultMaxRecords = 100'000;

  struct Entry {
    StreamOrigin origin;
    Instant ends{0};
    bool is_ambiguous = false;
  };

  std::size_t max_records_;
  std::unordered_map<std::string, Entry> records_;
  // The keys by when their records are looked at, which may have been extended by then.
  std::multimap<Instant, std::string> ends_;
};

}  // namespace kumquat
