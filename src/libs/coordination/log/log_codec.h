// CBOR encoding of log entries, snapshots and memberships, for messages and for storage.
#pragma once

#include <QCborArray>
#include <QCborValue>
#include <string>
#include <string_view>

#include "coordination/log/log_entry.h"

namespace kumquat::Internal {

QCborValue ToCbor(std::uint64_t value);
QCborValue ToCbor(const std::string& bytes);
QCborValue ToCbor(const ReplicaId& id);
QCborValue ToCbor(const Membership& membership);
QCborValue ToCbor(const LogEntry& entry);
QCborValue ToCbor(const LogSnapshot& snapshot);

// Each returns false when the value has the wrong type or structure; the target is then in an
// unspecified state.
bool FromCbor(const QCborValue& value, std::uint64_t* target);
bool FromCbor(const QCborValue& value, bool* target);
bool FromCbor(const QCborValue& value, std::string* target);
bool FromCbor(const QCborValue& value, ReplicaId* target);
bool FromCbor(const QCborValue& value, Membership* target);
bool FromCbor(const QCborValue& value, LogEntry* target);
bool FromCbor(const QCborValue& value, LogSnapshot* target);

template <typename Item>
QCborValue ListToCbor(const std::vector<Item>& items) {
  QCborArray array;
  for (const Item& item : items) array.append(ToCbor(item));
  return array;
}

template <typename Item>
bool ListFromCbor(const QCborValue& value, std::vector<Item>* target) {
  if (!value.isArray()) return false;
  target->clear();
  for (const QCborValue item : value.toArray()) {
    if (!FromCbor(item, &target->emplace_back())) return false;
  }
  return true;
}

// Decodes the leading items of an array into the targets. Returns false when one is missing or has
// the wrong type; further items are ignored.
template <typename... Targets>
bool FieldsFromCbor(const QCborValue& value, Targets*... targets) {
  if (!value.isArray()) return false;
  const QCborArray array = value.toArray();
  if (array.size() < static_cast<qsizetype>(sizeof...(targets))) return false;
  qsizetype index = 0;
  return (FromCbor(array.at(index++), targets) && ...);
}

std::string ToBytes(const QCborValue& value);

// Returns an invalid value when the bytes aren't exactly one CBOR value.
QCborValue FromBytes(std::string_view bytes);

}  // namespace kumquat::Internal
