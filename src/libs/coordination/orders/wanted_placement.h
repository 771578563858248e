// Which models each engine should hold: derived from the allowances, the live engines and demand.
#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "protocol/announcement.h"
#include "protocol/lists.h"

namespace kumquat {

// Requests that run or wait, by model version.
using ModelDemand = std::map<ModelVersion, std::int64_t>;

// The models that each engine should hold, by the engine's id, each list sorted.
using WantedPlacement = std::map<std::string, std::vector<ModelVersion>>;

struct PlacementRules {
  // Copies of each model that some plan reaches, in different failure domains where there are.
  std::size_t least_copies = 2;
};

// Returns how many models the engine can hold at once.
std::size_t ModelSlots(const Announcement& engine);

// Derives the wanted placement. It keeps what is loaded where that serves, so that a small change
// of the input moves few models; models that no plan reaches make room first. The same input gives
// the same result, so a new leader wants what the old one wanted.
WantedPlacement DeriveWantedPlacement(std::span<const Announcement> engines,
                                      const AllowanceList& allowances, const ModelDemand& demand,
                                      const PlacementRules& rules = {});

}  // namespace kumquat
