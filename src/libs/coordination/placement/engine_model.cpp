#include "coordination/placement/engine_model.h"

#include <algorithm>
#include <cmath>

namespace kumquat {
namespace {

// In less time, the network hides an engine's speed.
constexpr Duration kMinElapsed = std::chrono::milliseconds(2);
// The part of answers that come sooner than an engine's factors say, as in LineFit.
constexpr double kQuantile = 0.4;
constexpr double kLastingStep = 0.06;
constexpr double kPassingStep = 0.25;
// Factors of engines and disturbances beyond these are taken for something else than their speed.
constexpr double kMaxLasting = 1.0;
constexpr double kMaxPassing = 1.2;
// Without any answer the estimate returns to the prior, as one that is far too slow would refuse
// all requests and so never be corrected.
constexpr Duration kUnansweredFor = std::chrono::seconds(1);
constexpr Duration kSharedFades = std::chrono::seconds(4);
constexpr Duration kLastingFades = std::chrono::seconds(20);
constexpr Duration kPassingFades = std::chrono::milliseconds(700);
// Engines come and go under new names.
constexpr std::size_t kMaxEngines = 4096;

double Fade(Duration age, Duration time_constant) {
  return std::exp(-std::chrono::duration<double>(age) /
                  std::chrono::duration<double>(time_constant));
}

// Returns the step of a logarithm that follows the quantile.
double Towards(double seen, double estimate, double step) {
  return seen > estimate ? step * (1 - kQuantile) : -step * kQuantile;
}

}  // namespace

EngineEstimate EngineModel::SharedEstimate(std::string_view model, Instant now) const {
  const auto found = models_.find(std::string(model));
  if (found == models_.end()) return {0, options_.prior_us_per_token};
  const Shared& shared = found->second;
  const Duration unanswered = std::max(Duration(0), now - shared.answered_at - kUnansweredFor);
  const double weight = Fade(unanswered, kSharedFades);
  const double ratio = shared.fit.us_per_token() / options_.prior_us_per_token;
  return {shared.fit.fixed_us() * weight, options_.prior_us_per_token * std::pow(ratio, weight)};
}

double EngineModel::LastingAt(const Own& own, Instant now) {
  return own.lasting * Fade(now - own.observed_at, kLastingFades);
}

double EngineModel::PassingAt(const Own& own, Instant now) {
  return own.passing * Fade(now - own.observed_at, kPassingFades);
}

EngineEstimate EngineModel::Estimate(std::string_view model, std::string_view backend_id,
                                     std::int64_t incarnation, Instant now) const {
  EngineEstimate estimate = SharedEstimate(model, now);
  const auto found = engines_.find(std::string(backend_id));
  if (found == engines_.end() || found->second.incarnation != incarnation) return estimate;
  const double factor = std::exp(LastingAt(found->second, now) + PassingAt(found->second, now));
  estimate.fixed_us *= factor;
  estimate.us_per_token *= factor;
  return estimate;
}

EngineModel::Shared& EngineModel::SharedOf(std::string_view model) {
  return models_.try_emplace(std::string(model), options_.prior_us_per_token).first->second;
}

void EngineModel::OnAnswer(std::string_view model, Instant now) {
  if (options_.learns) SharedOf(model).answered_at = now;
}

void EngineModel::Observe(const FirstEventSeen& seen, Instant now) {
  if (!options_.learns) return;
  if (seen.tokens <= 0 || seen.elapsed < kMinElapsed) return OnAnswer(seen.model, now);
  if (engines_.size() > kMaxEngines) engines_.clear();
  Own& own = engines_[std::string(seen.backend_id)];
  if (seen.incarnation < own.incarnation) return;
  if (own.incarnation != seen.incarnation) own = Own{seen.incarnation, 0, 0, now};
  own.lasting = LastingAt(own, now);
  own.passing = PassingAt(own, now);
  const EngineEstimate shared = SharedEstimate(seen.model, now);
  const auto seen_us = static_cast<double>(seen.elapsed.count());
  const double factor = std::log(seen_us / (shared.fixed_us + shared.us_per_token * seen.tokens));
  own.passing = std::clamp(own.passing + Towards(factor, own.lasting + own.passing, kPassingStep),
                           -kMaxPassing, kMaxPassing);
  own.lasting = std::clamp(own.lasting + Towards(factor, own.lasting, kLastingStep), -kMaxLasting,
                           kMaxLasting);
  own.observed_at = now;
  Shared& known = SharedOf(seen.model);
  known.fit.Add(seen.tokens, seen_us / std::exp(own.lasting));
  known.answered_at = now;
  ++known.answers;
}

std::int64_t EngineModel::answers(std::string_view model) const {
  const auto found = models_.find(std::string(model));
  return found != models_.end() ? found->second.answers : 0;
}

}  // namespace kumquat
