#include "coordination/orders/wanted_placement.h"

#include <algorithm>
#include <set>

#include "property.h"

namespace kumquat {
namespace {

ModelVersion Model(int number) { return {"model-" + std::to_string(number), "", "v1"}; }

std::vector<ModelVersion> GenModels(int max_count) {
  std::set<ModelVersion> models;
  const int count = *rc::gen::inRange(0, max_count + 1);
  for (int i = 0; i < count; ++i) models.insert(Model(*rc::gen::inRange(0, 6)));
  return {models.begin(), models.end()};
}

std::vector<Announcement> GenEngines() {
  std::vector<Announcement> engines;
  const int count = *rc::gen::inRange(1, 8);
  for (int i = 0; i < count; ++i) {
    Announcement engine;
    engine.backend_id = "engine-" + std::to_string(i);
    engine.failure_domain = "domain-" + std::to_string(*rc::gen::inRange(0, 3));
    engine.model_slots = *rc::gen::inRange(1, 4);
    engine.models = GenModels(static_cast<int>(engine.model_slots));
    engines.push_back(engine);
  }
  return engines;
}

std::size_t Copies(const WantedPlacement& wanted, const ModelVersion& model) {
  return static_cast<std::size_t>(
      std::count_if(wanted.begin(), wanted.end(), [&](const auto& entry) {
        return std::binary_search(entry.second.begin(), entry.second.end(), model);
      }));
}

TEST_CASE(
    "The wanted placement fits the engines, covers the models of the allowance if possible, and is "
    "stable") {
  CheckProperty("wanted placement", [] {
    auto engines = GenEngines();
    Allowance allowance;
    allowance.models = GenModels(4);
    ModelDemand demand;
    for (const ModelVersion& model : allowance.models) demand[model] = *rc::gen::inRange(0, 50);
    const WantedPlacement wanted = DeriveWantedPlacement(engines, {allowance}, demand);

    std::size_t slots = 0;
    std::size_t engines_that_fit_all = 0;
    for (const Announcement& engine : engines) {
      const auto& models = wanted.at(engine.backend_id);
      RC_ASSERT(models.size() <= ModelSlots(engine));
      RC_ASSERT(std::set<ModelVersion>(models.begin(), models.end()).size() == models.size());
      for (const ModelVersion& model : models) {
        const auto& allowed = allowance.models;
        RC_ASSERT(std::find(allowed.begin(), allowed.end(), model) != allowed.end());
      }
      slots += ModelSlots(engine);
      engines_that_fit_all += ModelSlots(engine) >= allowance.models.size() ? 1 : 0;
    }
    // Each model has a copy if there are enough slots for all, so second copies do not displace
    // other models. Each has two copies if at least two engines can hold all models.
    for (const ModelVersion& model : allowance.models) {
      if (slots >= allowance.models.size()) RC_ASSERT(Copies(wanted, model) >= 1U);
      if (engines_that_fit_all >= 2) RC_ASSERT(Copies(wanted, model) >= 2U);
    }
    // Once the engines hold the wanted placement, it does not change any more.
    for (Announcement& engine : engines) {
      if (!wanted.at(engine.backend_id).empty()) engine.models = wanted.at(engine.backend_id);
    }
    RC_ASSERT(DeriveWantedPlacement(engines, {allowance}, demand) == wanted);
  });
}

}  // namespace
}  // namespace kumquat
