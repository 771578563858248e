// Follows the cache events of engines, so that the prefix index knows what they hold.
#pragma once

#include <QJsonObject>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "transport/backend_client.h"
#include "utils/hooks.h"

namespace kumquat {

class IndexService;
class MembershipService;
struct MemberRecord;

// Reads the events of the engines that this router is the first keeper of, at a fixed interval. A
// gap makes it read the whole contents once.
class CacheFollower {
 public:
  CacheFollower(const MembershipService* membership, IndexService* index, BackendClient* client,
                Clock clock, Duration poll_interval);

  // Reads the whole contents of an engine, or of all, at the next turn.
  void Resync(const std::string& backend_id);
  void ResyncAll();

  // Starts the reads that are due; called a few times in each poll interval.
  void Tick();

 private:
  // The read under way at one engine.
  struct Engine {
    std::int64_t incarnation = 0;
    std::int64_t last_sequence = 0;
    bool needs_contents = false;
    Instant next_read{0};
    std::unique_ptr<BackendCall> call;
  };

  void Read(const std::string& id, Engine* engine);
  void OnRead(const std::string& id, bool contents, std::string_view body);
  void Follow(const MemberRecord& record);
  void TakeEvents(const std::string& id, const QJsonObject& json);
  void TakeContents(const std::string& id, const QJsonObject& json);

  const MembershipService* membership_;
  IndexService* index_;
  BackendClient* client_;
  Clock clock_;
  Duration poll_interval_;
  std::map<std::string, Engine> engines_;
};

}  // namespace kumquat
