#include "state/index/prefix_index.h"

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "property.h"

namespace kumquat {
namespace {

constexpr int kEngines = 3;
constexpr std::size_t kEngineBlocks = 6;
constexpr std::size_t kLargeIndex = 10'000;
constexpr std::size_t kSmallIndex = 10;

// Organisation, weights version and text up to the end of a piece.
using ContentKey = std::tuple<std::string, std::string, std::string>;

// What a prompt is made of, as the oracle sees it: scope and text, no hashes.
struct Prompt {
  CacheScope scope;
  std::string letters;

  ContentKey Key(std::size_t pieces) const {
    return std::tuple(scope.organisation, scope.model.version, letters.substr(0, pieces));
  }
};

std::vector<BlockId> Identify(const Prompt& prompt) {
  std::string text;
  for (const char letter : prompt.letters) text.append(kPieceBytes, letter);
  const std::array messages{PromptMessage{.role = "", .content = text}};
  // Two bytes end the role's field, so each piece holds the end of the one before.
  return IdentifyPrefix(prompt.scope, messages).blocks;
}

rc::Gen<Prompt> AnyPrompt() {
  return rc::gen::exec([] {
    Prompt prompt;
    prompt.scope.organisation = *rc::gen::element<std::string>("a", "b");
    prompt.scope.model = {"m", "", *rc::gen::element<std::string>("1", "2")};
    const int length = *rc::gen::inRange(1, 5);
    for (int at = 0; at < length; ++at) prompt.letters += *rc::gen::element('x', 'y');
    return prompt;
  });
}

// An engine that stores blocks by identity and remembers what each was computed from.
struct FakeEngine {
  std::string id;
  std::int64_t incarnation = 1;
  std::int64_t last_sequence = 0;
  std::deque<std::pair<BlockId, ContentKey>> blocks{};
  // Events that were not yet published.
  std::vector<BlockChange> pending{};

  auto Find(const BlockId& block) {
    return std::find_if(blocks.begin(), blocks.end(),
                        [&](const auto& held) { return held.first == block; });
  }

  void Change(const BlockId& block, bool stored) {
    ++last_sequence;
    pending.push_back({.block = block, .stored = stored});
  }

  void Store(const BlockId& block, const ContentKey& key) {
    const auto found = Find(block);
    if (found != blocks.end()) {
      blocks.erase(found);
    } else {
      Change(block, true);
    }
    blocks.emplace_back(block, key);
    if (blocks.size() <= kEngineBlocks) return;
    Change(blocks.front().first, false);
    blocks.pop_front();
  }

  // Runs a prompt: returns the leading pieces that were cached, after checking what they are.
  std::int64_t Run(const Prompt& prompt, std::span<const BlockId> ids) {
    std::int64_t cached = 0;
    for (std::size_t at = 0; at < ids.size(); ++at) {
      const auto found = Find(ids[at]);
      if (found == blocks.end()) break;
      RC_ASSERT(found->second == prompt.Key(at + 1));
      ++cached;
    }
    for (std::size_t at = 0; at < ids.size(); ++at) Store(ids[at], prompt.Key(at + 1));
    return cached;
  }

  CacheEventBatch TakeBatch() {
    const auto count = static_cast<std::int64_t>(pending.size());
    CacheEventBatch batch{.backend_id = id,
                          .incarnation = incarnation,
                          .first_sequence = last_sequence - count + 1,
                          .last_sequence = last_sequence,
                          .changes = std::exchange(pending, {})};
    return batch;
  }

  CacheContents Contents() const {
    CacheContents contents{
        .backend_id = id, .incarnation = incarnation, .last_sequence = last_sequence, .blocks = {}};
    for (const auto& held : blocks) contents.blocks.push_back(held.first);
    return contents;
  }

  void Restart() {
    ++incarnation;
    last_sequence = 0;
    blocks.clear();
    pending.clear();
  }
};

// The index among engines whose events are late, lost, repeated and out of order.
class IndexWorld {
 public:
  explicit IndexWorld(std::size_t max_entries) : max_entries_(max_entries), index_(max_entries) {
    for (int at = 0; at < kEngines; ++at) {
      engines_.push_back(FakeEngine{.id = "engine-" + std::to_string(at)});
      index_.Observe(engines_.back().id, 1);
    }
  }

  void Step() {
    FakeEngine& engine = engines_[*rc::gen::inRange(0, kEngines)];
    switch (
        *rc::gen::weightedElement<int>({{8, 0}, {4, 1}, {4, 2}, {2, 3}, {1, 4}, {1, 5}, {1, 6}})) {
      case 0:
        Send(*AnyPrompt());
        break;
      case 1:
        in_flight_.push_back(engine.TakeBatch());
        break;
      case 2:
        DeliverOne();
        break;
      case 3:
        if (!in_flight_.empty()) in_flight_.erase(in_flight_.begin());
        break;
      case 4:
        engine.Restart();
        break;
      case 5:
        if (*rc::gen::arbitrary<bool>()) index_.Observe(engine.id, engine.incarnation);
        index_.Replace(engine.Contents());
        break;
      default:
        SendAndFail(engine, *AnyPrompt());
        break;
    }
    RC_ASSERT(index_.entries() <= max_entries_);
  }

  // Every belief must be about something that this incarnation was sent under the same scope.
  std::vector<PrefixBelief> CheckedLookup(const Prompt& prompt) {
    const auto ids = Identify(prompt);
    auto beliefs = index_.Lookup(ids);
    for (const PrefixBelief& belief : beliefs) {
      const auto key =
          std::tuple(std::string(belief.backend_id), belief.incarnation, prompt.Key(belief.pieces));
      RC_ASSERT(sent_.contains(key));
    }
    return beliefs;
  }

  // Ends the trouble: what is still pending arrives, and each engine says how far its events go.
  void Settle() {
    for (const CacheEventBatch& batch : in_flight_) index_.Apply(batch);
    for (FakeEngine& engine : engines_) index_.Apply(engine.TakeBatch());
    for (FakeEngine& engine : engines_) {
      const auto due = index_.needs_resync();
      if (std::find(due.begin(), due.end(), engine.id) == due.end()) continue;
      RC_ASSERT(index_.Replace(engine.Contents()));
    }
    RC_ASSERT(index_.needs_resync().empty());
  }

  void CheckEqualsTruth() {
    std::size_t held = 0;
    for (FakeEngine& engine : engines_) held += engine.blocks.size();
    RC_ASSERT(index_.entries() == held);
    for (FakeEngine& engine : engines_) {
      for (const auto& [block, key] : engine.blocks) {
        const auto beliefs = index_.Lookup(std::array{block});
        RC_ASSERT(std::any_of(beliefs.begin(), beliefs.end(), [&](const PrefixBelief& belief) {
          return belief.backend_id == engine.id && belief.incarnation == engine.incarnation;
        }));
      }
    }
  }

 private:
  // Sends a prompt where the longest prefix is believed; the engine checks the incarnation.
  void Send(const Prompt& prompt) {
    const auto ids = Identify(prompt);
    FakeEngine* engine = &engines_[*rc::gen::inRange(0, kEngines)];
    std::int64_t incarnation = engine->incarnation;
    std::int64_t longest = 0;
    for (const PrefixBelief& belief : CheckedLookup(prompt)) {
      if (belief.pieces <= longest) continue;
      longest = belief.pieces;
      engine = &engines_[belief.backend_id.back() - '0'];
      incarnation = belief.incarnation;
    }
    const std::string backend_id = engine->id;
    Expect(backend_id, incarnation, prompt, ids);
    if (incarnation != engine->incarnation) {
      index_.Observe(backend_id, engine->incarnation);
      return;
    }
    const std::int64_t cached = engine->Run(prompt, ids);
    index_.Computed(backend_id, incarnation, ids);
    index_.Correct(backend_id, incarnation, longest, cached);
  }

  void SendAndFail(const FakeEngine& engine, const Prompt& prompt) {
    const auto ids = Identify(prompt);
    Expect(engine.id, engine.incarnation, prompt, ids);
    index_.Retract(engine.id, engine.incarnation, ids);
  }

  void Expect(const std::string& backend_id, std::int64_t incarnation, const Prompt& prompt,
              std::span<const BlockId> ids) {
    index_.Expect(backend_id, incarnation, ids);
    for (std::size_t at = 1; at <= ids.size(); ++at) {
      sent_.insert(std::tuple(backend_id, incarnation, prompt.Key(at)));
    }
  }

  void DeliverOne() {
    if (in_flight_.empty()) return;
    const auto at = *rc::gen::inRange<std::size_t>(0, in_flight_.size());
    const CacheEventBatch batch = in_flight_[at];
    if (*rc::gen::inRange(0, 4) != 0) in_flight_.erase(in_flight_.begin() + static_cast<int>(at));
    index_.Apply(batch);
  }

  std::size_t max_entries_;
  PrefixIndex index_;
  std::vector<FakeEngine> engines_;
  std::vector<CacheEventBatch> in_flight_;
  std::set<std::tuple<std::string, std::int64_t, ContentKey>> sent_;
};

void RunSteps(IndexWorld& world) {
  const int steps = *rc::gen::inRange(0, 120);
  for (int step = 0; step < steps; ++step) world.Step();
}

TEST_CASE("No belief crosses organisation, weights or incarnation, and a resync converges") {
  CheckProperty("oracle", [] {
    IndexWorld world(kLargeIndex);
    RunSteps(world);
    world.Settle();
    world.CheckEqualsTruth();
  });
}

TEST_CASE("A full index stays within its bound and its beliefs stay sound") {
  CheckProperty("bounded", [] {
    IndexWorld world(kSmallIndex);
    RunSteps(world);
    world.Settle();
    world.CheckedLookup(*AnyPrompt());
  });
}

TEST_CASE("An engine that is wrong about again and again is due for a resync") {
  PrefixIndex index(kLargeIndex);
  index.Observe("engine", 1);
  for (int answer = 0; answer < 20; ++answer) index.Correct("engine", 1, 2, answer % 3);
  CHECK(index.needs_resync() == std::vector<std::string>{"engine"});
  CHECK(index.wrong_beliefs() == 14);
}

TEST_CASE("An engine that was forgotten comes back only when observed") {
  PrefixIndex index(kLargeIndex);
  const BlockId block{.high = 1, .low = 1};
  const CacheEventBatch batch{.backend_id = "engine",
                              .incarnation = 1,
                              .first_sequence = 1,
                              .last_sequence = 1,
                              .changes = {{.block = block}}};
  CHECK(index.Apply(batch) == BatchOutcome::kStale);
  index.Observe("engine", 1);
  CHECK(index.Apply(batch) == BatchOutcome::kApplied);
  CHECK(index.Apply(batch) == BatchOutcome::kStale);
  CHECK(index.needs_resync().empty());
  CHECK(index.Lookup(std::array{block}).size() == 1);
  index.Forget("engine");
  CHECK(index.Lookup(std::array{block}).empty());
  CHECK(index.Apply(batch) == BatchOutcome::kStale);
}

}  // namespace
}  // namespace kumquat
