#include "coordination/log/log_codec.h"

#include <QByteArray>
#include <QCborStreamReader>

namespace kumquat::Internal {

QCborValue ToCbor(std::uint64_t value) { return static_cast<qint64>(value); }

QCborValue ToCbor(const std::string& bytes) {
  return QByteArray(bytes.data(), static_cast<qsizetype>(bytes.size()));
}

QCborValue ToCbor(const ReplicaId& id) {
  return QCborArray{ToCbor(id.name), ToCbor(id.storage_identity)};
}

QCborValue ToCbor(const Membership& membership) { return ListToCbor(membership.voters); }

QCborValue ToCbor(const LogEntry& entry) {
  return QCborArray{ToCbor(entry.term), ToCbor(entry.index),
                    ToCbor(static_cast<std::uint64_t>(entry.kind)), ToCbor(entry.payload)};
}

QCborValue ToCbor(const LogSnapshot& snapshot) {
  return QCborArray{ToCbor(snapshot.index), ToCbor(snapshot.term), ToCbor(snapshot.membership),
                    ToCbor(snapshot.state)};
}

bool FromCbor(const QCborValue& value, std::uint64_t* target) {
  if (!value.isInteger()) return false;
  *target = static_cast<std::uint64_t>(value.toInteger());
  return true;
}

bool FromCbor(const QCborValue& value, bool* target) {
  if (!value.isBool()) return false;
  *target = value.toBool();
  return true;
}

bool FromCbor(const QCborValue& value, std::string* target) {
  if (!value.isByteArray()) return false;
  const QByteArray bytes = value.toByteArray();
  target->assign(bytes.constData(), static_cast<std::size_t>(bytes.size()));
  return true;
}

bool FromCbor(const QCborValue& value, ReplicaId* target) {
  return FieldsFromCbor(value, &target->name, &target->storage_identity);
}

bool FromCbor(const QCborValue& value, Membership* target) {
  return ListFromCbor(value, &target->voters);
}

bool FromCbor(const QCborValue& value, LogEntry* target) {
  std::uint64_t kind = 0;
  if (!FieldsFromCbor(value, &target->term, &target->index, &kind, &target->payload)) return false;
  if (kind > static_cast<std::uint64_t>(EntryKind::kNoOp)) return false;
  target->kind = static_cast<EntryKind>(kind);
  return true;
}

bool FromCbor(const QCborValue& value, LogSnapshot* target) {
  return FieldsFromCbor(value, &target->index, &target->term, &target->membership, &target->state);
}

std::string ToBytes(const QCborValue& value) { return value.toCbor().toStdString(); }

QCborValue FromBytes(std::string_view bytes) {
  const auto size = static_cast<qsizetype>(bytes.size());
  QCborParserError error;
  QCborValue value = QCborValue::fromCbor(QByteArray::fromRawData(bytes.data(), size), &error);
  if (error.error != QCborError::NoError || error.offset != size) return QCborValue::Invalid;
  return value;
}

}  // namespace kumquat::Internal
