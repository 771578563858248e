// fake-caller: sends streamed requests through the routers and checks every answer.
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>
#include <sstream>

#include "caller.h"
#include "utils/application.h"
#include "utils/log.h"

DEFINE_string(routers, "", "The routers, each as ip:port, with commas between them.");
DEFINE_string(keys, "", "Bearer keys, one of each organisation, with commas between them.");
DEFINE_string(model, "", "The model to ask.");
DEFINE_int64(requests, 40, "Streamed requests to send.");
DEFINE_int64(concurrency, 8, "Requests under way at once.");
DEFINE_bool(books, true, "Whether to book once as well.");

namespace {

std::vector<std::string> Split(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');) parts.push_back(part);
  return parts;
}

double QuantileMillis(std::vector<kumquat::Duration> values, double quantile) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto place = static_cast<std::size_t>(quantile * static_cast<double>(values.size() - 1));
  return static_cast<double>(values[place].count()) / 1000.0;
}

void Print(const kumquat::CallerReport& report) {
  const double prompt = static_cast<double>(std::max<std::int64_t>(1, report.prompt_tokens));
  fmt::print("prefix hit rate: {:.3f}\n", static_cast<double>(report.cached_tokens) / prompt);
  fmt::print("recomputed tokens: {}\n", report.prompt_tokens - report.cached_tokens);
  fmt::print("time to first token: median {:.1f} ms, 99 in 100 {:.1f} ms\n",
             QuantileMillis(report.first_token, 0.5), QuantileMillis(report.first_token, 0.99));
  fmt::print("{} of {} answers complete\n", report.complete, report.sent);
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage("Sends streamed requests through the routers and checks every answer.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  kumquat::Application application(argc, argv);
  kumquat::ConfigureLog("caller", kumquat::LogLevel::kInfo,
                        {.descriptor = kumquat::kStandardError});
  kumquat::CallerOptions options;
  for (const std::string& router : Split(FLAGS_routers)) {
    const auto endpoint = kumquat::ParseEndpoint(router);
    if (endpoint) options.routers.push_back(*endpoint);
  }
  options.keys = Split(FLAGS_keys);
  options.model = FLAGS_model;
  options.requests = FLAGS_requests;
  options.concurrency = FLAGS_concurrency;
  options.books = FLAGS_books;
  if (options.routers.empty() || options.keys.empty()) {
    fmt::print(stderr, "fake-caller: --routers and --keys are needed.\n");
    return 2;
  }
  kumquat::Caller caller(options, kumquat::SteadyClock());
  caller.Start([](const kumquat::CallerReport& report) {
    Print(report);
    QCoreApplication::exit(report.complete == report.sent ? 0 : 1);
  });
  return application.Run();
}
