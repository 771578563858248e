// Chooses engines for chat requests from what membership, the prefix index and the load reports
// say.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "coordination/placement/placement.h"
#include "coordination/prefix/prefix_identity.h"
#include "coordination/requests/backend_choice.h"
#include "index_messages.h"
#include "protocol/announcement.h"
#include "protocol/lists.h"
#include "utils/hooks.h"

namespace kumquat {

class IndexService;
class MemberTable;

// What a request asks of its engine.
struct EngineDemand {
  ModelVersion model;
  PromptPrefix prefix;
  RequestClass request_class = RequestClass::kReply;
  // What engines are believed to hold of the prefix.
  std::vector<EngineBelief> beliefs;
};

// One attempt that went out to an engine.
struct EngineDispatch {
  DispatchId id = 0;
  BackendChoice backend;
  // Leading pieces that the engine was believed to hold.
  std::int64_t believed_pieces = 0;
};

class EngineSelector {
 public:
  // Says whether the request may go to this engine; used to keep suspects apart.
  using MayUse = std::function<bool(const std::string& backend_id)>;

  EngineSelector(const MemberTable* table, IndexService* index, Clock clock, Random random);

  // Returns the engine for the next attempt: none of `avoid` where another one can serve.
  std::optional<BackendChoice> Choose(const EngineDemand& demand,
                                      std::span<const BackendChoice> avoid, const MayUse& may_use);

  // Whether an engine with this model has a free place, by this router's picture.
  bool HasRoom(const ModelVersion& model) const;

  // Whether any engine that is not leaving serves this model.
  bool IsServed(const ModelVersion& model) const;

  // Returns the engines that are up and serve this model.
  std::vector<std::string> EnginesFor(const ModelVersion& model) const;

  // The attempt goes out to the engine that was chosen.
  EngineDispatch Dispatched(const EngineDemand& demand, const BackendChoice& backend);
  void FirstToken(const EngineDispatch& dispatch, const EngineDemand& demand);
  void Finished(const EngineDispatch& dispatch, const EngineDemand& demand,
                std::int64_t cached_tokens);
  void Failed(const EngineDispatch& dispatch, const EngineDemand& demand);

  void LoadReported(const Announcement& engine, Instant measured_at);
  void SetRouters(std::size_t routers);

  // What routers tell each other of the work that they sent and that still waits.
  std::vector<SentLoad> TakeSentLoads() { return policy_.TakeSentLoads(clock_()); }
  void PeerSent(std::string_view router, std::span<const SentLoad> loads) {
    policy_.PeerSent(router, loads, clock_());
  }

 private:
  // Candidates with the members that they stand for.
  struct CandidateSet {
    std::vector<Candidate> candidates;
    std::vector<BackendChoice> backends;
  };

  CandidateSet CandidatesFor(const EngineDemand& demand, std::span<const BackendChoice> avoid,
                             const MayUse& may_use, bool with_down) const;
  static PlacementRequest RequestOf(const EngineDemand& demand);

  const MemberTable* table_;
  IndexService* index_;
  Clock clock_;
  PlacementPolicy policy_;
  std::map<std::string, std::int64_t> running_;
  std::optional<PlacementChoice> last_choice_;
};

}  // namespace kumquat
