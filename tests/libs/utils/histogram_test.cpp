#include "utils/histogram.h"

#include <doctest/doctest.h>

namespace kumquat {
namespace {

TEST_CASE("Metrics render as Prometheus text with cumulative buckets") {
  Metrics metrics;
  metrics.Count("kumquat_requests_total", "class=\"reply\"", 2);
  metrics.Observe("kumquat_ttft_seconds", "class=\"reply\"", 0.004);
  metrics.Observe("kumquat_ttft_seconds", "class=\"reply\"", 0.3);
  const std::string text = metrics.ToPrometheusText();
  CHECK(text.find("kumquat_requests_total{class=\"reply\"} 2\n") != std::string::npos);
  CHECK(text.find("_bucket{class=\"reply\",le=\"0.005\"} 1\n") != std::string::npos);
  CHECK(text.find("_bucket{class=\"reply\",le=\"+Inf\"} 2\n") != std::string::npos);
  CHECK(metrics.histogram("kumquat_ttft_seconds", "class=\"reply\"")->Quantile(0.99) == 0.5);
}

}  // namespace
}  // namespace kumquat
