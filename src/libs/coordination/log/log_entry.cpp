#include "coordination/log/log_entry.h"

#include "coordination/log/log_codec.h"

namespace kumquat {

bool Membership::Contains(const ReplicaId& id) const {
  for (const ReplicaId& voter : voters) {
    if (voter == id) return true;
  }
  return false;
}

std::optional<ReplicaId> Membership::VoterNamed(std::string_view name) const {
  for (const ReplicaId& voter : voters) {
    if (voter.name == name) return voter;
  }
  return std::nullopt;
}

std::string EncodeMembership(const Membership& membership) {
  return Internal::ToBytes(Internal::ToCbor(membership));
}

std::optional<Membership> DecodeMembership(std::string_view bytes) {
  Membership membership;
  if (!Internal::FromCbor(Internal::FromBytes(bytes), &membership)) return std::nullopt;
  return membership;
}

}  // namespace kumquat
