// What a control replica still has to tell routers of cached parts and of other routers' loads.
//
// Both are hints: without them a router chooses engines less well, but no promise rests on them. So
// state waits here, not messages: a router that can't be told now, as its link is full or the
// replica has sent its share, later gets the newest state in one message. The outbox holds each
// change once, whatever the number of routers.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/hints/send_allowance.h"
#include "protocol/control_news.h"
#include "utils/hooks.h"

namespace kumquat {

struct HintLimits {
  // Hint messages and their bytes that one replica sends a second, to all routers together.
  std::int64_t messages_per_second = 1500;
  std::int64_t bytes_per_second = 6'000'000;
  // A router whose link holds more unsent bytes than this gets no hints until it has read them.
  std::int64_t max_waiting_bytes = 64 * 1024;
  // Bytes of changes of cached parts that are kept for routers that lag behind. One that lags
  // further is told the whole contents of all sources.
  std::int64_t max_kept_bytes = 2 * 1024 * 1024;
};

struct HintOutboxHooks {
  // Returns the unsent bytes on the router's link.
  std::function<std::int64_t(const std::string& router)> waiting_bytes;
  std::function<void(const std::string& router, std::string_view encoded)> send;
  // Returns the whole contents of all sources.
  std::function<std::vector<CacheNews>()> whole;
};

// What the outbox did since its start.
struct HintCounts {
  std::int64_t messages = 0;
  std::int64_t bytes = 0;
  // Times that a router was passed over because its link was full.
  std::int64_t links_full = 0;
  // Times that routers had to wait because the replica had sent its share.
  std::int64_t allowance_used_up = 0;
  // Changes of cached parts that were dropped before all routers had been told.
  std::int64_t dropped = 0;
};

class HintOutbox {
 public:
  HintOutbox(const HintLimits& limits, HintOutboxHooks hooks);

  void AddCache(CacheNews news);

  // Merges what a router said of its load into what is known of it. Routers are told one sum an
  // engine, over all routers whose loads come here.
  void AddLoad(const RouterLoad& load, Instant now);

  // Tells the routers what they haven't been told, in turn, as far as the limits allow. A router
  // that wasn't among `routers` before, or lags behind the changes that are kept, is told the whole
  // state.
  void Flush(const std::vector<std::string>& routers, Instant now);

  // The router started anew or came on another connection, so that what it was told may be lost.
  void Forget(const std::string& router) { told_.erase(router); }

  // Sends the whole contents of a source that a router asked for. Returns false when the limits
  // don't allow it now; the router asks again with the source's next change.
  bool SendSnapshot(const std::string& router, const CacheNews& snapshot, Instant now);

  const HintCounts& counts() const { return counts_; }

  // Returns the bytes of the changes that are kept.
  std::int64_t kept_bytes() const { return kept_bytes_; }

 private:
  struct Change {
    std::int64_t number = 0;
    CacheNews news;
  };
  struct Load {
    EngineLoad load;
    Instant heard_at{0};
  };
  // What routers have sent to one engine, by router.
  struct Engine {
    std::map<std::string, Load> loads;
    // The number of the last change.
    std::int64_t number = 0;
  };
  struct Sender {
    // The engines that it has sent something to.
    std::set<std::string> engines;
    Instant heard_at{0};
  };

  // Removes the loads that weren't repeated, as routers drop them too.
  void DropOldLoads(Instant now);
  void RemoveLoad(const std::string& router, const std::string& engine);
  void DropOldChanges();
  // Returns the number of the last change that all routers have been told.
  std::int64_t OldestTold() const;
  static EngineLoad SumOf(const std::string& name, const Engine& engine);
  void KeepOnly(const std::vector<std::string>& routers);
  // Returns whether a message may be sent to the router now.
  bool MaySend(const std::string& router);
  void Send(const std::string& router, std::string_view encoded);
  HintNews NewsSince(std::int64_t number) const;
  void AddCacheSince(std::int64_t number, HintNews* news) const;
  void AddLoadsSince(std::int64_t number, HintNews* news) const;
  LoadNews EchoOf(const std::string& router) const;

  HintLimits limits_;
  HintOutboxHooks hooks_;
  SendAllowance messages_;
  SendAllowance bytes_;
  HintCounts counts_;
  // The number of the newest change.
  std::int64_t last_number_ = 0;
  std::deque<Change> changes_;
  // The number of the newest change that was dropped before all routers had been told.
  std::int64_t dropped_number_ = 0;
  std::int64_t kept_bytes_ = 0;
  std::map<std::string, Engine> engines_;
  std::map<std::string, Sender> senders_;
  // The number of the newest change that each router has been told.
  std::map<std::string, std::int64_t> told_;
  // The router after which the next round begins.
  std::string last_served_;
};

}  // namespace kumquat
