#include "coordination/placement/line_fit.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace kumquat {
namespace {

constexpr std::size_t kMaxObservations = 64;
// The prior counts as much as so many pairs of observations, and as so many observations without a
// fixed time. It isn't paired with observations: where all prompts are short, such pairs would
// decide the slope for good.
constexpr std::size_t kPriorPairs = 30;
constexpr std::size_t kPriorObservations = 4;
// Pairs that are closer show noise rather than a slope.
constexpr double kMinTokensApart = 400;
// The part of answers that come sooner than estimated. Below one half, as what makes an answer late
// is often load that this router doesn't know of, not the engine's speed.
constexpr double kQuantile = 0.4;
// No engine is taken for faster or slower than its prior by more than this factor.
constexpr double kMaxFromPrior = 6;
constexpr double kMaxFixedUs = 400'000;

double TakeQuantile(std::vector<double>* values, double quantile) {
  const auto at = static_cast<std::ptrdiff_t>(quantile * static_cast<double>(values->size() - 1));
  std::nth_element(values->begin(), values->begin() + at, values->end());
  return (*values)[static_cast<std::size_t>(at)];
}

}  // namespace

LineFit::LineFit(double prior_us_per_token)
    : prior_us_per_token_(prior_us_per_token), us_per_token_(prior_us_per_token) {}

void LineFit::Add(double tokens, double elapsed_us) {
  points_.push_back({tokens, elapsed_us});
  if (points_.size() > kMaxObservations) points_.pop_front();
  Fit();
}

void LineFit::Fit() {
  std::vector<double> values(kPriorPairs, prior_us_per_token_);
  values.reserve(kPriorPairs + points_.size() * points_.size() / 2);
  for (std::size_t left = 0; left < points_.size(); ++left) {
    for (std::size_t right = left + 1; right < points_.size(); ++right) {
      const double apart = points_[right].tokens - points_[left].tokens;
      if (std::abs(apart) < kMinTokensApart) continue;
      values.push_back((points_[right].elapsed_us - points_[left].elapsed_us) / apart);
    }
  }
  us_per_token_ = std::clamp(TakeQuantile(&values, 0.5), prior_us_per_token_ / kMaxFromPrior,
                             prior_us_per_token_ * kMaxFromPrior);
  values.assign(kPriorObservations, 0);
  for (const Point& point : points_) {
    values.push_back(point.elapsed_us - us_per_token_ * point.tokens);
  }
  fixed_us_ = std::clamp(TakeQuantile(&values, kQuantile), 0.0, kMaxFixedUs);
}

}  // namespace kumquat
