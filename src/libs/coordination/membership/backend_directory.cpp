#include "coordination/membership/backend_directory.h"

#include <utility>

namespace kumquat {
namespace {

// A late heartbeat may still come for a while after a server has gone; it must find the note that
// says so.
constexpr Duration kForgetAfter = std::chrono::seconds(60);

}  // namespace

BackendDirectory::BackendDirectory(BackendDirectoryHooks hooks)
    : hooks_(std::move(hooks)), gossip_(&table_, hooks_.send, hooks_.random) {
  gossip_.OnChanged([this](const MemberRecord& record) { NoteChanged(record); });
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
  table_.Forget(kForgetAfter, hooks_.clock());
  gossip_.Tick();
}

// A later incarnation at an address means that whoever had the address before is gone, also when
// it went by another id and never said so.
void BackendDirectory::NoteChanged(const MemberRecord& record) {
  std::vector<MemberRecord> replaced;
  table_.ForEach([&](const Member& member) {
    const MemberRecord& other = member.record;
    if (other.id == record.id || other.leaving || other.endpoint != record.endpoint) return;
    if (other.incarnation < record.incarnation) replaced.push_back(other);
    if (other.incarnation > record.incarnation && !record.leaving) replaced.push_back(record);
  });
  if (hooks_.on_changed) hooks_.on_changed(record);
  for (MemberRecord& gone : replaced) {
    gone.MarkLeaving();
    Learn(gone);
  }
}

}  // namespace kumquat
