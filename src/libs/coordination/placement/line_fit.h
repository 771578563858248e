// A robust line through the latest observations.
#pragma once

#include <cstddef>
#include <deque>

namespace kumquat {

// Fits elapsed = fixed + slope x tokens to the latest observations by the Theil-Sen estimator: the
// slope is the median of the slopes between pairs, and the fixed part a quantile of what is left
// over. So a quarter of the observations may be arbitrarily wrong. A prior takes part with a fixed
// weight, so that the first observations move the line little, and decides the slope where they
// are all of much the same size. Neither part is negative, and the slope stays within a factor of
// the prior.
class LineFit {
 public:
  explicit LineFit(double prior_us_per_token);

  void Add(double tokens, double elapsed_us);

  double fixed_us() const { return fixed_us_; }
  double us_per_token() const { return us_per_token_; }

 private:
  struct Point {
    double tokens = 0;
    double elapsed_us = 0;
  };

  void Fit();

  double prior_us_per_token_;
  double fixed_us_ = 0;
  double us_per_token_;
  std::deque<Point> points_;
};

}  // namespace kumquat
