// The operators' two lists with their revisions, and the rules by which an edit is taken.
#pragma once

#include <QCborValue>
#include <cstdint>
#include <deque>
#include <string>

#include "protocol/control_messages.h"
#include "protocol/lists.h"

namespace kumquat {

// An edit carries the revision that it replaces. The one that replaces the current revision is
// taken when it leaves both lists valid and neither of them empty. An edit that was taken before
// gets its first answer again, as long as its revision is among the last kRememberedEdits; any
// other edit of an older or unknown revision is a conflict.
class VersionedLists {
 public:
  static constexpr std::size_t kRememberedEdits = 1024;

  ListAnswer Apply(const ListEdit& edit);

  const Lists& lists() const { return lists_; }
  std::int64_t RevisionOf(ListName list) const;

  // Returns the list's JSON form.
  QJsonObject Content(ListName list) const;

  QCborValue Snapshot() const;
  // False when the value is not a snapshot; nothing has changed then.
  bool Restore(const QCborValue& snapshot);

 private:
  // The digests of the edits that led to the last revisions of one list; the newest is the last.
  using Digests = std::deque<QByteArray>;

  std::int64_t& Revision(ListName list);
  Digests& DigestsOf(ListName list);
  bool WasTaken(const ListEdit& edit, const QByteArray& digest);

  Lists lists_;
  Digests plans_digests_;
  Digests allowances_digests_;
};

}  // namespace kumquat
