// How fast engines answer prompts, learnt from when their first events come.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "coordination/placement/line_fit.h"
#include "utils/hooks.h"

namespace kumquat {

struct EngineModelOptions {
  // Time for a prompt token before any answer was seen. The fixed time is taken to be 0 then.
  double prior_us_per_token = 17.7;
  // Whether answers change the estimate.
  bool learns = false;
};

// A first event that came, and what was expected to be computed for it.
struct FirstEventSeen {
  std::string_view backend_id;
  std::int64_t incarnation = 0;
  // The model whose engines are alike but for their own factors.
  std::string_view model;
  // Prompt tokens that were computed until the event: of the request and of those ahead of it.
  double tokens = 0;
  // From the send to the event, without transfers.
  Duration elapsed{0};
};

// The expected time until an engine's first event, in microseconds: a fixed part and a part for
// each prompt token that it computes until then.
struct EngineEstimate {
  double fixed_us = 0;
  double us_per_token = 0;
};

// Estimates the time until an engine's first event. All engines of a model share a line that is
// fitted to the latest answers; each engine has two factors on top of it: its own speed, and a
// disturbance that is forgotten within seconds. The factors follow a quantile of what is seen by
// steps of bounded size, so that an outlier, such as a cached part that wasn't there after all,
// moves them no further than any other answer.
//
// An engine that is slow gets fewer requests, so that it is measured less. Its own factors fade
// towards 1, and it is tried again.
class EngineModel {
 public:
  explicit EngineModel(const EngineModelOptions& options = {}) : options_(options) {}

  EngineEstimate Estimate(std::string_view model, std::string_view backend_id,
                          std::int64_t incarnation, Instant now) const;

  // Learns from a first event.
  void Observe(const FirstEventSeen& seen, Instant now);

  // A first event came that doesn't show how fast its engine is, such as one behind much load that
  // is known less well. It shows that the model's engines still answer.
  void OnAnswer(std::string_view model, Instant now);

  // Returns how many answers the estimate of a model's engines rests on.
  std::int64_t answers(std::string_view model) const;

 private:
  struct Shared {
    explicit Shared(double prior_us_per_token) : fit(prior_us_per_token) {}

    LineFit fit;
    std::int64_t answers = 0;
    Instant answered_at{0};
  };
  // The natural logarithms of an engine's factors.
  struct Own {
    std::int64_t incarnation = 0;
    double lasting = 0;
    double passing = 0;
    Instant observed_at{0};
  };

  Shared& SharedOf(std::string_view model);
  EngineEstimate SharedEstimate(std::string_view model, Instant now) const;
  static double LastingAt(const Own& own, Instant now);
  static double PassingAt(const Own& own, Instant now);

  EngineModelOptions options_;
  std::unordered_map<std::string, Shared> models_;
  std::unordered_map<std::string, Own> engines_;
};

}  // namespace kumquat
