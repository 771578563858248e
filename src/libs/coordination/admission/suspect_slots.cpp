#include "coordination/admission/suspect_slots.h"

namespace kumquat {
namespace {

// A slot request without an answer is sent again after this time.
constexpr Duration kResendInterval = std::chrono::milliseconds(500);
// The clocks of two instances may differ in rate by 1 part in 100. The holder ends its lease
// earlier by that much, so that it never outlasts the lease of the owner.
constexpr std::int64_t kClockDriftDivisor = 100;

}  // namespace

SuspectSlots::SuspectSlots(std::string self, Duration lease, SuspectSlotsHooks hooks)
    : self_(std::move(self)), lease_(lease), hooks_(std::move(hooks)) {}

bool SuspectSlots::Holds(const std::string& digest, const std::string& backend_id,
                         Instant now) const {
  if (!hooks_.is_free(backend_id)) return false;
  if (hooks_.owner_of(backend_id) == self_) {
    const auto leased = leases_.find(backend_id);
    return leased == leases_.end() || now >= leased->second.ends;
  }
  const auto wanted = requests_.find({digest, backend_id});
  return wanted != requests_.end() && IsGrantValid(wanted->second, now);
}

bool SuspectSlots::IsGrantValid(const SlotRequest& wanted, Instant now) const {
  return wanted.is_granted && now < wanted.sent_at + lease_ - lease_ / kClockDriftDivisor;
}

void SuspectSlots::Request(const std::string& digest, const std::string& backend_id, Instant now) {
  const std::string owner = hooks_.owner_of(backend_id);
  if (owner.empty() || owner == self_) return;
  SlotRequest& wanted = requests_[{digest, backend_id}];
  const bool is_pending = wanted.number != 0 && wanted.owner == owner &&
                          (IsGrantValid(wanted, now) || now < wanted.sent_at + kResendInterval);
  if (is_pending) return;
  // The new number makes a late answer to the old request invalid.
  wanted = {++last_number_, owner, false, now};
  hooks_.send(owner, {SlotMessageKind::kRequest, backend_id, digest, wanted.number});
}

void SuspectSlots::OnStarted(const std::string& digest, const std::string& backend_id) {
  std::erase_if(requests_, [&](const auto& entry) {
    const auto& [key, wanted] = entry;
    if (key.first != digest || key.second == backend_id) return false;
    Release(key, wanted);
    return true;
  });
}

void SuspectSlots::OnStopped(const std::string& digest, const std::string& backend_id) {
  const auto wanted = requests_.find({digest, backend_id});
  if (wanted == requests_.end()) return;
  Release(wanted->first, wanted->second);
  requests_.erase(wanted);
}

// No slot has an empty backend server id, so this releases all slots of the request.
void SuspectSlots::Abandon(const std::string& digest) { OnStarted(digest, ""); }

void SuspectSlots::Release(const SlotKey& key, const SlotRequest& wanted) {
  hooks_.send(wanted.owner, {SlotMessageKind::kRelease, key.second, key.first, wanted.number});
}

void SuspectSlots::Receive(const std::string& from, const SlotMessage& message, Instant now) {
  if (message.kind == SlotMessageKind::kRequest) return GrantLease(from, message, now);
  if (message.kind == SlotMessageKind::kGrant) {
    const auto wanted = requests_.find({message.digest, message.backend_id});
    const bool is_current = wanted != requests_.end() && wanted->second.number == message.number &&
                            wanted->second.owner == from;
    if (is_current) wanted->second.is_granted = true;
    if (is_current && IsGrantValid(wanted->second, now)) return;
    hooks_.send(from,
                {SlotMessageKind::kRelease, message.backend_id, message.digest, message.number});
    return;
  }
  const auto leased = leases_.find(message.backend_id);
  const bool is_holder = leased != leases_.end() && leased->second.router == from &&
                         leased->second.number == message.number;
  if (is_holder) leases_.erase(leased);
}

void SuspectSlots::GrantLease(const std::string& from, const SlotMessage& message, Instant now) {
  if (hooks_.owner_of(message.backend_id) != self_) return;
  const auto leased = leases_.find(message.backend_id);
  const bool is_leased = leased != leases_.end() && now < leased->second.ends;
  const bool is_own =
      is_leased && leased->second.router == from && leased->second.digest == message.digest;
  if (is_leased && !is_own) return;
  if (!is_leased && !hooks_.is_free(message.backend_id)) return;
  // A delayed request must not replace a newer one of the same router.
  if (is_own && leased->second.number > message.number) return;
  leases_[message.backend_id] = {from, message.digest, message.number, now + lease_};
  hooks_.send(from, {SlotMessageKind::kGrant, message.backend_id, message.digest, message.number});
}

void SuspectSlots::SetRouters(const std::map<std::string, std::int64_t>& runs) {
  for (const auto& known : runs_) {
    const auto current = runs.find(known.first);
    const bool is_same_run = current != runs.end() && current->second == known.second;
    if (is_same_run) continue;
    std::erase_if(leases_, [&](const auto& entry) { return entry.second.router == known.first; });
  }
  runs_ = runs;
}

}  // namespace kumquat
