#include "coordination/membership/backend_directory.h"

#include <utility>

namespace kumquat {
namespace {

// Late heartbeats may arrive for a while after a server has gone. Its record must be kept until
// then so that they don't add the server again.
constexpr Duration kForgetAge = std::chrono::seconds(60);

}  // namespace

BackendDirectory::BackendDirectory(BackendDirectoryHooks hooks)
    : hooks_(std::move(hooks)), gossip_(&table_, hooks_.send, hooks_.random) {
  gossip_.OnChanged([this](const MemberRecord& record) { OnMemberChanged(record); });
}

void BackendDirectory::Learn(const MemberRecord& record) { gossip_.Learn(record, hooks_.clock()); }

bool BackendDirectory::Leave(std::string_view id) {
  const Member* member = table_.Find(id);
  if (!member) return false;
  MemberRecord record = member->record;
  record.MarkLeaving();
  Learn(record);
  return true;
}

void BackendDirectory::Receive(const std::string& from, const GossipMessage& message) {
  gossip_.Receive(from, message, hooks_.clock());
}

void BackendDirectory::SetNeighbours(std::vector<std::string> neighbours) {
  gossip_.SetNeighbours(std::move(neighbours));
}

void BackendDirectory::Tick() {
  table_.Forget(kForgetAge, hooks_.clock());
  gossip_.Tick();
}

// A newer incarnation at an address means that the previous server at that address is gone, even if
// it had another id and never announced that it was leaving.
void BackendDirectory::OnMemberChanged(const MemberRecord& record) {
  std::vector<MemberRecord> replaced;
  table_.ForEach([&](const Member& member) {
    const MemberRecord& other = member.record;
    if (other.id == record.id || other.leaving || other.endpoint != record.endpoint) return;
    if (other.incarnation < record.incarnation) replaced.push_back(other);
    if (other.incarnation > record.incarnation && !record.leaving) replaced.push_back(record);
  });
  if (hooks_.on_changed) hooks_.on_changed(record);
  for (MemberRecord& replaced_record : replaced) {
    replaced_record.MarkLeaving();
    Learn(replaced_record);
  }
}

}  // namespace kumquat
