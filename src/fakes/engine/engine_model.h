// A model engine without sockets: queue, prefill, prefix cache and token stream in virtual time.
//
// Requests wait in a queue, replies before drafts. One request at a time is prefilled, at a cost
// for each token that is not cached; then its tokens come at a fixed interval beside those of the
// other running requests.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "engine/prefix_cache.h"
#include "protocol/announcement.h"
#include "utils/hooks.h"

namespace kumquat {

struct EngineModelSettings {
  std::int64_t cache_pieces = 1024;
  std::int64_t piece_tokens = 2048;
  Duration prefill_per_1k_tokens = std::chrono::milliseconds(50);
  Duration token_interval = std::chrono::milliseconds(5);
  std::int64_t concurrent_requests = 8;
};

// A request as the model sees it.
struct EngineJob {
  RequestClass request_class = RequestClass::kReply;
  std::vector<std::string> prefix;
  std::int64_t prompt_tokens = 0;
  // The tokens from `first_token` up to `answer_tokens` are generated; those before it belong to
  // the prompt.
  std::int64_t first_token = 0;
  std::int64_t answer_tokens = 0;
};

// What happened to a request: a token at this offset, or its end with the offset past the last.
struct EngineModelEvent {
  std::uint64_t job = 0;
  std::int64_t offset = 0;
  bool is_end = false;
  // The prompt tokens found in the cache.
  std::int64_t cached_tokens = 0;
  Instant at{};
};

struct EngineModelStats {
  std::int64_t runs = 0;
  std::int64_t completed = 0;
  std::int64_t cancelled = 0;
  std::int64_t cached_tokens = 0;
  std::int64_t recomputed_tokens = 0;
};

class EngineModel {
 public:
  EngineModel(const EngineModelSettings& settings, Clock clock);

  // Queues a request and returns its number, from 1 on.
  std::uint64_t Submit(EngineJob job);

  // Ends a request at once; nothing more is heard of it.
  void Cancel(std::uint64_t job);

  // Returns what happened up to now, in order of time.
  std::vector<EngineModelEvent> Advance();

  // Returns when something happens next; nothing while the model is idle.
  std::optional<Instant> next_event() const;

  // Returns the load at the last Advance or Submit.
  BackendLoad load() const;

  const EngineModelStats& stats() const { return stats_; }
  PrefixCache& cache() { return cache_; }

 private:
  struct QueueKey {
    RequestClass request_class;
    std::uint64_t job;

    bool operator<(const QueueKey& other) const {
      return std::tie(request_class, job) < std::tie(other.request_class, other.job);
    }
  };
  struct Running {
    EngineJob job;
    std::int64_t next_token = 0;
    std::int64_t cached_tokens = 0;
    Instant next_at{};
    bool prefilling = true;
  };

  void StartNext(Instant now);
  void StartPrefill(std::uint64_t number, EngineJob job, Instant now);
  void Step(std::uint64_t number, std::vector<EngineModelEvent>* events);
  std::map<std::uint64_t, Running>::const_iterator Earliest() const;

  EngineModelSettings settings_;
  Clock clock_;
  PrefixCache cache_;
  std::uint64_t last_job_ = 0;
  std::map<QueueKey, EngineJob> queue_;
  std::map<std::uint64_t, Running> running_;
  // The request that is prefilled; 0 for none.
  std::uint64_t prefilling_ = 0;
  EngineModelStats stats_;
};

}  // namespace kumquat
