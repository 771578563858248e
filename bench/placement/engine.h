// A model engine in virtual time: one prefill at a time, replies first, a bounded cache of pieces.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "placement/trace.h"
#include "protocol/announcement.h"
#include "state/index/prefix_index.h"

namespace kumquat::bench {

struct BlockHash {
  std::size_t operator()(const BlockId& block) const { return block.low; }
};
using BlockSet = std::unordered_set<BlockId, BlockHash>;

// Runs events in the order of their time.
class VirtualTime {
 public:
  Instant now() const { return now_; }
  void After(Duration delay, std::function<void()> action);
  // Runs until nothing is left or the time is past the end.
  void Run(Instant end);

 private:
  struct Event {
    Instant at{};
    std::uint64_t order = 0;
    std::function<void()> action;
  };
  static bool IsLater(const Event& left, const Event& right);

  Instant now_{};
  std::uint64_t next_order_ = 0;
  std::vector<Event> heap_;
};

struct EngineLimits {
  std::size_t cache_pieces = 96;
  double prefill_ms_per_1k = 100;
  double import_ms_per_1k = 15;
  std::size_t slots = 24;
  Duration decode_per_token = std::chrono::milliseconds(20);
};

// One attempt at a request.
struct Job {
  const TraceRequest* request = nullptr;
  std::size_t request_index = 0;
  int router = 0;
  std::uint64_t dispatch = 0;
  std::int64_t believed_pieces = 0;
  std::size_t import_pieces = 0;
};

struct EngineHooks {
  std::function<void(const Job& job, std::int64_t cached_pieces)> on_prefill;
  std::function<void(const Job& job)> on_first_token;
  std::function<void(const Job& job, std::int64_t cached_pieces)> on_end;
};

// A queue as it would drain, for the clairvoyant.
struct TrueState {
  Duration wait{};
  std::int64_t cached_pieces = 0;
};

class Engine {
 public:
  Engine(std::string id, const EngineLimits& limits, VirtualTime* time, EngineHooks hooks);

  void Submit(const Job& job);

  // Loses cache and requests; returns the requests that were cut off.
  std::vector<Job> Crash();
  void Restart() { is_up_ = true; }

  // Cache events since the last call.
  CacheEventBatch TakeEvents();
  CacheContents Contents() const;
  BackendLoad Load() const;

  // Returns what awaits a request that would be submitted now.
  TrueState Truth(const TraceRequest& request) const;

  const std::string& id() const { return id_; }
  std::int64_t incarnation() const { return incarnation_; }
  bool is_up() const { return is_up_; }
  const EngineLimits& limits() const { return limits_; }

 private:
  struct Running {
    Job job;
    std::int64_t cached_pieces = 0;
    // End of the prefill, then of the answer.
    Instant until{};
  };

  std::deque<Job>& QueueOf(RequestClass request_class);
  void StartNext();
  void EndPrefill();
  std::size_t CachedPieces(const TraceRequest& request) const;
  Duration PrefillTime(const Job& job, std::size_t cached) const;
  void Touch(const TraceRequest& request);
  void Evict();

  std::string id_;
  EngineLimits limits_;
  VirtualTime* time_;
  EngineHooks hooks_;
  bool is_up_ = true;
  std::int64_t incarnation_ = 1;
  std::deque<Job> replies_;
  std::deque<Job> drafts_;
  std::optional<Running> prefill_;
  std::vector<Running> decoding_;
  // The cache, most recently used first.
  std::list<BlockId> blocks_;
  std::unordered_map<BlockId, std::list<BlockId>::iterator, BlockHash> where_;
  std::int64_t last_sequence_ = 0;
  std::vector<BlockChange> changes_;
};

}  // namespace kumquat::bench
