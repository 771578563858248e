// Reads the cache events of engines and stores, and tells routers what each holds. Each source has
// one keeper among the control replicas, as every reader costs the source.
#pragma once

#include <QTimer>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "protocol/control_news.h"
#include "protocol/part_events.h"
#include "transport/backend_client.h"
#include "utils/endpoint.h"

namespace kumquat {

// How a source is asked for its events, as hooks for an interface to fill in.
struct PartEventCodec {
  // Asks for events from this number on; the source holds the call for a while where there are
  // none.
  std::function<BackendCallRequest(const Endpoint& source, std::int64_t since)> encode_read;
  // Returns nothing for an answer that tells none, and epoch 0 for a source that is alive and has
  // no time for this reader.
  std::function<std::optional<PartEvents>(int status, std::string_view body)> decode_read;
  // Asks for all that the source holds, as one event a part, and where to read on from.
  std::function<BackendCallRequest(const Endpoint& source)> encode_list;
  std::function<std::optional<PartEvents>(int status, std::string_view body)> decode_list;
};

// A source of events; engines go by their id and stores by their address.
struct CacheSource {
  std::string name;
  Endpoint endpoint;
  // All that it holds may be asked for where events are missing. That holds up an engine's work,
  // and what an engine holds changes within seconds anyway; a store keeps parts for long.
  bool may_list = false;
};

class CacheKeeper {
 public:
  using Publish = std::function<void(const CacheNews& news)>;

  CacheKeeper(PartEventCodec codec, BackendClient* client, Publish publish);
  ~CacheKeeper();

  // Sets the sources that this replica keeps.
  void SetSources(const std::vector<CacheSource>& sources);

  // Returns all that is known of the source; nothing when this replica doesn't keep it.
  std::optional<CacheNews> Snapshot(const std::string& source) const;

  // Returns the same of all sources that this replica keeps.
  std::vector<CacheNews> Snapshots() const;

  // Returns which sources hold which of these parts, as of the last event of each.
  std::vector<CacheNews> HoldersOf(std::span<const std::uint64_t> keys) const;

 private:
  struct Kept {
    Endpoint endpoint;
    bool may_list = false;
    // Events are missing, so that all that is held is asked for next.
    bool wants_list = false;
    std::int64_t epoch = 0;
    std::int64_t next = 0;
    std::unordered_map<std::uint64_t, std::int64_t> held;
    std::unique_ptr<BackendCall> call;
    // Answers to a call that was given up are ignored.
    std::int64_t number = 0;
    std::unique_ptr<QTimer> timer;
  };

  std::chrono::milliseconds ReadPause() const;
  void Read(const std::string& source);
  void Answered(const std::string& source, std::int64_t number,
                const std::optional<PartEvents>& events);
  void Take(const std::string& source, Kept* kept, const PartEvents& events);
  void TakeList(const std::string& source, Kept* kept, const PartEvents& list);
  static std::vector<PartChange> Apply(const std::vector<PartEvent>& events, Kept* kept);

  PartEventCodec codec_;
  BackendClient* client_;
  Publish publish_;
  std::map<std::string, Kept> kept_;
  std::int64_t last_number_ = 0;
};

}  // namespace kumquat
