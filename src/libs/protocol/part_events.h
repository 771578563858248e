// What engines and stores of kept cache say of the prompt parts that they hold.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace kumquat {

// One part came, or was dropped in part or whole.
struct PartEvent {
  std::string salt;
  std::string part;
  // Tokens of the part that are held now; 0 when it is gone.
  std::int64_t tokens = 0;
};

// The answer to a read of events.
struct PartEvents {
  // Another one after each start of the source.
  std::int64_t epoch = 0;
  // The number to read from next.
  std::int64_t next = 0;
  // Events before the first one here are lost.
  bool has_gap = false;
  std::vector<PartEvent> events;
};

// Returns the key under which a part is known between our processes: a hash of its salt and name.
// Two parts that share one by chance make a request slower, and nothing worse.
std::uint64_t PartKey(std::string_view salt, std::string_view part);

// One part in its short form.
struct PartChange {
  std::uint64_t key = 0;
  std::int64_t tokens = 0;

  bool operator==(const PartChange&) const = default;
};

}  // namespace kumquat
