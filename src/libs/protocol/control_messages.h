// The messages between routers, kumquatctl and the control replicas: parameters and results of
// their JSON-RPC methods.
#pragma once

#include <QJsonObject>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/error_kind.h"
#include "protocol/lists.h"

namespace kumquat {

// Names of the methods that a control replica serves.
namespace control_method {
inline constexpr std::string_view kRenewLease = "lease.renew";
inline constexpr std::string_view kBeginClaim = "claim.begin";
inline constexpr std::string_view kFinishClaim = "claim.finish";
inline constexpr std::string_view kReleaseClaim = "claim.release";
inline constexpr std::string_view kGetList = "list.get";
inline constexpr std::string_view kSetList = "list.set";
inline constexpr std::string_view kStatus = "status";
inline constexpr std::string_view kReportBackends = "backends.report";
inline constexpr std::string_view kPutDocument = "document.put";
// Answers with the index in the log that a replica has to have applied before it reads.
inline constexpr std::string_view kConfirm = "log.confirm";
// Records in the log that a backend server leaves.
inline constexpr std::string_view kRecordDeparture = "departure.record";
// Asks another replica to hold that a backend server leaves; see DepartureService.
inline constexpr std::string_view kHoldDeparture = "departure.hold";
}  // namespace control_method

// What a router holds and wants of one organisation's capacity.
struct ShareRequest {
  std::string organisation;
  // What the router believes to hold; anything above it has been given back.
  Capacity held;
  Capacity wanted;

  bool operator==(const ShareRequest&) const = default;
};

// Parameters of lease.renew.
struct LeaseRequest {
  std::string router_id;
  // Grows with each start of the router; a newer one replaces the older one's shares.
  std::int64_t router_incarnation = 0;
  // The highest term that the router has seen in an answer.
  std::int64_t term = 0;
  std::int64_t plans_revision = 0;
  std::int64_t allowances_revision = 0;
  std::vector<ShareRequest> shares;
  // Grows with each request of this incarnation. Each request is sent once, and only the answer
  // to the newest one counts.
  std::int64_t sequence = 0;

  bool operator==(const LeaseRequest&) const = default;
};

// A part of an organisation's capacity, held until the lease ends.
struct ShareGrant {
  std::string organisation;
  Capacity granted;

  bool operator==(const ShareGrant&) const = default;
};

// Result of lease.renew. The lease runs for `lease_ms` from the moment the request was sent.
// Answers with a lower term than one seen before are to be dropped.
struct LeaseAnswer {
  std::int64_t term = 0;
  std::int64_t lease_ms = 0;
  std::int64_t plans_revision = 0;
  std::int64_t allowances_revision = 0;
  // Each list is there only when the router's revision of it differs.
  std::optional<PlanList> plans;
  std::optional<AllowanceList> allowances;
  std::vector<ShareGrant> shares;
  // Addresses of the replicas that vote, as "name@ip:port".
  std::vector<std::string> voters;

  bool operator==(const LeaseAnswer&) const = default;
};

// Names a claim: one call that may not be repeated, and the attempt that asks for it.
struct ClaimId {
  std::string organisation;
  std::string idempotency_key;
  // Unique to the request that asks; the same id asking again gets the same verdict.
  std::string claimant;

  auto operator<=>(const ClaimId&) const = default;
};

// Parameters of claim.begin.
struct ClaimRequest {
  ClaimId id;
  // Strong hash of method, path and body, in hexadecimal.
  std::string digest;
  std::string router_id;
  std::int64_t router_incarnation = 0;

  bool operator==(const ClaimRequest&) const = default;
};

// The whole answer of a call, kept for those who send the call again.
struct RecordedAnswer {
  std::int64_t status = 0;
  std::string content_type;
  // Base64 on the wire.
  std::string body;

  bool operator==(const RecordedAnswer&) const = default;
};

enum class ClaimVerdict {
  // The call may be sent, once, by this claimant.
  kGranted,
  // Another claimant runs the call.
  kRunning,
  // The call ran; its answer is given.
  kRecorded,
  // The call may have run and its answer is not known.
  kOutcomeUnknown,
  // The key was used with other content.
  kConflict,
  // The organisation has as many claims as may be kept.
  kFull,
};

std::string_view ClaimVerdictName(ClaimVerdict verdict);

// Result of claim.begin.
struct ClaimAnswer {
  ClaimVerdict verdict = ClaimVerdict::kFull;
  std::optional<RecordedAnswer> recorded;

  bool operator==(const ClaimAnswer&) const = default;
};

// Parameters of claim.finish; without an answer the outcome is unknown.
struct ClaimFinish {
  ClaimId id;
  std::optional<RecordedAnswer> recorded;

  bool operator==(const ClaimFinish&) const = default;
};

// Parameters of list.set.
struct ListEdit {
  ListName list = ListName::kPlans;
  // The revision that the edit replaces.
  std::int64_t replaces_revision = 0;
  // The list's JSON form, as from ToJson(PlanList) or ToJson(AllowanceList).
  QJsonObject content;

  bool operator==(const ListEdit&) const = default;
};

// Result of list.set and list.get.
struct ListAnswer {
  // The list's revision: the new one after an accepted edit, else the current one.
  std::int64_t revision = 0;
  // Why the edit was refused: kRevisionConflict, kListInvalid or kNotLeader.
  std::optional<Error> error;
  // list.get: the content.
  QJsonObject content;
  // list.set: whether the revision is in force on every router.
  bool in_force = false;

  bool operator==(const ListAnswer&) const = default;
};

QJsonObject ToJson(const LeaseRequest& request);
QJsonObject ToJson(const LeaseAnswer& answer);
QJsonObject ToJson(const ClaimId& id);
QJsonObject ToJson(const ClaimRequest& request);
QJsonObject ToJson(const ClaimAnswer& answer);
QJsonObject ToJson(const ClaimFinish& finish);
QJsonObject ToJson(const ListEdit& edit);
QJsonObject ToJson(const ListAnswer& answer);
QJsonObject ToJson(const Error& error);

// Each returns nothing for content that is not valid, with the reason in `reason`.
std::optional<LeaseRequest> ParseLeaseRequest(const QJsonObject& json, std::string* reason);
std::optional<LeaseAnswer> ParseLeaseAnswer(const QJsonObject& json, std::string* reason);
std::optional<ClaimId> ParseClaimId(const QJsonObject& json, std::string* reason);
std::optional<ClaimRequest> ParseClaimRequest(const QJsonObject& json, std::string* reason);
std::optional<ClaimAnswer> ParseClaimAnswer(const QJsonObject& json, std::string* reason);
std::optional<ClaimFinish> ParseClaimFinish(const QJsonObject& json, std::string* reason);
std::optional<ListEdit> ParseListEdit(const QJsonObject& json, std::string* reason);
std::optional<ListAnswer> ParseListAnswer(const QJsonObject& json, std::string* reason);
std::optional<Error> ParseError(const QJsonObject& json, std::string* reason);

}  // namespace kumquat
