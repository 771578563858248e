#include "protocol/control_messages.h"

#include <doctest/doctest.h>

#include <QJsonArray>

#include "protocol/backend_report.h"

namespace kumquat {
namespace {

TEST_CASE("Control messages survive their JSON form") {
  std::string reason;
  const LeaseRequest renewal{"r1", 5, 3, 7, 8, {{"workshop", {1, 2, 3}, {4, 5, 6}}}, 9};
  CHECK(ParseLeaseRequest(ToJson(renewal), &reason) == renewal);

  LeaseAnswer lease{3, 3000, 7, 8, PlanList{}, std::nullopt, {{"workshop", {1, 2, 3}}}, {"c1"}};
  CHECK(ParseLeaseAnswer(ToJson(lease), &reason) == lease);

  const ClaimId id{"workshop", "booking-1", "r1-17"};
  const ClaimRequest claim{id, "ab", "r1", 5};
  CHECK(ParseClaimRequest(ToJson(claim), &reason) == claim);

  const RecordedAnswer recorded{201, "application/json", std::string("{\0}", 3)};
  for (const ClaimVerdict verdict :
       {ClaimVerdict::kGranted, ClaimVerdict::kRunning, ClaimVerdict::kRecorded,
        ClaimVerdict::kOutcomeUnknown, ClaimVerdict::kConflict, ClaimVerdict::kFull}) {
    const ClaimAnswer answer{verdict, recorded};
    CHECK(ParseClaimAnswer(ToJson(answer), &reason) == answer);
  }
  const ClaimFinish finish{id, recorded};
  CHECK(ParseClaimFinish(ToJson(finish), &reason) == finish);
  Announcement engine;
  engine.backend_id = "e1";
  engine.endpoint = {"127.0.0.1", 8080};
  engine.failure_domain = "d1";
  const BackendReport report{"r1", {engine}, {{{"m", "", "v1"}, 3}}};
  CHECK(ParseBackendReport(ToJson(report), &reason) == report);
  const ListEdit edit{ListName::kAllowances, 4, QJsonObject{{"allowances", QJsonArray{}}}};
  CHECK(ParseListEdit(ToJson(edit), &reason) == edit);
  const ListAnswer refused{4, Error{ErrorKind::kListInvalid, "Empty.", std::nullopt}, {}, false};
  CHECK(ParseListAnswer(ToJson(refused), &reason) == refused);
}

}  // namespace
}  // namespace kumquat
