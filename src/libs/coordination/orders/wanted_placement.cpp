#include "coordination/orders/wanted_placement.h"

#include <algorithm>
#include <optional>
#include <set>
#include <tuple>

namespace kumquat {
namespace {

// The placement while it is derived.
class Planner {
 public:
  Planner(std::span<const Announcement> engines, std::set<ModelVersion> needed,
          const ModelDemand& demand, std::size_t least_copies)
      : needed_(std::move(needed)), demand_(demand) {
    for (const Announcement& engine : engines) {
      if (engine.kind != BackendKind::kEngine || engine.state != BackendState::kServing) continue;
      engines_[engine.backend_id] = &engine;
    }
    least_copies_ = std::min(least_copies, engines_.size());
    for (const auto& [id, engine] : engines_) KeepWhatServes(*engine);
  }

  WantedPlacement Derive() {
    // Each turn that changes something evens out the copies, so this ends.
    bool has_changed = true;
    while (has_changed) {
      has_changed = SpreadCopies();
      for (const auto& [id, engine] : engines_) has_changed = FillSlots(*engine) || has_changed;
    }
    for (auto& [id, models] : wanted_) std::sort(models.begin(), models.end());
    return wanted_;
  }

 private:
  // One copy of each model goes before the second copy of any.
  bool SpreadCopies() {
    bool has_changed = false;
    for (std::size_t target = 1; target <= least_copies_; ++target) {
      for (const ModelVersion& model : ByDemand()) {
        if (copies(model) < target) has_changed = AddCopy(model, target) || has_changed;
      }
    }
    return has_changed;
  }

  // Free slots take the models with the most demand for each copy.
  bool FillSlots(const Announcement& engine) {
    bool has_changed = false;
    while (HasFreeSlot(engine) && FillSlot(engine)) has_changed = true;
    return has_changed;
  }

  void KeepWhatServes(const Announcement& engine) {
    auto& models = wanted_[engine.backend_id];
    for (const ModelVersion& model : engine.models) {
      if (needed_.count(model) > 0 && models.size() < ModelSlots(engine)) models.push_back(model);
    }
  }

  std::size_t copies(const ModelVersion& model) const {
    std::size_t count = 0;
    for (const auto& [id, models] : wanted_) count += Holds(id, model) ? 1 : 0;
    return count;
  }

  bool Holds(const std::string& id, const ModelVersion& model) const {
    const auto& models = wanted_.at(id);
    return std::find(models.begin(), models.end(), model) != models.end();
  }

  std::int64_t demand(const ModelVersion& model) const {
    const auto entry = demand_.find(model);
    return entry == demand_.end() ? 0 : entry->second;
  }

  std::vector<ModelVersion> ByDemand() const {
    std::vector<ModelVersion> models(needed_.begin(), needed_.end());
    std::stable_sort(models.begin(), models.end(),
                     [this](const ModelVersion& left, const ModelVersion& right) {
                       return demand(left) > demand(right);
                     });
    return models;
  }

  bool HasFreeSlot(const Announcement& engine) const {
    return wanted_.at(engine.backend_id).size() < ModelSlots(engine);
  }

  // How many copies of the model the engine's failure domain has.
  std::size_t CopiesInDomain(const ModelVersion& model, const std::string& domain) const {
    std::size_t count = 0;
    for (const auto& [id, engine] : engines_) {
      count += engine->failure_domain == domain && Holds(id, model) ? 1 : 0;
    }
    return count;
  }

  // Returns the model that the engine can best do without: one with more than `least` copies.
  std::optional<ModelVersion> Spare(const std::string& id, std::size_t least) const {
    std::optional<ModelVersion> spare;
    for (const ModelVersion& model : wanted_.at(id)) {
      if (copies(model) <= least) continue;
      if (!spare || demand(model) < demand(*spare)) spare = model;
    }
    return spare;
  }

  bool AddCopy(const ModelVersion& model, std::size_t least) {
    const Announcement* best = nullptr;
    std::tuple<std::size_t, bool, std::size_t> best_rank;
    for (const auto& [id, engine] : engines_) {
      if (Holds(id, model)) continue;
      const bool is_full = !HasFreeSlot(*engine);
      if (is_full && !Spare(id, least)) continue;
      const std::tuple rank(CopiesInDomain(model, engine->failure_domain), is_full,
                            wanted_.at(id).size());
      if (best && rank >= best_rank) continue;
      best = engine;
      best_rank = rank;
    }
    if (!best) return false;
    auto& models = wanted_[best->backend_id];
    if (!HasFreeSlot(*best)) std::erase(models, *Spare(best->backend_id, least));
    models.push_back(model);
    return true;
  }

  bool FillSlot(const Announcement& engine) {
    std::optional<ModelVersion> best;
    const auto demand_a_copy = [this](const ModelVersion& model) {
      return static_cast<double>(demand(model) + 1) / static_cast<double>(copies(model) + 1);
    };
    for (const ModelVersion& model : needed_) {
      if (Holds(engine.backend_id, model)) continue;
      if (!best || demand_a_copy(model) > demand_a_copy(*best)) best = model;
    }
    if (!best) return false;
    wanted_[engine.backend_id].push_back(*best);
    return true;
  }

  std::set<ModelVersion> needed_;
  const ModelDemand& demand_;
  std::size_t least_copies_ = 0;
  std::map<std::string, const Announcement*> engines_;
  WantedPlacement wanted_;
};

}  // namespace

std::size_t ModelSlots(const Announcement& engine) {
  return std::max<std::size_t>(static_cast<std::size_t>(engine.model_slots),
                               std::max<std::size_t>(1, engine.models.size()));
}

WantedPlacement DeriveWantedPlacement(std::span<const Announcement> engines,
                                      const AllowanceList& allowances, const ModelDemand& demand,
                                      const PlacementRules& rules) {
  std::set<ModelVersion> needed;
  for (const Allowance& allowance : allowances) {
    needed.insert(allowance.models.begin(), allowance.models.end());
  }
  return Planner(engines, std::move(needed), demand, rules.least_copies).Derive();
}

}  // namespace kumquat
