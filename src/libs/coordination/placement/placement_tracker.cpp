#include "coordination/placement/placement_tracker.h"

#include <algorithm>
#include <cmath>

namespace kumquat::Internal {

namespace {

// How fast what other routers' requests made of a report loses its meaning.
constexpr Duration kReportHalfLife = std::chrono::milliseconds(800);

// How much of what other routers sent is guessed from this router's own dispatches; the rest is
// guessed from their average.
constexpr double kLikenessWeight = 0.5;

// A peer that is silent for longer is guessed like one that never told anything.
constexpr Duration kPeerSilence = std::chrono::milliseconds(1500);

// Peers are told again of an engine when its waiting tokens changed by this much, and while some
// wait after this time: words get lost, and a peer forgets what it isn't reminded of.
constexpr std::int64_t kToldStepTokens = 1024;
constexpr std::int64_t kToldStepHeldTokens = 8192;
constexpr Duration kTellAgainAfter = std::chrono::milliseconds(500);

// Reports that are older are not waited for.
constexpr Duration kOldestReport = std::chrono::seconds(10);

// Weight of the newest value in running averages.
constexpr double kAverageWeight = 0.05;

// Returns how much a report of this age still says, from 1 down to 0.
double TrustAt(Duration age) {
  const auto age_us = static_cast<double>(std::max(age, Duration::zero()).count());
  const double ratio = age_us / static_cast<double>(kReportHalfLife.count());
  return std::exp2(-ratio * ratio);
}

bool IsNothing(const SentLoad& load) { return load.tokens == 0 && load.held_tokens == 0; }

bool IsNear(const SentLoad& left, const SentLoad& right) {
  return std::abs(left.tokens - right.tokens) < kToldStepTokens &&
         std::abs(left.held_tokens - right.held_tokens) < kToldStepHeldTokens;
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
  // Nothing was reported by a new incarnation or sent to it, but peers may have sent something.
  const Engine unknown;
  const Engine& engine = is_known ? found->second : unknown;
  // Before the first report nothing is known of what others sent.
  const Instant measured_at = engine.measured_at.value_or(Instant::min());
  const double trust = engine.measured_at ? TrustAt(now - measured_at) : 0;
  // Other routers see what this one sees and do as it does: what it sent since the report was true
  // stands for as much from each of them, and is weighed against their average.
  const double unheard = UnheardShare(now);
  const double likeness =
      1 + unheard * kLikenessWeight * (1 - trust) * static_cast<double>(routers_ - 1);
  for (const Dispatch& dispatch : engine.dispatches) {
    const double weight = dispatch.sent_at > measured_at ? likeness : 1;
    if (dispatch.RunsAt(now)) {
      load.requests += weight;
      load.held_tokens += weight * dispatch.held_tokens;
    }
    if (!dispatch.WaitsAt(now)) continue;
    const double tokens = weight * dispatch.tokens;
    load.tokens += tokens;
    if (dispatch.is_reply) load.reply_tokens += tokens;
  }
  const double doubt = (1 - trust) * (1 - kLikenessWeight);
  const double others = trust * engine.others_tokens + unheard * doubt * engine.mean_others_tokens;
  load.tokens += others;
  load.reply_tokens += others * reply_share_;
  load.requests += trust * engine.others_requests + (1 - trust) * engine.mean_others_requests;
  // Peers' words are newer than the report, which knows of wrong beliefs: the larger one counts.
  const LoadEstimate told = ToldByPeers(backend_id, incarnation, now);
  load.tokens += std::max(0.0, told.tokens - others);
  load.reply_tokens += std::max(0.0, told.reply_tokens - others * reply_share_);
  load.held_tokens += told.held_tokens;
  return load;
}

LoadEstimate PlacementTracker::ToldByPeers(std::string_view backend_id, std::int64_t incarnation,
                                           Instant now) const {
  LoadEstimate told;
  for (const auto& [router, peer] : peers_) {
    if (!peer.IsHeard(now)) continue;
    const auto found = peer.loads.find(backend_id);
    if (found == peer.loads.end()) continue;
    const auto& [load, heard_at] = found->second;
    if (load.incarnation != incarnation || now - heard_at >= kPeerSilence) continue;
    told.tokens += static_cast<double>(load.tokens);
    told.reply_tokens += static_cast<double>(load.reply_tokens);
    told.held_tokens += static_cast<double>(load.held_tokens);
  }
  return told;
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
    const bool is_idle = IsNothing(load);
    const bool reminds = !is_idle && now - engine.told_at >= kTellAgainAfter;
    if (is_idle == IsNothing(engine.told) && IsNear(load, engine.told) && !reminds) continue;
    engine.told = load;
    engine.told_at = now;
    load.backend_id = backend_id;
    loads.push_back(std::move(load));
  }
  return loads;
}

void PlacementTracker::PeerSent(std::string_view router, std::span<const SentLoad> loads,
                                Instant now) {
  auto found = peers_.find(router);
  if (found == peers_.end()) found = peers_.emplace(router, Peer{}).first;
  Peer& peer = found->second;
  if (!peer.IsHeard(now)) peer.loads.clear();
  peer.heard_at = now;
  for (const SentLoad& load : loads) {
    const auto told = peer.loads.find(load.backend_id);
    if (told != peer.loads.end() && told->second.load.incarnation > load.incarnation) continue;
    if (IsNothing(load)) {
      if (told != peer.loads.end()) peer.loads.erase(told);
    } else {
      peer.loads.insert_or_assign(load.backend_id, ToldLoad{load, now});
    }
  }
}

bool PlacementTracker::Peer::IsHeard(Instant now) const { return now - heard_at < kPeerSilence; }

// Returns the share of the other routers whose dispatches have to be guessed.
double PlacementTracker::UnheardShare(Instant now) const {
  if (routers_ <= 1) return 0;
  const auto heard = std::count_if(peers_.begin(), peers_.end(),
                                   [&](const auto& entry) { return entry.second.IsHeard(now); });
  return std::max(0.0, 1 - static_cast<double>(heard) / static_cast<double>(routers_ - 1));
}

DispatchId PlacementTracker::Dispatched(const Candidate& candidate, const PlacementRequest& request,
                                        const PlacementChoice& choice, Instant now) {
  const DispatchId id = ++last_dispatch_;
  Engine* const engine = EngineOf(candidate.backend_id, candidate.incarnation);
  if (engine == nullptr) return id;
  const bool is_reply = request.request_class == RequestClass::kReply;
  reply_share_ = Average(reply_share_, is_reply ? 1 : 0);
  std::erase_if(engine->dispatches, [&](const Dispatch& sent) {
    return sent.ended_at && now - *sent.ended_at > kOldestReport;
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

void PlacementTracker::Forget(std::string_view backend_id) {
  const auto found = engines_.find(backend_id);
  if (found == engines_.end()) return;
  for (const Dispatch& dispatch : found->second.dispatches) engine_of_dispatch_.erase(dispatch.id);
  engines_.erase(found);
}

// Returns the engine's entry, emptied when the incarnation is newer; null when it is older.
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
