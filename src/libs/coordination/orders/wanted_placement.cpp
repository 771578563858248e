#include "coordination/orders/wanted_placement.h"

#include <algorithm>
#include <optional>
#include <set>
#include <tuple>

namespace kumquat {
namespace {

// Builds the placement step by step.
class Planner {
 public:
  Planner(std::span<const Announcement> engines, std::set<ModelVersion> needed,
          const ModelDemand& demand, std::size_t min_copies)
      : needed_(std::move(needed)), demand_(demand) {
    for (const Announcement& engine : engines) {
      if (engine.kind != BackendKind::kEngine || engine.state != BackendState::kServing) continue;
      engines_[engine.backend_id] = &engine;
    }
    min_copies_ = std::min(min_copies, engines_.size());
    for (const auto& [id, engine] : engines_) KeepNeededModels(*engine);
  }

  WantedPlacement Derive() {
    // This terminates: filling uses up free slots, and no step frees one. A replacement takes a
    // copy from a model with more than `target` copies and gives one to a model with fewer, so the
    // numbers of copies get closer to each other.
    bool has_changed = true;
    while (has_changed) {
      has_changed = SpreadCopies();
      for (const auto& [id, engine] : engines_) has_changed = FillSlots(*engine) || has_changed;
    }
    for (auto& [id, models] : wanted_) std::sort(models.begin(), models.end());
    return wanted_;
  }

 private:
  // Places one copy of each model before the second copy of any model.
  bool SpreadCopies() {
    bool has_changed = false;
    for (std::size_t target = 1; target <= min_copies_; ++target) {
      for (const ModelVersion& model : ModelsByDemand()) {
        if (copies(model) < target) has_changed = AddCopy(model, target) || has_changed;
      }
    }
    return has_changed;
  }

  // Fills the free slots with the models that have the highest demand per copy.
  bool FillSlots(const Announcement& engine) {
    bool has_changed = false;
    while (HasFreeSlot(engine) && FillSlot(engine)) has_changed = true;
    return has_changed;
  }

  void KeepNeededModels(const Announcement& engine) {
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

  std::vector<ModelVersion> ModelsByDemand() const {
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

  // Returns the number of copies of the model in the failure domain.
  std::size_t CopiesInDomain(const ModelVersion& model, const std::string& domain) const {
    std::size_t count = 0;
    for (const auto& [id, engine] : engines_) {
      count += engine->failure_domain == domain && Holds(id, model) ? 1 : 0;
    }
    return count;
  }

  // Returns the model with the least demand among those of the engine that have more than
  // `copies_to_keep` copies, or nothing when there is none.
  std::optional<ModelVersion> FindEvictable(const std::string& id,
                                            std::size_t copies_to_keep) const {
    std::optional<ModelVersion> evictable;
    for (const ModelVersion& model : wanted_.at(id)) {
      if (copies(model) <= copies_to_keep) continue;
      if (!evictable || demand(model) < demand(*evictable)) evictable = model;
    }
    return evictable;
  }

  bool AddCopy(const ModelVersion& model, std::size_t copies_to_keep) {
    const Announcement* best = nullptr;
    std::tuple<std::size_t, bool, std::size_t> best_rank;
    for (const auto& [id, engine] : engines_) {
      if (Holds(id, model)) continue;
      const bool is_full = !HasFreeSlot(*engine);
      if (is_full && !FindEvictable(id, copies_to_keep)) continue;
      const std::tuple rank(CopiesInDomain(model, engine->failure_domain), is_full,
                            wanted_.at(id).size());
      if (best && rank >= best_rank) continue;
      best = engine;
      best_rank = rank;
    }
    if (!best) return false;
    auto& models = wanted_[best->backend_id];
    if (!HasFreeSlot(*best)) std::erase(models, *FindEvictable(best->backend_id, copies_to_keep));
    models.push_back(model);
    return true;
  }

  bool FillSlot(const Announcement& engine) {
    std::optional<ModelVersion> best;
    const auto demand_per_copy = [this](const ModelVersion& model) {
      return static_cast<double>(demand(model) + 1) / static_cast<double>(copies(model) + 1);
    };
    for (const ModelVersion& model : needed_) {
      if (Holds(engine.backend_id, model)) continue;
      if (!best || demand_per_copy(model) > demand_per_copy(*best)) best = model;
    }
    if (!best) return false;
    wanted_[engine.backend_id].push_back(*best);
    return true;
  }

  std::set<ModelVersion> needed_;
  const ModelDemand& demand_;
  std::size_t min_copies_ = 0;
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
  return Planner(engines, std::move(needed), demand, rules.min_copies).Derive();
}

}  // namespace kumquat
