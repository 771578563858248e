// Which versions of weights operators have named, and when.
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
  struct Named {
    std::int64_t version = 0;
    Instant at{0};
  };

  // This version was named then, or before. The earliest such moment counts, as one who learns late
  // knows less.
  void Learn(const std::string& model, std::int64_t version, Instant named_at);

  // Returns the newest version of the model; 0 when none was named.
  std::int64_t Newest(std::string_view model) const;

  // Returns for how long weights of this version have been replaced; nothing when no higher version
  // was named.
  std::optional<Duration> ReplacedFor(std::string_view model, std::int64_t version,
                                      Instant now) const;

  // Returns the version that replaced this one first; nothing when none did.
  std::optional<Named> ReplacementOf(std::string_view model, std::int64_t version) const;

 private:
  // When each version was named, by model.
  std::map<std::string, std::map<std::int64_t, Instant>, std::less<>> named_;
};

}  // namespace kumquat
