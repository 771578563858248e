#include "state/control/versioned_lists.h"

#include <QCborArray>
#include <QCborMap>
#include <QCryptographicHash>
#include <utility>

#include "protocol/json_fields.h"

namespace kumquat {
namespace {

// Both lists as an edit would leave them.
struct EditedLists {
  PlanList plans;
  AllowanceList allowances;
  // The edited list in its normal form, in which fields that were left out stand.
  QJsonObject content;
};

std::optional<EditedLists> Edited(const Lists& lists, const ListEdit& edit, std::string* reason) {
  EditedLists edited{lists.plans, lists.allowances, {}};
  if (edit.list == ListName::kPlans) {
    auto plans = ParsePlanList(edit.content, reason);
    if (!plans) return std::nullopt;
    edited.content = ToJson(*plans);
    edited.plans = std::move(*plans);
    return edited;
  }
  auto allowances = ParseAllowanceList(edit.content, reason);
  if (!allowances) return std::nullopt;
  edited.content = ToJson(*allowances);
  edited.allowances = std::move(*allowances);
  return edited;
}

QByteArray DigestOf(const QJsonObject& content) {
  return QCryptographicHash::hash(QByteArray::fromStdString(ToJsonText(content)),
                                  QCryptographicHash::Sha256);
}

ListAnswer Refused(std::int64_t revision, ErrorKind kind, std::string reason) {
  return {revision, Error{kind, std::move(reason), std::nullopt}, {}, false};
}

std::optional<std::string> Problem(const EditedLists& edited, ListName list) {
  const bool empty = list == ListName::kPlans ? edited.plans.empty() : edited.allowances.empty();
  if (empty) return "An edit may not empty a list.";
  return ListsProblem(edited.plans, edited.allowances);
}

QCborArray ToCbor(const std::deque<QByteArray>& digests) {
  QCborArray array;
  for (const QByteArray& digest : digests) array.append(digest);
  return array;
}

std::deque<QByteArray> DigestsFromCbor(const QCborValue& value) {
  std::deque<QByteArray> digests;
  for (const auto& item : value.toArray()) digests.push_back(item.toByteArray());
  return digests;
}

}  // namespace

std::int64_t VersionedLists::RevisionOf(ListName list) const {
  return list == ListName::kPlans ? lists_.plans_revision : lists_.allowances_revision;
}

std::int64_t& VersionedLists::Revision(ListName list) {
  return list == ListName::kPlans ? lists_.plans_revision : lists_.allowances_revision;
}

VersionedLists::Digests& VersionedLists::DigestsOf(ListName list) {
  return list == ListName::kPlans ? plans_digests_ : allowances_digests_;
}

QJsonObject VersionedLists::Content(ListName list) const {
  return list == ListName::kPlans ? ToJson(lists_.plans) : ToJson(lists_.allowances);
}

bool VersionedLists::WasTaken(const ListEdit& edit, const QByteArray& digest) {
  const Digests& digests = DigestsOf(edit.list);
  const auto remembered = static_cast<std::int64_t>(digests.size());
  const std::int64_t before_current = RevisionOf(edit.list) - edit.replaces_revision;
  if (before_current < 1 || before_current > remembered) return false;
  return digests[static_cast<std::size_t>(remembered - before_current)] == digest;
}

ListAnswer VersionedLists::Apply(const ListEdit& edit) {
  std::int64_t& current = Revision(edit.list);
  std::string reason;
  auto edited = Edited(lists_, edit, &reason);
  const QByteArray digest = edited ? DigestOf(edited->content) : QByteArray();
  if (edited && WasTaken(edit, digest)) return {edit.replaces_revision + 1, {}, {}, false};
  if (edit.replaces_revision != current) {
    return Refused(current, ErrorKind::kRevisionConflict,
                   "The current revision is " + std::to_string(current) + ".");
  }
  if (!edited) return Refused(current, ErrorKind::kListInvalid, reason);
  if (const auto problem = Problem(*edited, edit.list)) {
    return Refused(current, ErrorKind::kListInvalid, *problem);
  }
  lists_.plans = std::move(edited->plans);
  lists_.allowances = std::move(edited->allowances);
  ++current;
  Digests& digests = DigestsOf(edit.list);
  digests.push_back(digest);
  if (digests.size() > kRememberedEdits) digests.pop_front();
  return {current, {}, {}, false};
}

QCborValue VersionedLists::Snapshot() const {
  return QCborArray{static_cast<qint64>(lists_.plans_revision),
                    static_cast<qint64>(lists_.allowances_revision),
                    QCborMap::fromJsonObject(ToJson(lists_.plans)),
                    QCborMap::fromJsonObject(ToJson(lists_.allowances)),
                    ToCbor(plans_digests_),
                    ToCbor(allowances_digests_)};
}

bool VersionedLists::Restore(const QCborValue& snapshot) {
  constexpr qsizetype kItems = 6;
  const QCborArray items = snapshot.toArray();
  if (items.size() != kItems) return false;
  std::string reason;
  auto plans = ParsePlanList(items.at(2).toMap().toJsonObject(), &reason);
  auto allowances = ParseAllowanceList(items.at(3).toMap().toJsonObject(), &reason);
  if (!plans || !allowances) return false;
  lists_ = {items.at(0).toInteger(), items.at(1).toInteger(), std::move(*plans),
            std::move(*allowances)};
  plans_digests_ = DigestsFromCbor(items.at(4));
  allowances_digests_ = DigestsFromCbor(items.at(5));
  return true;
}

}  // namespace kumquat
