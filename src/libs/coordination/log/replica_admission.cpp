// Founding the cluster, and replacing replicas that lost their disk.
//
// Founding: the member with the alphabetically first name asks all others. Only when every one
// answers that it is empty does it start an election, which needs every vote. If any member
// reports entries, no cluster is founded and empty replicas wait to be admitted.
//
// Replacing: the leader first replicates to the new replica as a learner, which doesn't vote. One
// committed entry then removes the lost replica's identity, and a second one adds the new identity.
// Successive memberships differ by one voter, so their majorities overlap, and no membership holds
// two identities of the same name.
//
// With open membership, a replica of a new name becomes an additional voter until there are
// `open_membership_voters` of them; after that it replaces the voter that has been silent longest,
// if that is for long enough. A replica that was replaced while it was disconnected keeps its
// identity and joins again like a new one.
#include <algorithm>
#include <utility>

#include "coordination/log/replica.h"
#include "utils/log.h"

namespace kumquat::Internal {
namespace {

// Multiples of the maximum election timeout without contact after which a voter may be replaced by
// a learner, and after which the leader drops a learner.
constexpr int kSilentTimeouts = 2;
// Upper limit of the voters and learners that a leader tracks.
constexpr std::size_t kMaxPeers = 16;

}  // namespace

bool Replica::IsMemberName(std::string_view name) const {
  return std::find(parts_.member_names.begin(), parts_.member_names.end(), name) !=
         parts_.member_names.end();
}

// Returns the names of the replicas that this one announces itself to while it isn't a voter.
std::set<std::string> Replica::KnownNames() const {
  std::set<std::string> names(parts_.member_names.begin(), parts_.member_names.end());
  for (const ReplicaId& voter : membership().voters) names.insert(voter.name);
  if (HasOpenMembership()) names.insert(discovered_names_.begin(), discovered_names_.end());
  names.erase(self_.name);
  return names;
}

void Replica::AnnounceIfDue() {
  if (Now() < next_announcement_) return;
  next_announcement_ = Now() + parts_.options.heartbeat_interval;
  for (const std::string& name : KnownNames()) Queue({name, 0}, term(), Join{log_.empty()});
  if (!IsVoter()) StartFoundingElectionIfPossible();
}

void Replica::StartFoundingElectionIfPossible() {
  if (campaign_ == Campaign::kFounding && Now() < election_deadline_) return;
  const std::optional<Membership> founders = FoundingMembers();
  if (!founders) return;
  std::uint64_t highest_term = term();
  for (const auto& [name, discovery] : discoveries_) {
    highest_term = std::max(highest_term, discovery.term);
  }
  quiet_until_ = Now();
  founding_members_ = *founders;
  campaign_ = Campaign::kFounding;
  votes_.clear();
  voters_quiet_for_ = Duration(0);
  log_.SetVote({highest_term + 1, self_});
  SetRole(LogRole::kCandidate);
  ResetElectionDeadline();
  for (const ReplicaId& id : founding_members_.voters) {
    if (id != self_) Queue(id, term(), Vote{0, 0, true});
  }
  CountVote(self_);
}

// Returns all members if this replica is the one that founds the cluster and each other member has
// answered within the maximum election timeout that it is empty; otherwise std::nullopt.
std::optional<Membership> Replica::FoundingMembers() const {
  const auto& names = parts_.member_names;
  if (!log_.empty() || !parts_.options.may_found_cluster || !IsMemberName(self_.name))
    return std::nullopt;
  if (*std::min_element(names.begin(), names.end()) != self_.name) return std::nullopt;
  Membership founders;
  for (const std::string& name : names) {
    if (name == self_.name) {
      founders.voters.push_back(self_);
      continue;
    }
    const auto found = discoveries_.find(name);
    if (found == discoveries_.end() || !found->second.empty) return std::nullopt;
    const Duration age = Now() - found->second.at;
    if (age > parts_.options.election_timeout_max) return std::nullopt;
    founders.voters.push_back(found->second.id);
  }
  return founders;
}

void Replica::Handle(const LogMessage& message, const Join&) {
  JoinAnswer answer{log_.empty(), {}};
  for (const ReplicaId& voter : membership().voters) answer.voters.push_back(voter.name);
  Answer(message, std::move(answer));
  if (role_ != LogRole::kLeader || !MayJoin(message.from.name)) return;
  if (membership().Contains(message.from)) return;
  const auto same_name = std::find_if(peers_.begin(), peers_.end(), [&](const auto& item) {
    return item.first.name == message.from.name && !membership().Contains(item.first);
  });
  if (same_name != peers_.end() && same_name->first != message.from) {
    if (IsInContact(same_name->first)) return;
    peers_.erase(same_name);
  }
  const auto [entry, added] = peers_.try_emplace(message.from);
  entry->second.last_contact = Now();
  if (!added) return;
  if (peers_.size() > kMaxPeers) {
    peers_.erase(entry);
    return;
  }
  entry->second.next_index = log_.last_index() + 1;
  round_requested_ = true;
  LogEvent(LogLevel::kInfo, "log_learner",
           {{"name", message.from.name}, {"storage", message.from.storage_identity}});
}

void Replica::Handle(const LogMessage& message, const JoinAnswer& answer) {
  if (!MayJoin(message.from.name)) return;
  discovered_names_.insert(answer.voters.begin(), answer.voters.end());
  discoveries_[message.from.name] = {message.from, answer.empty, message.term, Now()};
}

void Replica::ForgetSilentLearners() {
  const Duration limit = kSilentTimeouts * parts_.options.election_timeout_max;
  std::erase_if(peers_, [&](const auto& item) {
    const bool silent = Now() - item.second.last_contact > limit;
    return silent && !membership().Contains(item.first);
  });
}

void Replica::AdmitLearners() {
  if (commit_index_ < no_op_index_ || log_.membership_index() > commit_index_) return;
  for (const auto& [id, peer] : peers_) {
    const bool caught_up = peer.match_index >= commit_index_;
    if (membership().Contains(id) || !IsInContact(id) || !caught_up) continue;
    if (AdmitLearner(id, peer)) return;
  }
}

// Proposes the next step of making the learner a voter: removing the voter that it replaces, or
// adding the learner. Returns false when neither is possible now.
bool Replica::AdmitLearner(const ReplicaId& id, const PeerProgress& peer) {
  Membership wanted = membership();
  std::optional<ReplicaId> predecessor = wanted.VoterNamed(id.name);
  const bool is_full =
      HasOpenMembership() && wanted.voters.size() >= parts_.options.open_membership_voters;
  if (!predecessor && is_full) {
    const ReplicaId* silent = LongestSilentVoter();
    if (!silent) return false;
    predecessor = *silent;
  }
  if (!predecessor) {
    wanted.voters.push_back(id);
  } else {
    if (*predecessor == self_ || !IsLongSilent(*predecessor)) return false;
    std::erase(wanted.voters, *predecessor);
  }
  if (!HasQuorumContact(wanted)) return false;
  // `name` is always the learner's; with open membership a removed voter may have another name.
  LogEvent(LogLevel::kInfo, predecessor ? "log_voter_removed" : "log_voter_added",
           {{"name", id.name}, {"acknowledged_index", peer.match_index}});
  return ProposeMembership(wanted).has_value();
}

bool Replica::IsLongSilent(const ReplicaId& voter) const {
  const auto peer = peers_.find(voter);
  if (peer == peers_.end()) return false;
  const Duration silent_for = Now() - peer->second.last_contact;
  return silent_for > kSilentTimeouts * parts_.options.election_timeout_max;
}

// Returns the voter without contact for the longest time, or null when none has been silent for
// long enough to be replaced.
const ReplicaId* Replica::LongestSilentVoter() const {
  const ReplicaId* longest = nullptr;
  for (const ReplicaId& voter : membership().voters) {
    if (voter == self_ || !IsLongSilent(voter)) continue;
    const bool is_longer =
        !longest || peers_.at(voter).last_contact < peers_.at(*longest).last_contact;
    if (is_longer) longest = &voter;
  }
  return longest;
}

std::vector<ReplicaId> Replica::learners() const {
  std::vector<ReplicaId> learners;
  for (const auto& [id, peer] : peers_) {
    if (!membership().Contains(id)) learners.push_back(id);
  }
  return learners;
}

}  // namespace kumquat::Internal
