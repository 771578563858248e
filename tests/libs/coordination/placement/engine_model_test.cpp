#include "coordination/placement/engine_model.h"

#include <fmt/format.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <string>
#include <vector>

namespace kumquat {
namespace {

using std::chrono::milliseconds;

constexpr EngineModelOptions kLearning{17.7, true};
constexpr double kUsualTokens = 5000;

// Engines with true speeds, of which one router sees first events at some rate.
class EnginesSeen {
 public:
  EnginesSeen(double us_per_token, std::vector<double> factors, double fixed_us = 0)
      : us_per_token_(us_per_token), factors_(std::move(factors)), fixed_us_(fixed_us) {}

  // Shows an answer; a part of them is an outlier by three times either way.
  void Answer(EngineModel& model, double disturbance = 1) {
    now_ += milliseconds(30);
    const std::size_t at = generator_() % factors_.size();
    const double tokens = std::uniform_real_distribution<double>(600, 9000)(generator_);
    const double noise = std::exp(std::normal_distribution<double>(0, 0.15)(generator_));
    const int kind = static_cast<int>(generator_() % 20);
    const double outlier = kind == 0 ? 3 : kind == 1 ? 1 / 3.0 : 1;
    const double slowed = IsDisturbed(at) ? disturbance : 1;
    const double us =
        (fixed_us_ + us_per_token_ * tokens) * factors_[at] * slowed * noise * outlier;
    model.Observe({NameOf(at), 1, "m", tokens, Duration(static_cast<std::int64_t>(us))}, now_);
  }

  // Returns the median of |estimate / truth - 1| over the engines, for prompts of this length.
  double MedianError(const EngineModel& model, double disturbance = 1,
                     double tokens = kUsualTokens) const {
    std::vector<double> errors;
    errors.reserve(factors_.size());
    for (std::size_t at = 0; at < factors_.size(); ++at) {
      const double slowed = IsDisturbed(at) ? disturbance : 1;
      const double truth = (fixed_us_ + us_per_token_ * tokens) * factors_[at] * slowed;
      errors.push_back(std::abs(Expected(model, at, 1, now_, tokens) / truth - 1));
    }
    std::nth_element(errors.begin(), errors.begin() + errors.size() / 2, errors.end());
    return errors[errors.size() / 2];
  }

  static std::string NameOf(std::size_t at) { return fmt::format("e{}", at); }

  // Returns the expected time of a prompt at an engine, in microseconds.
  static double Expected(const EngineModel& model, std::size_t at, std::int64_t incarnation,
                         Instant now, double tokens = kUsualTokens) {
    const EngineEstimate estimate = model.Estimate("m", NameOf(at), incarnation, now);
    return estimate.fixed_us + estimate.us_per_token * tokens;
  }
  Instant now() const { return now_; }

 private:
  static bool IsDisturbed(std::size_t at) { return at % 3 == 0; }

  double us_per_token_;
  std::vector<double> factors_;
  double fixed_us_;
  std::mt19937_64 generator_{1};
  Instant now_{std::chrono::seconds(100)};
};

TEST_CASE("A prior that is wrong by four times either way is left within 200 answers") {
  for (const double truth : {17.7 / 4, 17.7 * 4, 10.7, 30.9}) {
    CAPTURE(truth);
    for (const double fixed_us : {0.0, 16'000.0, 83'000.0}) {
      CAPTURE(fixed_us);
      EngineModel model(kLearning);
      EnginesSeen engines(truth, std::vector<double>(18, 1.0), fixed_us);
      for (int i = 0; i < 200; ++i) engines.Answer(model);
      for (const double tokens : {600.0, kUsualTokens, 9000.0}) {
        CHECK(engines.MedianError(model, 1, tokens) < 0.25);
      }
    }
  }
}

// Load: all engines get the same requests; each has its own speed.
TEST_CASE("Engines of different speeds are told apart") {
  std::vector<double> factors(18, 0.7);
  for (std::size_t i = 2; i < factors.size(); i += 3) factors[i] = 1.7;
  EngineModel model(kLearning);
  EnginesSeen engines(10.7, factors);
  for (int i = 0; i < 1000; ++i) engines.Answer(model);
  CHECK(engines.MedianError(model) < 0.25);
  const double slow = EnginesSeen::Expected(model, 2, 1, engines.now());
  const double fast = EnginesSeen::Expected(model, 0, 1, engines.now());
  CHECK(slow > 1.5 * fast);
}

// Load: six engines, a third of them slowed 2.5 times; some answers a second from each.
TEST_CASE("A disturbance is seen while it lasts and forgotten after it") {
  EngineModel model(kLearning);
  EnginesSeen engines(17.7, std::vector<double>(6, 1.0));
  for (int i = 0; i < 400; ++i) engines.Answer(model);
  const auto estimate = [&](std::size_t at) {
    return EnginesSeen::Expected(model, at, 1, engines.now());
  };
  const double before = estimate(0);
  for (int i = 0; i < 20; ++i) engines.Answer(model, 2.5);
  CHECK(estimate(0) > 1.2 * before);
  for (int i = 0; i < 100; ++i) engines.Answer(model);
  CHECK(estimate(0) < 1.25 * before);
  CHECK(engines.MedianError(model) < 0.25);
}

TEST_CASE("A slow engine without answers is tried again, and a new one starts from the others") {
  EngineModel model(kLearning);
  std::vector<double> factors(6, 1.0);
  factors[1] = 2.5;
  EnginesSeen engines(17.7, factors);
  for (int i = 0; i < 600; ++i) engines.Answer(model);
  const auto at = [&](std::int64_t incarnation, Instant now) {
    return EnginesSeen::Expected(model, 1, incarnation, now);
  };
  const double slow = at(1, engines.now());
  const double other = EnginesSeen::Expected(model, 2, 1, engines.now());
  CHECK(slow > 1.5 * other);
  CHECK(at(1, engines.now() + std::chrono::seconds(40)) < 1.3 * other);
  CHECK(at(2, engines.now()) < 1.3 * other);
}

// Load: answers come five times as late for ten seconds, then none, as all requests are refused.
TEST_CASE("An estimate that was driven up by late answers comes down without any") {
  EngineModel model(kLearning);
  EnginesSeen late(5 * 17.7, std::vector<double>(6, 1.0));
  for (int i = 0; i < 333; ++i) late.Answer(model);
  const auto estimate = [&](Duration after) {
    return EnginesSeen::Expected(model, 0, 1, late.now() + after);
  };
  CHECK(estimate(Duration(0)) > 40 * kUsualTokens);
  CHECK(estimate(std::chrono::seconds(10)) < 25 * kUsualTokens);
}

// Load: engines are three times as slow as the prior says, and so busy that no answer shows it.
TEST_CASE("Answers under load keep an estimate that others led to") {
  EngineModel model(kLearning);
  EnginesSeen engines(3 * 17.7, std::vector<double>(6, 1.0));
  for (int i = 0; i < 200; ++i) engines.Answer(model);
  Instant now = engines.now();
  for (int i = 0; i < 40; ++i) {
    now += milliseconds(500);
    model.OnAnswer("m", now);
  }
  CHECK(EnginesSeen::Expected(model, 0, 1, now) > 2.25 * 17.7 * kUsualTokens);
}

TEST_CASE("The prior holds where learning isn't asked for") {
  EngineModel model;
  EnginesSeen engines(40, std::vector<double>(6, 1.0));
  for (int i = 0; i < 100; ++i) engines.Answer(model);
  CHECK(EnginesSeen::Expected(model, 0, 1, engines.now()) == doctest::Approx(17.7 * kUsualTokens));
}

}  // namespace
}  // namespace kumquat
