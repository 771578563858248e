#include "utils/histogram.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace kumquat {
namespace {

// Bounds that serve seconds, shares and token counts alike: 1-2-5 steps from 1 ms.
constexpr std::array kDefaultBounds = {0.001, 0.002, 0.005, 0.01, 0.02, 0.05,  0.1,    0.2,
                                       0.5,   1.0,   2.0,   5.0,  10.0, 100.0, 1000.0, 10000.0};

std::string Braces(std::string_view labels) {
  return labels.empty() ? std::string() : fmt::format("{{{}}}", labels);
}

std::string WithBound(std::string_view labels, std::string_view bound) {
  const std::string_view separator = labels.empty() ? "" : ",";
  return fmt::format("{{{}{}le=\"{}\"}}", labels, separator, bound);
}

void AppendHistogram(std::string& text, std::string_view name, std::string_view labels,
                     const Histogram& histogram) {
  std::uint64_t cumulative = 0;
  for (std::size_t i = 0; i < histogram.bounds().size(); ++i) {
    cumulative += histogram.buckets()[i];
    const std::string bound = fmt::format("{}", histogram.bounds()[i]);
    text += fmt::format("{}_bucket{} {}\n", name, WithBound(labels, bound), cumulative);
  }
  text += fmt::format("{}_bucket{} {}\n", name, WithBound(labels, "+Inf"), histogram.count());
  text += fmt::format("{}_sum{} {}\n", name, Braces(labels), histogram.sum());
  text += fmt::format("{}_count{} {}\n", name, Braces(labels), histogram.count());
}

}  // namespace

Histogram::Histogram(std::span<const double> bounds)
    : bounds_(bounds.begin(), bounds.end()), buckets_(bounds.size() + 1, 0) {}

void Histogram::Add(double value) {
  const auto bucket = std::lower_bound(bounds_.begin(), bounds_.end(), value) - bounds_.begin();
  ++buckets_[static_cast<std::size_t>(bucket)];
  accumulator_(value);
}

std::uint64_t Histogram::count() const { return boost::accumulators::count(accumulator_); }

double Histogram::sum() const { return boost::accumulators::sum(accumulator_); }

double Histogram::max() const { return count() == 0 ? 0 : boost::accumulators::max(accumulator_); }

double Histogram::Quantile(double quantile) const {
  const double wanted = quantile * static_cast<double>(count());
  std::uint64_t cumulative = 0;
  for (std::size_t i = 0; i < bounds_.size(); ++i) {
    cumulative += buckets_[i];
    if (cumulative > 0 && static_cast<double>(cumulative) >= wanted) return bounds_[i];
  }
  return max();
}

void Metrics::Count(std::string_view name, std::string_view labels, std::uint64_t increment) {
  counters_[std::string(name)][std::string(labels)] += increment;
}

void Metrics::Set(std::string_view name, std::string_view labels, double value) {
  gauges_[std::string(name)][std::string(labels)] = value;
}

void Metrics::Observe(std::string_view name, std::string_view labels, double value) {
  auto& family = histograms_[std::string(name)];
  family.try_emplace(std::string(labels), kDefaultBounds).first->second.Add(value);
}

std::uint64_t Metrics::counter(std::string_view name, std::string_view labels) const {
  const auto family = counters_.find(name);
  if (family == counters_.end()) return 0;
  const auto value = family->second.find(labels);
  return value == family->second.end() ? 0 : value->second;
}

const Histogram* Metrics::histogram(std::string_view name, std::string_view labels) const {
  const auto family = histograms_.find(name);
  if (family == histograms_.end()) return nullptr;
  const auto value = family->second.find(labels);
  return value == family->second.end() ? nullptr : &value->second;
}

std::string Metrics::ToPrometheusText() const {
  std::string text;
  for (const auto& [name, values] : counters_) {
    text += fmt::format("# TYPE {} counter\n", name);
    for (const auto& [labels, value] : values) {
      text += fmt::format("{}{} {}\n", name, Braces(labels), value);
    }
  }
  for (const auto& [name, values] : gauges_) {
    text += fmt::format("# TYPE {} gauge\n", name);
    for (const auto& [labels, value] : values) {
      text += fmt::format("{}{} {}\n", name, Braces(labels), value);
    }
  }
  for (const auto& [name, values] : histograms_) {
    text += fmt::format("# TYPE {} histogram\n", name);
    for (const auto& [labels, value] : values) AppendHistogram(text, name, labels, value);
  }
  return text;
}

}  // namespace kumquat
