#include "coordination/log/log_messages.h"

#include <algorithm>
#include <utility>

#include "coordination/log/log_codec.h"

namespace kumquat {
namespace {

using Internal::FieldsFromCbor;
using Internal::ListFromCbor;
using Internal::ListToCbor;
using Internal::ToCbor;

QCborValue BodyToCbor(const PreVote& body) {
  return QCborArray{ToCbor(body.last_index), ToCbor(body.last_term)};
}

QCborValue BodyToCbor(const PreVoteAnswer& body) {
  return QCborArray{body.granted, ToCbor(body.asked_term)};
}

QCborValue BodyToCbor(const Vote& body) {
  return QCborArray{ToCbor(body.last_index), ToCbor(body.last_term), body.bootstrap};
}

QCborValue BodyToCbor(const VoteAnswer& body) {
  return QCborArray{body.granted, static_cast<qint64>(body.quiet_for.count())};
}

QCborValue BodyToCbor(const Append& body) {
  return QCborArray{ToCbor(body.previous_index), ToCbor(body.previous_term),
                    ToCbor(body.commit_index), ToCbor(body.round), ListToCbor(body.entries)};
}

QCborValue BodyToCbor(const AppendAnswer& body) {
  return QCborArray{body.accepted, ToCbor(body.index), ToCbor(body.round)};
}

QCborValue BodyToCbor(const InstallSnapshot& body) {
  return QCborArray{ToCbor(body.chunk), ToCbor(body.offset), ToCbor(body.total_bytes),
                    ToCbor(body.round)};
}

QCborValue BodyToCbor(const InstallSnapshotAnswer& body) {
  return QCborArray{ToCbor(body.snapshot_index), ToCbor(body.next_offset), body.installed,
                    ToCbor(body.round)};
}

QCborValue BodyToCbor(const Join& body) { return QCborArray{body.empty}; }

QCborValue BodyToCbor(const JoinAnswer& body) {
  return QCborArray{body.empty, ListToCbor(body.voters)};
}

bool BodyFromCbor(const QCborValue& value, PreVote* body) {
  return FieldsFromCbor(value, &body->last_index, &body->last_term);
}

bool BodyFromCbor(const QCborValue& value, PreVoteAnswer* body) {
  return FieldsFromCbor(value, &body->granted, &body->asked_term);
}

bool BodyFromCbor(const QCborValue& value, Vote* body) {
  return FieldsFromCbor(value, &body->last_index, &body->last_term, &body->bootstrap);
}

bool BodyFromCbor(const QCborValue& value, VoteAnswer* body) {
  if (!FieldsFromCbor(value, &body->granted)) return false;
  // Replicas of earlier versions send no time; it isn't known then.
  body->quiet_for = Duration(std::max<qint64>(0, value.toArray().at(1).toInteger(0)));
  return true;
}

bool BodyFromCbor(const QCborValue& value, Append* body) {
  return FieldsFromCbor(value, &body->previous_index, &body->previous_term, &body->commit_index,
                        &body->round) &&
         ListFromCbor(value.toArray().at(4), &body->entries);
}

bool BodyFromCbor(const QCborValue& value, AppendAnswer* body) {
  return FieldsFromCbor(value, &body->accepted, &body->index, &body->round);
}

bool BodyFromCbor(const QCborValue& value, InstallSnapshot* body) {
  return FieldsFromCbor(value, &body->chunk, &body->offset, &body->total_bytes, &body->round);
}

bool BodyFromCbor(const QCborValue& value, InstallSnapshotAnswer* body) {
  return FieldsFromCbor(value, &body->snapshot_index, &body->next_offset, &body->installed,
                        &body->round);
}

bool BodyFromCbor(const QCborValue& value, Join* body) {
  return FieldsFromCbor(value, &body->empty);
}

bool BodyFromCbor(const QCborValue& value, JoinAnswer* body) {
  return FieldsFromCbor(value, &body->empty) && ListFromCbor(value.toArray().at(1), &body->voters);
}

// Decodes the variant alternative with this index; a message carries it as its type number.
template <std::size_t Index = 0>
bool AlternativeFromCbor(std::uint64_t number, const QCborValue& value, LogMessage::Body* body) {
  if constexpr (Index < std::variant_size_v<LogMessage::Body>) {
    if (number != Index) return AlternativeFromCbor<Index + 1>(number, value, body);
    return BodyFromCbor(value, &body->emplace<Index>());
  } else {
    return false;
  }
}

}  // namespace

std::string Encode(const LogMessage& message) {
  const QCborValue body =
      std::visit([](const auto& alternative) { return BodyToCbor(alternative); }, message.body);
  const auto number = static_cast<std::uint64_t>(message.body.index());
  return Internal::ToBytes(QCborArray{ToCbor(message.from), ToCbor(message.to),
                                      ToCbor(message.term), ToCbor(number), body});
}

std::optional<LogMessage> DecodeLogMessage(std::string_view bytes) {
  const QCborValue value = Internal::FromBytes(bytes);
  LogMessage message;
  std::uint64_t number = 0;
  if (!FieldsFromCbor(value, &message.from, &message.to, &message.term, &number)) {
    return std::nullopt;
  }
  const QCborValue body = value.toArray().at(4);
  if (!AlternativeFromCbor(number, body, &message.body)) return std::nullopt;
  return message;
}

}  // namespace kumquat
