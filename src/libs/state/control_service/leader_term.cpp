#include "state/control_service/leader_term.h"

#include <utility>

namespace kumquat::Internal {
namespace {

Revisions RevisionsOf(const Lists& lists) {
  return {lists.plans_revision, lists.allowances_revision};
}

ShareLedgerOptions LedgerOptions(Duration lease) {
  ShareLedgerOptions options;
  options.lease = lease;
  return options;
}

}  // namespace

LeaderTerm::LeaderTerm(std::uint64_t term, Duration lease, const ControlState& state, Instant now)
    : term_(term),
      lease_(lease),
      began_(now),
      began_at_(state.time()),
      in_force_(lease, now),
      shares_(LedgerOptions(lease), now) {
  SetLists(state.lists().lists());
}

LogicalTime LeaderTerm::TimeAt(Instant now) const {
  return began_at_ + std::chrono::duration_cast<LogicalTime>(now - began_);
}

std::optional<std::int64_t> LeaderTerm::SetLists(const Lists& lists) {
  const Revisions revisions = RevisionsOf(lists);
  if (revisions == revisions_) return std::nullopt;
  const bool plans_changed = revisions.plans != revisions_.plans;
  revisions_ = revisions;
  shares_.SetLists(lists);
  return plans_changed ? revisions.plans : revisions.allowances;
}

std::vector<ShareGrant> LeaderTerm::Renew(const LeaseRequest& request, Instant now) {
  in_force_.OnReport(request.router_id, request.router_incarnation,
                     {request.plans_revision, request.allowances_revision});
  return shares_.Renew(request, now);
}

LeaseAnswer LeaderTerm::Answer(const LeaseRequest& request, std::vector<ShareGrant> shares,
                               const Lists& lists, Instant received) {
  in_force_.OnLeaseGranted(request.router_id, request.router_incarnation, RevisionsOf(lists),
                           received);
  LeaseAnswer answer;
  answer.term = static_cast<std::int64_t>(term_);
  answer.lease_ms = lease_ / std::chrono::milliseconds(1);
  answer.plans_revision = lists.plans_revision;
  answer.allowances_revision = lists.allowances_revision;
  if (request.plans_revision != lists.plans_revision) answer.plans = lists.plans;
  if (request.allowances_revision != lists.allowances_revision) {
    answer.allowances = lists.allowances;
  }
  answer.shares = std::move(shares);
  return answer;
}

bool LeaderTerm::InForce(ListName list, std::int64_t revision, Instant now) const {
  return in_force_.InForce(list, revision, now);
}

}  // namespace kumquat::Internal
