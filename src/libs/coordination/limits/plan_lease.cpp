#include "coordination/limits/plan_lease.h"

#include <algorithm>

#include "coordination/limits/usable_lease.h"

namespace kumquat {

PlanLease::PlanLease(PlanLeaseOptions options) : outage_(options.startup_quiet) {}

bool PlanLease::Apply(const LeaseAnswer& answer, Instant sent) {
  if (answer.term < term_) return false;
  if (answer.plans_revision < lists_.plans_revision) return false;
  if (answer.allowances_revision < lists_.allowances_revision) return false;
  const bool needs_plans = answer.plans_revision > lists_.plans_revision;
  const bool needs_allowances = answer.allowances_revision > lists_.allowances_revision;
  if (needs_plans && !answer.plans) return false;
  if (needs_allowances && !answer.allowances) return false;

  term_ = answer.term;
  if (needs_plans) lists_.plans = *answer.plans;
  if (needs_allowances) lists_.allowances = *answer.allowances;
  lists_.plans_revision = answer.plans_revision;
  lists_.allowances_revision = answer.allowances_revision;
  voters_ = answer.voters;
  const Instant end = sent + UsableLease(std::chrono::milliseconds(answer.lease_ms));
  lease_end_ = std::max(lease_end_.value_or(end), end);
  return true;
}

void PlanLease::OnProbe(const std::string& voter, ProbeResult result, Instant sent, Instant seen) {
  outage_.OnProbe(voter, result, sent, seen);
}

bool PlanLease::MayServe(Instant now) const {
  if (!lease_end_) return false;
  return now < *lease_end_ || OutageExtendsLease(*lease_end_, now);
}

bool PlanLease::OutageExtendsLease(Instant lease_end, Instant now) const {
  return outage_.IsProvenSince(voters_, lease_end, now);
}

}  // namespace kumquat
