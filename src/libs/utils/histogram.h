// Histograms for metrics, over Boost.Accumulators.
#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace kumquat {

// Counts values in buckets with fixed upper bounds, with their sum and largest value.
class Histogram {
 public:
  // `bounds` are the buckets' upper bounds in rising order; a last bucket takes the rest.
  explicit Histogram(std::span<const double> bounds);

  void Add(double value);

  std::uint64_t count() const;
  double sum() const;
  double max() const;

  // Returns an upper bound of the given quantile (0 to 1) of what was added; 0 when empty.
  double Quantile(double quantile) const;

  std::span<const double> bounds() const { return bounds_; }
  std::span<const std::uint64_t> buckets() const { return buckets_; }

 private:
  using Accumulator = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
                                 boost::accumulators::tag::max>>;
  std::vector<double> bounds_;
  std::vector<std::uint64_t> buckets_;
  Accumulator accumulator_;
};

// The content type of what Metrics render.
inline constexpr std::string_view kMetricsContentType = "text/plain; version=0.0.4";

// The metrics of a process: counters, gauges and histograms, each with a label set that is
// already rendered, such as `organisation="a",class="reply"`.
class Metrics {
 public:
  void Count(std::string_view name, std::string_view labels = {}, std::uint64_t increment = 1);
  void Set(std::string_view name, std::string_view labels, double value);
  void Observe(std::string_view name, std::string_view labels, double value);

  // Returns the counter's value; 0 when it was never counted.
  std::uint64_t counter(std::string_view name, std::string_view labels = {}) const;

  // Returns the histogram, or null when nothing was observed under that name and labels.
  const Histogram* histogram(std::string_view name, std::string_view labels) const;

  // Renders everything in the Prometheus text format, version 0.0.4.
  std::string ToPrometheusText() const;

 private:
  template <typename Value>
  using Family = std::map<std::string, std::map<std::string, Value, std::less<>>, std::less<>>;
  Family<std::uint64_t> counters_;
  Family<double> gauges_;
  Family<Histogram> histograms_;
};

}  // namespace kumquat
