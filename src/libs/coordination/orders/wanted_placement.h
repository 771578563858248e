// Derives which models each engine should hold from the allowances, the live engines and the
// demand.
#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "protocol/announcement.h"
#include "protocol/lists.h"

namespace kumquat {

// Number of running and waiting requests, by model version.
using ModelDemand = std::map<ModelVersion, std::int64_t>;

// The models that each engine should hold, by engine id. Each list is sorted.
using WantedPlacement = std::map<std::string, std::vector<ModelVersion>>;

struct PlacementRules {
  // Minimum number of copies of each model that an allowance lists, in different failure domains
  // where possible.
  std::size_t min_copies = 2;
};

// Returns how many models the engine can hold at the same time: the slots that it announces, but at
// least 1 and at least the number of models that it holds now.
std::size_t ModelSlots(const Announcement& engine);

// Derives the wanted placement. Loaded models that an allowance lists stay where they are if
// possible, so that a small change of the input moves few models; models that no allowance lists
// are unloaded first. The result is deterministic, so that a new leader derives the same placement
// as the previous one.
WantedPlacement DeriveWantedPlacement(std::span<const Announcement> engines,
                                      const AllowanceList& allowances, const ModelDemand& demand,
                                      const PlacementRules& rules = {});

}  // namespace kumquat
