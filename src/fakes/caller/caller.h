// A small caller for the demo: several organisations talk through the routers at once.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "answer_check.h"
#include "transport/backend_client.h"
#include "utils/endpoint.h"
#include "utils/hooks.h"

namespace kumquat {

struct CallerOptions {
  std::vector<Endpoint> routers;
  std::vector<std::string> keys;
  std::string model;
  std::int64_t requests = 40;
  std::int64_t concurrency = 8;
  std::int64_t max_tokens = 24;
  // Length of the prefix that the requests of one organisation share, in bytes.
  std::int64_t shared_prefix_bytes = 50'000;
  // Whether to book once at the service "bookings" as well.
  bool books = true;
};

// What all answers together showed.
struct CallerReport {
  std::int64_t sent = 0;
  std::int64_t complete = 0;
  std::int64_t prompt_tokens = 0;
  std::int64_t cached_tokens = 0;
  std::vector<Duration> first_token;
};

class Caller {
 public:
  Caller(CallerOptions options, Clock clock);

  // Sends everything; the hook runs when the last answer has ended.
  void Start(std::function<void(const CallerReport&)> on_done);

 private:
  struct Exchange {
    Instant started{0};
    bool has_token = false;
    int status = 0;
    AnswerCheck check;
    std::unique_ptr<BackendCall> call;
  };

  void StartMore();
  void StartChat(std::int64_t number);
  void StartBooking();
  BackendCallRequest RequestTo(std::int64_t number, std::string target, std::string body) const;
  void End(std::int64_t number, const std::string& failure);

  CallerOptions options_;
  Clock clock_;
  std::unique_ptr<BackendClient> client_;
  std::map<std::int64_t, Exchange> exchanges_;
  std::int64_t next_ = 0;
  CallerReport report_;
  std::function<void(const CallerReport&)> on_done_;
};

}  // namespace kumquat
