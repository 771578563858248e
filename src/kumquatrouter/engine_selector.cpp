#include "engine_selector.h"

#include <algorithm>
#include <utility>

#include "coordination/membership/member_table.h"
#include "index_service.h"

namespace kumquat {
namespace {

bool Serves(const MemberRecord& record, const ModelVersion& model) {
  if (!record.backend || record.backend->kind != BackendKind::kEngine) return false;
  const auto& models = record.backend->models;
  return std::find(models.begin(), models.end(), model) != models.end();
}

bool IsUp(const MemberRecord& record) { return !record.down && !record.leaving; }

}  // namespace

EngineSelector::EngineSelector(const MemberTable* table, IndexService* index, Clock clock,
                               Random random)
    : table_(table),
      index_(index),
      clock_(std::move(clock)),
      policy_(PlacementOptions{}, std::move(random)) {}

std::optional<BackendChoice> EngineSelector::Choose(const EngineDemand& demand,
                                                    std::span<const BackendChoice> avoid,
                                                    const MayUse& may_use) {
  // Health signals may be wrong together. When they leave nothing, an engine that is said to be
  // down is better than a refusal: it costs one attempt to connect.
  for (const bool with_down : {false, true}) {
    const CandidateSet set = CandidatesFor(demand, avoid, may_use, with_down);
    last_choice_ = policy_.Choose(set.candidates, RequestOf(demand), clock_());
    if (last_choice_) return set.backends[last_choice_->index];
  }
  return std::nullopt;
}

bool EngineSelector::HasRoom(const ModelVersion& model) const {
  bool has_room = false;
  bool has_engine = false;
  bool has_down_engine = false;
  const Instant now = clock_();
  table_->ForEach([&](const Member& member) {
    const MemberRecord& record = member.record;
    if (!Serves(record, model) || record.leaving) return;
    if (record.down) {
      has_down_engine = has_down_engine || now >= member.retry_at;
      return;
    }
    has_engine = true;
    const auto own = running_.find(record.id);
    const std::int64_t own_running = own == running_.end() ? 0 : own->second;
    const BackendLoad& load = record.backend->load;
    const std::int64_t reported = load.running_requests + load.queued_requests;
    has_room = has_room || std::max(own_running, reported) < record.backend->concurrent_requests;
  });
  // When health signals leave none, those that are said to be down are tried; see Choose().
  return has_room || (!has_engine && has_down_engine);
}

bool EngineSelector::IsServed(const ModelVersion& model) const {
  bool is_served = false;
  table_->ForEach([&](const Member& member) {
    is_served = is_served || (Serves(member.record, model) && !member.record.leaving);
  });
  return is_served;
}

std::vector<std::string> EngineSelector::EnginesFor(const ModelVersion& model) const {
  std::vector<std::string> engines;
  table_->ForEach([&](const Member& member) {
    if (Serves(member.record, model) && IsUp(member.record)) engines.push_back(member.record.id);
  });
  return engines;
}

EngineDispatch EngineSelector::Dispatched(const EngineDemand& demand,
                                          const BackendChoice& backend) {
  EngineDispatch dispatch{0, backend, 0};
  ++running_[backend.backend_id];
  const CandidateSet set = CandidatesFor(demand, {}, {}, true);
  const auto place = std::find(set.backends.begin(), set.backends.end(), backend);
  if (place != set.backends.end()) {
    const Candidate& candidate =
        set.candidates[static_cast<std::size_t>(place - set.backends.begin())];
    PlacementChoice choice = last_choice_.value_or(PlacementChoice{});
    choice.missing_tokens = demand.prefix.prompt_tokens - candidate.cached_tokens;
    dispatch.believed_pieces = candidate.cached_tokens / kPieceTokens;
    dispatch.id = policy_.Dispatched(candidate, RequestOf(demand), choice, clock_());
  }
  // A draft may wait long for its turn, so what it will store is not counted on before that.
  if (demand.request_class == RequestClass::kReply) {
    index_->Expect(backend.backend_id, backend.incarnation, demand.prefix.blocks);
  }
  return dispatch;
}

void EngineSelector::FirstToken(const EngineDispatch& dispatch, const EngineDemand& demand) {
  policy_.FirstToken(dispatch.id, clock_());
  const BackendChoice& backend = dispatch.backend;
  index_->Computed(backend.backend_id, backend.incarnation, demand.prefix.blocks);
}

void EngineSelector::Finished(const EngineDispatch& dispatch, const EngineDemand& demand,
                              std::int64_t cached_tokens) {
  --running_[dispatch.backend.backend_id];
  policy_.Finished(dispatch.id, clock_());
  index_->Correct(dispatch.backend.backend_id, dispatch.backend.incarnation, demand.prefix.blocks,
                  dispatch.believed_pieces, cached_tokens / kPieceTokens);
}

void EngineSelector::Failed(const EngineDispatch& dispatch, const EngineDemand& demand) {
  --running_[dispatch.backend.backend_id];
  policy_.Failed(dispatch.id, clock_());
  index_->Retract(dispatch.backend.backend_id, dispatch.backend.incarnation, demand.prefix.blocks);
}

void EngineSelector::LoadReported(const Announcement& engine, Instant measured_at) {
  if (engine.kind != BackendKind::kEngine) return;
  index_->Observe(engine.backend_id, engine.incarnation);
  policy_.Reported(engine.backend_id, engine.incarnation, engine.load, measured_at);
}

void EngineSelector::SetRouters(std::size_t routers) {
  policy_.SetRouters(static_cast<std::int64_t>(std::max<std::size_t>(1, routers)));
}

EngineSelector::CandidateSet EngineSelector::CandidatesFor(const EngineDemand& demand,
                                                           std::span<const BackendChoice> avoid,
                                                           const MayUse& may_use,
                                                           bool with_down) const {
  const Instant now = clock_();
  CandidateSet set;
  CandidateSet avoided;
  table_->ForEach([&](const Member& member) {
    const MemberRecord& record = member.record;
    if (!Serves(record, demand.model) || record.leaving) return;
    if (record.down && (!with_down || now < member.retry_at)) return;
    if (may_use && !may_use(record.id)) return;
    const BackendChoice backend{record.id, record.incarnation};
    Candidate candidate;
    candidate.backend_id = record.id;
    candidate.incarnation = record.incarnation;
    candidate.failure_domain = record.failure_domain;
    candidate.concurrent_requests = record.backend->concurrent_requests;
    candidate.prefill_ms_per_1k_tokens = record.backend->prefill_ms_per_1k_tokens;
    for (const EngineBelief& belief : demand.beliefs) {
      if (belief.backend_id != record.id || belief.incarnation != record.incarnation) continue;
      candidate.cached_tokens = belief.pieces * kPieceTokens;
    }
    const bool is_avoided = std::find(avoid.begin(), avoid.end(), backend) != avoid.end();
    CandidateSet& target = is_avoided ? avoided : set;
    target.candidates.push_back(candidate);
    target.backends.push_back(backend);
  });
  return set.candidates.empty() ? avoided : set;
}

PlacementRequest EngineSelector::RequestOf(const EngineDemand& demand) {
  PlacementRequest request;
  request.prompt_tokens = demand.prefix.prompt_tokens;
  request.request_class = demand.request_class;
  request.prefix_hash_seed = demand.prefix.blocks.empty()
                                 ? std::hash<std::string>{}(demand.model.CallerName())
                                 : demand.prefix.blocks.front().low;
  return request;
}

}  // namespace kumquat
