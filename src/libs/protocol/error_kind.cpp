#include "protocol/error_kind.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>
#include <array>

namespace kumquat {
namespace {

using std::chrono::seconds;

constexpr std::array kAnswers = {
    ErrorAnswer{ErrorKind::kBadRequest, "bad_request", 400, Ran::kNo,
                "The request is not well formed.", std::nullopt},
    ErrorAnswer{ErrorKind::kHeaderTooLong, "header_too_long", 431, Ran::kNo,
                "The request's header is too long.", std::nullopt},
    ErrorAnswer{ErrorKind::kBodyTooLarge, "body_too_large", 413, Ran::kNo,
                "The request's body is larger than the limit.", std::nullopt},
    ErrorAnswer{ErrorKind::kNotAuthenticated, "not_authenticated", 401, Ran::kNo,
                "The request carries no valid key.", std::nullopt},
    ErrorAnswer{ErrorKind::kModelUnknown, "model_unknown", 404, Ran::kNo, "There is no such model.",
                std::nullopt},
    ErrorAnswer{ErrorKind::kModelNotAllowed, "model_not_allowed", 403, Ran::kNo,
                "The organisation's plan does not reach this model.", std::nullopt},
    ErrorAnswer{ErrorKind::kServiceUnknown, "service_unknown", 404, Ran::kNo,
                "There is no such service or operation.", std::nullopt},
    ErrorAnswer{ErrorKind::kServiceNotAllowed, "service_not_allowed", 403, Ran::kNo,
                "The organisation's plan does not reach this service.", std::nullopt},
    ErrorAnswer{ErrorKind::kRouteUnknown, "route_unknown", 404, Ran::kNo,
                "There is nothing at this path.", std::nullopt},
    ErrorAnswer{ErrorKind::kMethodNotAllowed, "method_not_allowed", 405, Ran::kNo,
                "This path does not take the method.", std::nullopt},
    ErrorAnswer{ErrorKind::kLimitExceeded, "limit_exceeded", 429, Ran::kNo,
                "The plan's limit is reached.", seconds(1)},
    ErrorAnswer{ErrorKind::kOverloaded, "overloaded", 503, Ran::kNo,
                "The backend servers are busy beyond what can wait.", seconds(2)},
    ErrorAnswer{ErrorKind::kNoBackendServer, "no_backend_server", 503, Ran::kNo,
                "No backend server can take the request now.", seconds(2)},
    ErrorAnswer{ErrorKind::kDraining, "draining", 503, Ran::kNo, "This instance is shutting down.",
                seconds(1)},
    ErrorAnswer{ErrorKind::kConfigurationUnconfirmed, "configuration_unconfirmed", 503, Ran::kNo,
                "This instance can't confirm that its plans are current.", seconds(2)},
    ErrorAnswer{ErrorKind::kClaimUnavailable, "claim_unavailable", 503, Ran::kNo,
                "The call can't be claimed now, so it was not sent.", seconds(2)},
    ErrorAnswer{ErrorKind::kStreamOriginUnknown, "stream_origin_unknown", 503, Ran::kNo,
                "It isn't known which servers began the stream, so it can't be taken up.",
                std::nullopt},
    ErrorAnswer{ErrorKind::kStreamVersionGone, "stream_version_gone", 503, Ran::kNo,
                "No server with the software that began the stream is left.", std::nullopt},
    ErrorAnswer{ErrorKind::kDeadlineBeforeRun, "deadline_before_run", 504, Ran::kNo,
                "The deadline passed before the request could run.", seconds(1)},
    ErrorAnswer{ErrorKind::kDuplicateRunning, "duplicate_running", 409, Ran::kUnknown,
                "A call with this idempotency key is running.", seconds(1)},
    ErrorAnswer{ErrorKind::kIdempotencyConflict, "idempotency_conflict", 422, Ran::kNo,
                "The idempotency key was used with other content.", std::nullopt},
    ErrorAnswer{ErrorKind::kOutcomeUnknown, "outcome_unknown", 502, Ran::kUnknown,
                "The call was sent and its outcome is not known.", std::nullopt},
    ErrorAnswer{ErrorKind::kBackendServerFailed, "backend_server_failed", 502, Ran::kUnknown,
                "The backend servers failed to answer.", seconds(2)},
    ErrorAnswer{ErrorKind::kStreamInterrupted, "stream_interrupted", 502, Ran::kUnknown,
                "The answer broke off and could not be completed.", seconds(2)},
    ErrorAnswer{ErrorKind::kTimedOut, "timed_out", 504, Ran::kUnknown,
                "The answer did not come in time.", std::nullopt},
    ErrorAnswer{ErrorKind::kPoisonRequest, "poison_request", 422, Ran::kUnknown,
                "The request crashed the backend servers that ran it and will not be run again.",
                std::nullopt},
    ErrorAnswer{ErrorKind::kCallerGone, "caller_gone", 499, Ran::kUnknown,
                "The caller closed the connection.", std::nullopt},
    ErrorAnswer{ErrorKind::kAnnouncementInvalid, "announcement_invalid", 400, Ran::kNo,
                "The announcement is not valid.", std::nullopt},
    ErrorAnswer{ErrorKind::kNotLeader, "not_leader", 503, Ran::kNo,
                "This replica is not the leader.", seconds(1)},
    ErrorAnswer{ErrorKind::kRevisionConflict, "revision_conflict", 409, Ran::kNo,
                "The edit replaces a revision that is not the current one.", std::nullopt},
    ErrorAnswer{ErrorKind::kListInvalid, "list_invalid", 422, Ran::kNo,
                "The edit would leave the list invalid.", std::nullopt},
    ErrorAnswer{ErrorKind::kInternal, "internal", 500, Ran::kUnknown,
                "The instance failed to handle the request.", seconds(2)},
};

}  // namespace

std::span<const ErrorAnswer> ErrorAnswers() { return kAnswers; }

const ErrorAnswer& AnswerFor(ErrorKind kind) { return kAnswers[static_cast<std::size_t>(kind)]; }

std::optional<ErrorKind> ErrorKindFromName(std::string_view name) {
  const auto row = std::find_if(kAnswers.begin(), kAnswers.end(),
                                [name](const ErrorAnswer& answer) { return answer.name == name; });
  if (row == kAnswers.end()) return std::nullopt;
  return row->kind;
}

std::string_view RanName(Ran ran) { return ran == Ran::kNo ? "no" : "unknown"; }

std::optional<std::chrono::seconds> RetryAfter(const Error& error) {
  return error.retry_after ? error.retry_after : AnswerFor(error.kind).retry_after;
}

std::string ErrorBody(const Error& error) {
  const ErrorAnswer& answer = AnswerFor(error.kind);
  std::string sentence(answer.sentence);
  if (!error.detail.empty()) sentence += " " + error.detail;
  QJsonObject fields{
      {"kind", QString::fromUtf8(answer.name.data(), static_cast<qsizetype>(answer.name.size()))},
      {"message", QString::fromStdString(sentence)},
      {"ran", QString::fromStdString(std::string(RanName(answer.ran)))}};
  if (const auto retry_after = RetryAfter(error)) {
    fields["retry_after"] = static_cast<qint64>(retry_after->count());
  }
  return QJsonDocument(QJsonObject{{"error", fields}}).toJson(QJsonDocument::Compact).toStdString();
}

}  // namespace kumquat
