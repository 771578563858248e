#include "coordination/placement/placement_tracker.h"

#include <algorithm>
#include <cmath>

namespace kumquat::Internal {

namespace {

// Age of a report at which other routers' part of it counts half.
constexpr Duration kReportHalfLife = std::chrono::milliseconds(800);

// How much of other routers' unknown load is extrapolated from this router's own dispatches; the
// rest is taken from the average of their past load.
constexpr double kExtrapolationWeight = 0.5;

// A peer that sent nothing for this long is inactive, and its load is estimated as if it had never
// sent anything. A single load that an active peer didn't repeat for this long is ignored too.
constexpr Duration kPeerTimeout = std::chrono::milliseconds(1500);

// The load on an engine is sent to peers again when its waiting or held tokens changed by this
// much, and, while it isn't zero, after this time: messages get lost, and a peer drops a load that
// isn't repeated.
constexpr std::int64_t kResendStepTokens = 1024;
constexpr std::int64_t kResendStepHeldTokens = 8192;
constexpr Duration kResendInterval = std::chrono::milliseconds(500);

// Ended dispatches are kept, to be subtracted from reports that were measured before they ended.
// After this time they are dropped even if no later report was received.
constexpr Duration kEndedDispatchRetention = std::chrono::seconds(10);

// Weight of the newest value in running averages.
constexpr double kAverageWeight = 0.05;

// Returns the weight of a report of this age, from 1 down to 0.
double ReportWeight(Duration age) {
  const auto age_us = static_cast<double>(std::max(age, Duration::zero()).count());
  const double ratio = age_us / static_cast<double>(kReportHalfLife.count());
  return std::exp2(-ratio * ratio);
}

bool IsEmpty(const SentLoad& load) { return load.tokens == 0 && load.held_tokens == 0; }

bool IsSimilar(const SentLoad& left, const SentLoad& right) {
  return std::abs(left.tokens - right.tokens) < kResendStepTokens &&
         std::abs(left.held_tokens - right.held_tokens) < kResendStepHeldTokens;
}

double Average(double mean, double value) { return mean + kAverageWeight * (value - mean); }

}  // namespace

bool PlacementTracker::Dispatch::WaitsAt(Instant moment) const {
  if (sent_at > moment) return false;
  if (first_token_at) return *first_token_at > moment;
  return RunsAt(moment);
}

bool PlacementTracker::Dispatch::RunsAt(Instant moment) const {
  return sent_at <= moment && (!ended_at || *ended_at > moment);
}

LoadEstimate PlacementTracker::Estimate(std::string_view backend_id, std::int64_t incarnation,
                                        Instant now) const {
  LoadEstimate load;
  const auto found = engines_.find(backend_id);
  const bool is_known = found != engines_.end() && found->second.incarnation == incarnation;
  // This router has no report from a new incarnation and sent nothing to it, but peers may have
  // sent requests to it.
  const Engine unknown;
  const Engine& engine = is_known ? found->second : unknown;
  // Before the first report nothing is known about other routers' load.
  const Instant measured_at = engine.measured_at.value_or(Instant::min());
  const double report_weight = engine.measured_at ? ReportWeight(now - measured_at) : 0;
  // Other routers have the same information and decide alike. So each dispatch since the report was
  // measured stands for as much from each router whose load is unknown, weighted against the
  // average of their past load.
  const double unknown_share = UnknownRouterShare(now);
  const double own_dispatch_factor = 1 + unknown_share * kExtrapolationWeight *
                                             (1 - report_weight) *
                                             static_cast<double>(routers_ - 1);
  for (const Dispatch& dispatch : engine.dispatches) {
    const double weight = dispatch.sent_at > measured_at ? own_dispatch_factor : 1;
    if (dispatch.RunsAt(now)) {
      load.requests += weight;
      load.held_tokens += weight * dispatch.held_tokens;
    }
    if (!dispatch.WaitsAt(now)) continue;
    const double tokens = weight * dispatch.tokens;
    load.tokens += tokens;
    if (dispatch.is_reply) load.reply_tokens += tokens;
  }
  const double mean_weight = (1 - report_weight) * (1 - kExtrapolationWeight);
  const double others = report_weight * engine.others_tokens +
                        unknown_share * mean_weight * engine.mean_others_tokens;
  load.tokens += others;
  load.reply_tokens += others * reply_share_;
  load.requests +=
      report_weight * engine.others_requests + (1 - report_weight) * engine.mean_others_requests;
  // The loads that peers sent are newer than the report, but the report shows the real load where
  // routers misjudged what an engine has cached. So the larger of the two counts.
  const LoadEstimate peer_load = LoadFromPeers(backend_id, incarnation, now);
  load.tokens += std::max(0.0, peer_load.tokens - others);
  load.reply_tokens += std::max(0.0, peer_load.reply_tokens - others * reply_share_);
  load.held_tokens += peer_load.held_tokens;
  return load;
}

LoadEstimate PlacementTracker::LoadFromPeers(std::string_view backend_id, std::int64_t incarnation,
                                             Instant now) const {
  LoadEstimate peer_load;
  for (const auto& [router, peer] : peers_) {
    if (!peer.IsActive(now)) continue;
    const auto found = peer.loads.find(backend_id);
    if (found == peer.loads.end()) continue;
    const auto& [load, received_at] = found->second;
    if (load.incarnation != incarnation || now - received_at >= kPeerTimeout) continue;
    peer_load.tokens += static_cast<double>(load.tokens);
    peer_load.reply_tokens += static_cast<double>(load.reply_tokens);
    peer_load.held_tokens += static_cast<double>(load.held_tokens);
  }
  return peer_load;
}

SentLoad PlacementTracker::LoadOf(const Engine& engine, Instant now) {
  SentLoad load;
  load.incarnation = engine.incarnation;
  for (const Dispatch& dispatch : engine.dispatches) {
    if (dispatch.RunsAt(now)) load.held_tokens += static_cast<std::int64_t>(dispatch.held_tokens);
    if (!dispatch.WaitsAt(now)) continue;
    const auto tokens = static_cast<std::int64_t>(dispatch.tokens);
    load.tokens += tokens;
    if (dispatch.is_reply) load.reply_tokens += tokens;
  }
  return load;
}

std::vector<SentLoad> PlacementTracker::TakeSentLoads(Instant now) {
  std::vector<SentLoad> loads;
  for (auto& [backend_id, engine] : engines_) {
    SentLoad load = LoadOf(engine, now);
    const bool is_idle = IsEmpty(load);
    const bool resend = !is_idle && now - engine.last_sent_at >= kResendInterval;
    if (is_idle == IsEmpty(engine.last_sent_load) && IsSimilar(load, engine.last_sent_load) &&
        !resend)
      continue;
    engine.last_sent_load = load;
    engine.last_sent_at = now;
    load.backend_id = backend_id;
    loads.push_back(std::move(load));
  }
  return loads;
}

void PlacementTracker::PeersSent(std::string_view group, std::int64_t routers,
                                 std::span<const SentLoad> loads, Instant now) {
  auto found = peers_.find(group);
  if (found == peers_.end()) found = peers_.emplace(group, Peer{}).first;
  Peer& peer = found->second;
  peer.routers = routers;
  if (!peer.IsActive(now)) peer.loads.clear();
  peer.received_at = now;
  for (const SentLoad& load : loads) {
    const auto known = peer.loads.find(load.backend_id);
    if (known != peer.loads.end() && known->second.load.incarnation > load.incarnation) continue;
    if (IsEmpty(load)) {
      if (known != peer.loads.end()) peer.loads.erase(known);
    } else {
      peer.loads.insert_or_assign(load.backend_id, PeerLoad{load, now});
    }
  }
}

bool PlacementTracker::Peer::IsActive(Instant now) const {
  return now - received_at < kPeerTimeout;
}

// Returns the share of the other routers whose load is unknown and has to be estimated.
double PlacementTracker::UnknownRouterShare(Instant now) const {
  if (routers_ <= 1) return 0;
  std::int64_t active = 0;
  for (const auto& [group, peer] : peers_) {
    if (peer.IsActive(now)) active += peer.routers;
  }
  return std::max(0.0, 1 - static_cast<double>(active) / static_cast<double>(routers_ - 1));
}

DispatchId PlacementTracker::Dispatched(const Candidate& candidate, const PlacementRequest& request,
                                        const PlacementChoice& choice, Instant now) {
  const DispatchId id = ++last_dispatch_;
  Engine* const engine = EngineOf(candidate.backend_id, candidate.incarnation);
  if (engine == nullptr) return id;
  const bool is_reply = request.request_class == RequestClass::kReply;
  reply_share_ = Average(reply_share_, is_reply ? 1 : 0);
  std::erase_if(engine->dispatches, [&](const Dispatch& sent) {
    return sent.ended_at && now - *sent.ended_at > kEndedDispatchRetention;
  });
  Dispatch dispatch;
  dispatch.id = id;
  dispatch.tokens = static_cast<double>(choice.missing_tokens);
  dispatch.held_tokens = static_cast<double>(request.held_tokens);
  dispatch.is_reply = is_reply;
  dispatch.sent_at = now;
  engine->dispatches.push_back(dispatch);
  engine_of_dispatch_.emplace(id, candidate.backend_id);
  return id;
}

void PlacementTracker::FirstToken(DispatchId dispatch, Instant now) {
  Dispatch* const found = Find(dispatch);
  if (found != nullptr) found->first_token_at = now;
}

void PlacementTracker::Ended(DispatchId dispatch, Instant now) {
  Dispatch* const found = Find(dispatch);
  if (found != nullptr) {
    found->ended_at = now;
    if (found->first_token_at) {
      const double decode_us = static_cast<double>((now - *found->first_token_at).count());
      const double mean_us = Average(static_cast<double>(mean_decode_.count()), decode_us);
      mean_decode_ = Duration(static_cast<std::int64_t>(mean_us));
    }
  }
  engine_of_dispatch_.erase(dispatch);
}

void PlacementTracker::Reported(std::string_view backend_id, std::int64_t incarnation,
                                const BackendLoad& load, Instant measured_at) {
  Engine* const engine = EngineOf(backend_id, incarnation);
  if (engine == nullptr) return;
  if (engine->measured_at && *engine->measured_at >= measured_at) return;
  engine->measured_at = measured_at;
  double own_tokens = 0;
  double own_requests = 0;
  for (const Dispatch& dispatch : engine->dispatches) {
    if (dispatch.WaitsAt(measured_at)) own_tokens += dispatch.tokens;
    if (dispatch.RunsAt(measured_at)) ++own_requests;
  }
  const auto tokens = static_cast<double>(load.queued_tokens);
  const auto requests = static_cast<double>(load.running_requests + load.queued_requests);
  engine->others_tokens = std::max(0.0, tokens - own_tokens);
  engine->others_requests = std::max(0.0, requests - own_requests);
  engine->mean_others_tokens = Average(engine->mean_others_tokens, engine->others_tokens);
  engine->mean_others_requests = Average(engine->mean_others_requests, engine->others_requests);
  std::erase_if(engine->dispatches, [&](const Dispatch& dispatch) {
    return dispatch.ended_at && *dispatch.ended_at <= measured_at;
  });
}

void PlacementTracker::RemoveEngine(std::string_view backend_id) {
  const auto found = engines_.find(backend_id);
  if (found == engines_.end()) return;
  for (const Dispatch& dispatch : found->second.dispatches) engine_of_dispatch_.erase(dispatch.id);
  engines_.erase(found);
}

// Returns the engine's entry, reset if the incarnation is newer; null if the incarnation is older.
PlacementTracker::Engine* PlacementTracker::EngineOf(std::string_view backend_id,
                                                     std::int64_t incarnation) {
  auto found = engines_.find(backend_id);
  if (found == engines_.end()) {
    found = engines_.emplace(backend_id, Engine{}).first;
    found->second.incarnation = incarnation;
  }
  Engine& engine = found->second;
  if (incarnation < engine.incarnation) return nullptr;
  if (incarnation > engine.incarnation) {
    for (const Dispatch& dispatch : engine.dispatches) engine_of_dispatch_.erase(dispatch.id);
    engine = Engine{};
    engine.incarnation = incarnation;
  }
  return &engine;
}

PlacementTracker::Dispatch* PlacementTracker::Find(DispatchId dispatch) {
  const auto entry = engine_of_dispatch_.find(dispatch);
  if (entry == engine_of_dispatch_.end()) return nullptr;
  auto& dispatches = engines_.at(entry->second).dispatches;
  const auto found = std::find_if(dispatches.begin(), dispatches.end(),
                                  [&](const Dispatch& sent) { return sent.id == dispatch; });
  return found == dispatches.end() ? nullptr : &*found;
}

}  // namespace kumquat::Internal
