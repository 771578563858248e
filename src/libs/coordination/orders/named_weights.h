// Which versions of weights operators have named, and since when this process knows.
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
  void Learn(const std::string& model, std::int64_t version, Instant now);

  // Returns the newest version of the model; 0 when none was named.
  std::int64_t Newest(std::string_view model) const;

  // Returns for how long weights of this version have been replaced; nothing when no higher version
  // was named.
  std::optional<Duration> ReplacedFor(std::string_view model, std::int64_t version,
                                      Instant now) const;

 private:
  // When each version became known, by model.
  std::map<std::string, std::map<std::int64_t, Instant>, std::less<>> named_;
};

}  // namespace kumquat
