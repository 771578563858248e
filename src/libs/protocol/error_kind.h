// The closed list of error kinds and the table from kind to answer.
#pragma once

#include <chrono>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace kumquat {

// Every way in which a request can be refused or fail. The table below gives the answer to each.
enum class ErrorKind {
  kBadRequest,
  kHeaderTooLong,
  kBodyTooLarge,
  kNotAuthenticated,
  kModelUnknown,
  kModelNotAllowed,
  kServiceUnknown,
  kServiceNotAllowed,
  kRouteUnknown,
  kMethodNotAllowed,
  kLimitExceeded,
  kOverloaded,
  kNoBackendServer,
  kDraining,
  kConfigurationUnconfirmed,
  kClaimUnavailable,
  kStreamOriginUnknown,
  kStreamVersionGone,
  kDeadlineBeforeRun,
  kDuplicateRunning,
  kIdempotencyConflict,
  kOutcomeUnknown,
  kBackendServerFailed,
  kStreamInterrupted,
  kTimedOut,
  kPoisonRequest,
  kCallerGone,
  kAnnouncementInvalid,
  kNotLeader,
  kRevisionConflict,
  kListInvalid,
  kInternal,
};

// Whether a request that got this answer may have run on a backend server.
enum class Ran { kNo, kUnknown };

// A row of the table from kind to answer.
struct ErrorAnswer {
  ErrorKind kind;
  std::string_view name;
  int http_status;
  Ran ran;
  // A whole sentence for the caller.
  std::string_view sentence;
  // When to come back, where that helps; the sender may give a better figure.
  std::optional<std::chrono::seconds> retry_after;
};

// Returns every row, in the order of ErrorKind.
std::span<const ErrorAnswer> ErrorAnswers();

// Returns the row of this kind.
const ErrorAnswer& AnswerFor(ErrorKind kind);

// Returns the kind with this name; nothing for an unknown name.
std::optional<ErrorKind> ErrorKindFromName(std::string_view name);

// Returns "no" or "unknown".
std::string_view RanName(Ran ran);

// An error as it travels: its kind, with a detail for the caller where there is one.
struct Error {
  ErrorKind kind = ErrorKind::kInternal;
  std::string detail;
  std::optional<std::chrono::seconds> retry_after;

  bool operator==(const Error&) const = default;
};

// Renders the JSON body of an error answer: kind, sentence, ran, and retry_after in seconds.
std::string ErrorBody(const Error& error);

// Returns when to come back in whole seconds: the error's own figure, or its kind's.
std::optional<std::chrono::seconds> RetryAfter(const Error& error);

}  // namespace kumquat
