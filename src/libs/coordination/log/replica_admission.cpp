// Founding the cluster, and replacing replicas that lost their disk.
//
// Founding: the member with the first name asks all others; only when every one answers that it is
// empty does it hold an election that needs every vote. An empty replica that any other tells of
// entries waits to be admitted instead.
//
// Replacing: the leader brings the newcomer up to date without counting it. One committed entry
// then removes the lost identity, and a second one adds the new identity. Between any two
// neighbouring memberships one voter differs, so their majorities overlap, and no membership holds
// both identities of a name.
#include <algorithm>
#include <utility>

#include "coordination/log/replica.h"
#include "utils/log.h"

namespace kumquat::Internal {
namespace {

// How many of the longest election timeouts a voter must be silent before a newcomer of its name
// may take its place, and a learner before it is forgotten.
constexpr int kSilentTimeouts = 2;

}  // namespace

bool Replica::IsMemberName(std::string_view name) const {
  return std::find(parts_.member_names.begin(), parts_.member_names.end(), name) !=
         parts_.member_names.end();
}

void Replica::AnnounceIfDue() {
  if (Now() < next_announcement_) return;
  next_announcement_ = Now() + parts_.options.heartbeat_interval;
  for (const std::string& name : parts_.member_names) {
    if (name != self_.name) Queue({name, 0}, term(), Join{log_.empty()});
  }
  StartBootstrapIfPossible();
}

void Replica::StartBootstrapIfPossible() {
  if (campaign_ == Campaign::kBootstrap && Now() < election_deadline_) return;
  const std::optional<Membership> founders = FoundingMembers();
  if (!founders) return;
  std::uint64_t highest_term = term();
  for (const auto& [name, discovery] : discoveries_) {
    highest_term = std::max(highest_term, discovery.term);
  }
  quiet_until_ = Now();
  founding_members_ = *founders;
  campaign_ = Campaign::kBootstrap;
  votes_.clear();
  log_.SetVote({highest_term + 1, self_});
  SetRole(LogRole::kCandidate);
  ResetElectionDeadline();
  for (const ReplicaId& id : founding_members_.voters) {
    if (id != self_) Queue(id, term(), Vote{0, 0, true});
  }
  CountVote(self_);
}

// Returns all members, when this replica is the one to found the cluster and each of them has
// lately answered that it is empty.
std::optional<Membership> Replica::FoundingMembers() const {
  const auto& names = parts_.member_names;
  if (!log_.empty() || !IsMemberName(self_.name)) return std::nullopt;
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
  Answer(message, JoinAnswer{log_.empty()});
  if (role_ != LogRole::kLeader || !IsMemberName(message.from.name)) return;
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
  entry->second.next_index = log_.last_index() + 1;
  round_wanted_ = true;
  LogEvent(LogLevel::kInfo, "log_learner",
           {{"name", message.from.name}, {"storage", message.from.storage_identity}});
}

void Replica::Handle(const LogMessage& message, const JoinAnswer& answer) {
  if (!IsMemberName(message.from.name)) return;
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

// Takes the next step towards making the learner a voter; false when none can be taken now.
bool Replica::AdmitLearner(const ReplicaId& id, const PeerProgress& peer) {
  Membership wanted = membership();
  const std::optional<ReplicaId> predecessor = wanted.VoterNamed(id.name);
  if (!predecessor) {
    wanted.voters.push_back(id);
  } else {
    if (*predecessor == self_) return false;
    const Duration silent_for = Now() - peers_.at(*predecessor).last_contact;
    if (silent_for <= kSilentTimeouts * parts_.options.election_timeout_max) return false;
    std::erase(wanted.voters, *predecessor);
    if (!HasQuorumContact(wanted)) return false;
  }
  LogEvent(LogLevel::kInfo, predecessor ? "log_voter_removed" : "log_voter_added",
           {{"name", id.name}, {"acknowledged_index", peer.match_index}});
  return ProposeMembership(wanted).has_value();
}

std::vector<ReplicaId> Replica::learners() const {
  std::vector<ReplicaId> learners;
  for (const auto& [id, peer] : peers_) {
    if (!membership().Contains(id)) learners.push_back(id);
  }
  return learners;
}

}  // namespace kumquat::Internal
