// The prefix index: which engine is believed to hold which piece of a prompt.
//
// A belief is about one incarnation of one engine. It may be wrong, since events come late and get
// lost; a wrong belief costs time and nothing else, because the engine itself decides what it
// reuses. Free of sockets and clocks.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "coordination/prefix/prefix_identity.h"

namespace kumquat {

namespace Internal {
class BlockTable;

// What is known of one engine's events.
struct Holder {
  std::string backend_id;
  std::int64_t incarnation = 0;
  std::int64_t last_sequence = 0;
  std::int64_t wrong_beliefs_since_resync = 0;
  bool has_gap = false;
};

// Lets maps with string keys be searched by views.
struct StringHash {
  using is_transparent = void;  // NOLINT(readability-identifier-naming): named by the standard.
  std::size_t operator()(std::string_view text) const {
    return std::hash<std::string_view>{}(text);
  }
};

}  // namespace Internal

// A change in an engine's cache, without its number.
struct BlockChange {
  BlockId block;
  bool stored = true;

  bool operator==(const BlockChange&) const = default;
};

// Changes of one incarnation. The batch stands for all events numbered from `first_sequence` to
// `last_sequence`; a sharded index gets only the changes of its own shard in that range.
struct CacheEventBatch {
  std::string backend_id;
  std::int64_t incarnation = 0;
  std::int64_t first_sequence = 1;
  std::int64_t last_sequence = 0;
  std::vector<BlockChange> changes;
};

// What an engine holds in whole, as of `last_sequence`.
struct CacheContents {
  std::string backend_id;
  std::int64_t incarnation = 0;
  std::int64_t last_sequence = 0;
  std::vector<BlockId> blocks;
};

// What became of a batch.
enum class BatchOutcome {
  kApplied,
  // Ignored: every event was known already, or the incarnation is an older one, or the engine is
  // not known.
  kStale,
  // Events between the last known one and this batch are lost. The batch was applied, and a resync
  // is due: needs_resync() holds until Replace().
  kGap,
};

// The longest prefix of a prompt that an engine is believed to hold.
struct PrefixBelief {
  std::string_view backend_id;
  std::int64_t incarnation = 0;
  // Whole pieces from the first on; at least one.
  std::int64_t pieces = 0;
};

// The index, or one shard of it. Memory is bounded: past the limit, the beliefs that lookups have
// not used of late make room.
class PrefixIndex {
 public:
  explicit PrefixIndex(std::size_t max_entries);
  ~PrefixIndex();

  // An engine is known to run in this incarnation. A new one empties what was believed of it, an
  // older one is ignored. Returns whether this is the current incarnation now. Every other call
  // about an engine that was never observed is ignored, so that late messages revive none.
  bool Observe(std::string_view backend_id, std::int64_t incarnation);

  // Takes in a batch. Late, repeated and overlapping batches are fine.
  BatchOutcome Apply(const CacheEventBatch& batch);

  // Replaces what is believed of an engine. False when it is of an older incarnation, or older than
  // what was applied already.
  bool Replace(const CacheContents& contents);

  // A prompt was sent to the engine, which will hold its pieces shortly. Not for drafts: one may
  // wait for long behind replies, which then would be sent after pieces that are not there yet.
  void Expect(std::string_view backend_id, std::int64_t incarnation,
              std::span<const BlockId> prompt);

  // The first token of the prompt's answer came: the engine holds all its pieces now.
  void Computed(std::string_view backend_id, std::int64_t incarnation,
                std::span<const BlockId> prompt);

  // An answer counted fewer leading pieces as cached than were believed when it was sent. The
  // engine has computed them since, so no belief goes; but an engine that is wrong about again and
  // again has drifted, and is due for a resync.
  void Correct(std::string_view backend_id, std::int64_t incarnation, std::int64_t believed_pieces,
               std::int64_t cached_pieces);

  // An attempt failed: what was only expected of it is believed no longer.
  void Retract(std::string_view backend_id, std::int64_t incarnation,
               std::span<const BlockId> prompt);

  // The engine is gone.
  void Forget(std::string_view backend_id);

  // Returns, for each engine that is believed to hold the first piece, its longest prefix. The
  // views hold until the next call that changes the index.
  std::vector<PrefixBelief> Lookup(std::span<const BlockId> prompt);

  // Returns the engines with a gap in their events, or that have drifted.
  std::vector<std::string> needs_resync() const;

  // Returns the number of beliefs, each one piece at one engine.
  std::size_t entries() const;

  // Returns the bytes that the index has allocated for its tables.
  std::size_t memory_bytes() const;

  // Returns the count of answers whose engine held less than was believed.
  std::int64_t wrong_beliefs() const { return wrong_beliefs_; }

 private:
  using Holder = Internal::Holder;

  // Returns the engine's slot when this is its current incarnation; a newer one becomes it.
  std::optional<std::size_t> Current(std::string_view backend_id, std::int64_t incarnation);
  void Empty(std::size_t slot);
  std::size_t AddHolder(std::string_view backend_id);

  std::unique_ptr<Internal::BlockTable> table_;
  std::vector<Holder> holders_;
  std::unordered_map<std::string, std::size_t, Internal::StringHash, std::equal_to<>> slots_;
  std::vector<std::int64_t> depths_;
  std::int64_t wrong_beliefs_ = 0;
};

}  // namespace kumquat
