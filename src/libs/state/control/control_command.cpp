#include "state/control/control_command.h"

#include <QCborArray>
#include <QCborMap>
#include <QCborValue>
#include <utility>

namespace kumquat {
namespace {

// Stands before each body.
enum class Kind : std::int64_t {
  kListEdit,
  kClaimRequest,
  kClaimFinish,
  kClaimRelease,
  kClockMark,
  kDocument,
  kDeparture
};

constexpr qsizetype kItems = 3;

Kind KindOf(const ControlCommand::Body& body) { return static_cast<Kind>(body.index()); }

QJsonObject BodyToJson(const ControlCommand::Body& body) {
  struct Visitor {
    QJsonObject operator()(const ListEdit& edit) const { return ToJson(edit); }
    QJsonObject operator()(const ClaimRequest& request) const { return ToJson(request); }
    QJsonObject operator()(const ClaimFinish& finish) const { return ToJson(finish); }
    QJsonObject operator()(const ClaimRelease& release) const { return ToJson(release.id); }
    QJsonObject operator()(const ClockMark&) const { return {}; }
    QJsonObject operator()(const Document& document) const { return ToJson(document); }
    QJsonObject operator()(const Departure& departure) const { return ToJson(departure); }
  };
  return std::visit(Visitor{}, body);
}

template <typename Value>
std::optional<ControlCommand::Body> ToBody(std::optional<Value> value) {
  if (!value) return std::nullopt;
  return ControlCommand::Body(std::move(*value));
}

std::optional<ClaimRelease> ParseClaimRelease(const QJsonObject& json, std::string* reason) {
  auto id = ParseClaimId(json, reason);
  if (!id) return std::nullopt;
  return ClaimRelease{std::move(*id)};
}

std::optional<ControlCommand::Body> ParseBody(Kind kind, const QJsonObject& json,
                                              std::string* reason) {
  switch (kind) {
    case Kind::kListEdit:
      return ToBody(ParseListEdit(json, reason));
    case Kind::kClaimRequest:
      return ToBody(ParseClaimRequest(json, reason));
    case Kind::kClaimFinish:
      return ToBody(ParseClaimFinish(json, reason));
    case Kind::kClaimRelease:
      return ToBody(ParseClaimRelease(json, reason));
    case Kind::kClockMark:
      return ClockMark{};
    case Kind::kDocument:
      return ToBody(ParseDocument(json, reason));
    case Kind::kDeparture:
      return ToBody(ParseDeparture(json, reason));
  }
  *reason = "The kind of the command is not known.";
  return std::nullopt;
}

}  // namespace

std::string Encode(const ControlCommand& command) {
  const QCborArray items{static_cast<qint64>(command.time.count()),
                         static_cast<qint64>(KindOf(command.body)),
                         QCborMap::fromJsonObject(BodyToJson(command.body))};
  return items.toCborValue().toCbor().toStdString();
}

std::optional<ControlCommand> DecodeControlCommand(std::string_view bytes, std::string* reason) {
  const QCborArray items =
      QCborValue::fromCbor(QByteArray(bytes.data(), static_cast<qsizetype>(bytes.size())))
          .toArray();
  if (items.size() != kItems || !items.at(0).isInteger() || !items.at(1).isInteger()) {
    *reason = "The bytes are not a command.";
    return std::nullopt;
  }
  const auto kind = static_cast<Kind>(items.at(1).toInteger());
  auto body = ParseBody(kind, items.at(2).toMap().toJsonObject(), reason);
  if (!body) return std::nullopt;
  return ControlCommand{LogicalTime(items.at(0).toInteger()), std::move(*body)};
}

}  // namespace kumquat
