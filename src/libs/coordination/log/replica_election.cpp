// Leader election: pre-votes, votes and founding votes.
#include <algorithm>

#include "coordination/log/replica.h"
#include "utils/log.h"

namespace kumquat::Internal {

void Replica::ResetElectionDeadline() {
  SetElectionDeadline(parts_.options.election_timeout_min, parts_.options.election_timeout_max);
}

void Replica::SetElectionDeadline(Duration lowest, Duration highest) {
  const Duration spread = highest - lowest;
  const auto steps = static_cast<std::uint64_t>(spread.count()) + 1;
  const Duration drawn{static_cast<std::int64_t>(parts_.random() % steps)};
  election_deadline_ = std::max(Now(), quiet_until_) + lowest + drawn;
}

// A leader counts as being in contact with itself; it steps down in LeaderTick() when it loses
// contact with a majority.
bool Replica::HasRecentLeaderContact() const {
  if (role_ == LogRole::kLeader) return true;
  if (!last_leader_contact_) return false;
  return Now() - *last_leader_contact_ < parts_.options.election_timeout_min;
}

bool Replica::IsUpToDate(std::uint64_t last_index, std::uint64_t last_term) const {
  if (last_term != log_.last_term()) return last_term > log_.last_term();
  return last_index >= log_.last_index();
}

void Replica::StartPreVote() {
  BecomeFollower(term(), std::nullopt);
  ResetElectionDeadline();
  campaign_ = Campaign::kPreVote;
  RequestVotes(term() + 1, PreVote{log_.last_index(), log_.last_term()});
  CountVote(self_);
}

void Replica::StartVote() {
  log_.SetVote({term() + 1, self_});
  ResetElectionDeadline();
  campaign_ = Campaign::kVote;
  votes_.clear();
  voters_quiet_for_ = Now() - last_allegiance_;
  SetRole(LogRole::kCandidate);
  RequestVotes(term(), Vote{log_.last_index(), log_.last_term(), false});
  CountVote(self_);
}

void Replica::RequestVotes(std::uint64_t message_term, const LogMessage::Body& body) {
  for (const ReplicaId& voter : membership().voters) {
    if (voter != self_) Queue(voter, message_term, body);
  }
}

// A candidate may count its own vote before it is synced: vote requests to others are sent only
// after that sync, and a sole voter commits an entry only after a sync, which also covers its vote.
void Replica::CountVote(const ReplicaId& from) {
  const bool founding = campaign_ == Campaign::kFounding;
  const Membership& electorate = founding ? founding_members_ : membership();
  if (!electorate.Contains(from)) return;
  votes_.insert(from);
  const std::size_t needed = founding ? electorate.voters.size() : electorate.voters.size() / 2 + 1;
  if (votes_.size() < needed) return;
  if (campaign_ == Campaign::kPreVote) {
    StartVote();
  } else if (founding) {
    BecomeLeader(founding_members_);
  } else {
    BecomeLeader(std::nullopt);
  }
}

void Replica::Handle(const LogMessage& message, const PreVote& request) {
  if (IsQuiet()) return;
  const bool granted = message.term > term() && !HasRecentLeaderContact() &&
                       IsUpToDate(request.last_index, request.last_term);
  Answer(message, PreVoteAnswer{granted, message.term});
}

void Replica::Handle(const LogMessage& message, const PreVoteAnswer& answer) {
  if (campaign_ != Campaign::kPreVote || !answer.granted) return;
  if (answer.asked_term == term() + 1) CountVote(message.from);
}

void Replica::Handle(const LogMessage& message, const Vote& request) {
  const bool may_grant_founding = request.bootstrap && log_.empty();
  if (IsQuiet() && !may_grant_founding) return;
  const bool refused = request.bootstrap ? !log_.empty() : HasRecentLeaderContact();
  if (refused) {
    Answer(message, VoteAnswer{false});
    return;
  }
  if (message.term > term()) BecomeFollower(message.term, std::nullopt);
  const bool granted = message.term == term() && MayVoteFor(message.from, request);
  if (granted) {
    if (!log_.vote().voted_for) log_.SetVote({term(), message.from});
    if (request.bootstrap) quiet_until_ = Now();
    ResetElectionDeadline();
  }
  Answer(message, VoteAnswer{granted, Now() - last_allegiance_});
}

void Replica::Handle(const LogMessage& message, const VoteAnswer& answer) {
  const bool voting = campaign_ == Campaign::kVote || campaign_ == Campaign::kFounding;
  if (!voting || !answer.granted || message.term != term()) return;
  voters_quiet_for_ = std::min(voters_quiet_for_, answer.quiet_for);
  CountVote(message.from);
}

bool Replica::MayVoteFor(const ReplicaId& candidate, const Vote& request) const {
  const std::optional<ReplicaId>& voted_for = log_.vote().voted_for;
  if (voted_for && *voted_for != candidate) return false;
  return IsUpToDate(request.last_index, request.last_term);
}

}  // namespace kumquat::Internal
