// The prefix index, sharded over the routers by the root of each segment of a prompt.
//
// This router holds its own shard, asks the owners of others, and passes on what it learns. A
// shard that can't be reached in time costs prefix hits and nothing else.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "index_messages.h"
#include "state/index/prefix_index.h"
#include "state/index/shard_map.h"
#include "utils/hooks.h"

namespace kumquat {

class Metrics;
class PeerNetwork;

class IndexService {
 public:
  using OnBeliefs = std::function<void(std::vector<EngineBelief> beliefs)>;

  IndexService(std::string self, std::size_t max_entries, PeerNetwork* network, Metrics* metrics);

  // Sets the routers that share the index. Returns whether they changed.
  bool SetRouters(std::vector<std::string> routers);

  // Finds the longest prefix of the prompt that each engine is believed to hold. The hook runs
  // once, at once or after the owners have answered, at the latest after kLookupPatience.
  void Lookup(std::span<const BlockId> prompt, OnBeliefs on_beliefs);

  // What this router learned from its own dispatch of the prompt: it went out to the engine; its
  // first token came; it failed; its answer counted other cached pieces than were believed.
  void Expect(std::string_view backend_id, std::int64_t incarnation,
              std::span<const BlockId> prompt);
  void Computed(std::string_view backend_id, std::int64_t incarnation,
                std::span<const BlockId> prompt);
  void Retract(std::string_view backend_id, std::int64_t incarnation,
               std::span<const BlockId> prompt);
  void Correct(std::string_view backend_id, std::int64_t incarnation,
               std::span<const BlockId> prompt, std::int64_t believed_pieces,
               std::int64_t cached_pieces);

  // An engine is known to run in this incarnation, or is gone.
  void Observe(std::string_view backend_id, std::int64_t incarnation);
  void Forget(std::string_view backend_id);

  // Takes what this router read at an engine and hands each owner its part: events in order, or
  // the whole contents as of `last_sequence`.
  void TakeEvents(const std::string& backend_id, std::int64_t incarnation,
                  std::int64_t last_sequence, std::span<const BlockChange> changes,
                  std::span<const BlockId> segment_roots);
  void TakeContents(const std::string& backend_id, std::int64_t incarnation,
                    std::int64_t last_sequence, std::span<const NamedBlock> blocks);

  const PrefixIndex& shard() const { return shard_; }

  static constexpr Duration kLookupPatience = std::chrono::milliseconds(10);

 private:
  // A lookup that waits for owners.
  struct PendingLookup {
    // Beliefs for each segment; those not answered are empty.
    std::vector<std::vector<EngineBelief>> segments;
    std::vector<std::size_t> segment_sizes;
    // Which segments each owner was asked for, in their order.
    std::map<std::string, std::vector<std::size_t>> asked;
    OnBeliefs on_beliefs;
  };

  std::vector<EngineBelief> LookupHere(std::span<const BlockId> segment);
  void Complete(std::int64_t id);
  void Note(const IndexNote& note);
  // Fills in one segment's part of a note; false when the segment's owner need not hear of it.
  using FillNote = std::function<bool(std::int64_t first_piece, IndexNote* note)>;
  void NoteEach(IndexNoteKind kind, std::string_view backend_id, std::int64_t incarnation,
                std::span<const BlockId> prompt, const FillNote& fill = {});
  void Apply(const CacheEventsMessage& message);
  void SendToOwner(const std::string& owner, const CacheEventsMessage& message);
  void ReceiveLookup(const std::string& from, const QJsonObject& body);
  void ReceiveAnswer(const std::string& from, const QJsonObject& body);

  std::string self_;
  PeerNetwork* network_;
  Metrics* metrics_;
  PrefixIndex shard_;
  ShardMap owners_;
  std::map<std::int64_t, PendingLookup> lookups_;
  std::int64_t last_lookup_ = 0;
  // Last sequence that each owner was sent, by engine and incarnation.
  std::map<std::string, std::pair<std::int64_t, std::map<std::string, std::int64_t>>> sent_;
};

}  // namespace kumquat
