// Records which versions of each model's weights operators have named as the ones to use, and when.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "utils/hooks.h"

namespace kumquat {

class NamedWeights {
 public:
  struct NamedVersion {
    std::int64_t version = 0;
    Instant at{0};
  };

  // Records that the version was named at `named_at` or earlier. The earliest of these moments is
  // kept, because a process that learns of the version late gives too late a moment.
  void Learn(const std::string& model, std::int64_t version, Instant named_at);

  // Returns the highest named version of the model, or 0 when none was named.
  std::int64_t Newest(std::string_view model) const;

  // Returns the time since the version was replaced, that is since the next higher version was
  // named. Returns nothing when no higher version was named.
  std::optional<Duration> TimeSinceReplaced(std::string_view model, std::int64_t version,
                                            Instant now) const;

  // Returns the next higher named version, which replaced this one, or nothing when there is none.
  std::optional<NamedVersion> NextVersion(std::string_view model, std::int64_t version) const;

 private:
  // The moment at which each version was named, by model and version.
  std::map<std::string, std::map<std::int64_t, Instant>, std::less<>> named_;
};

}  // namespace kumquat
