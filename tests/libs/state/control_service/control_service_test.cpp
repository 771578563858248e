#include "state/control_service/control_service.h"

#include <doctest/doctest.h>

#include <QJsonArray>
#include <random>

#include "libs/coordination/log/memory_log_storage.h"
#include "protocol/backend_report.h"

namespace kumquat {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A service on a log of one replica, under a virtual clock.
class Fixture {
 public:
  Fixture() : service_({}, Hooks(), &state_) {
    log_ = ReplicatedLog::Builder()
               .Name("c1")
               .MemberNames({"c1"})
               .Storage(&storage_)
               .Machine(&state_)
               .Time([this] { return now_; })
               .Randomness([this] { return random_(); })
               .OnSend([](const LogMessage&) {})
               .OnApplied([this](const LogPosition& position, std::string_view answer) {
                 service_.OnApplied(position, answer);
               })
               .OnChanged([this] { service_.OnChanged(); })
               .Build();
    service_.Attach(log_.get());
    REQUIRE(log_->Start());
  }

  void Run(Duration duration) {
    const Instant end = now_ + duration;
    while (now_ < end) {
      now_ += milliseconds(20);
      log_->Tick();
      service_.Tick();
    }
  }

  void Lead() {
    for (int i = 0; i < 500 && log_->role() != LogRole::kLeader; ++i) Run(milliseconds(20));
    REQUIRE(log_->role() == LogRole::kLeader);
  }

  using Method = void (ControlService::*)(const QJsonObject&, const RpcReply&);

  // Calls a method; the result fills when it is answered.
  std::shared_ptr<std::optional<QJsonObject>> Call(Method method, const QJsonObject& params) {
    auto result = std::make_shared<std::optional<QJsonObject>>();
    (service_.*method)(params, [result](const QJsonObject& answer) {
      CHECK(!*result);
      *result = answer;
    });
    return result;
  }

  ListAnswer Edit(const ListEdit& edit, Duration patience) {
    const auto result = Call(&ControlService::SetList, ToJson(edit));
    const Instant end = now_ + patience;
    while (!*result && now_ < end) Run(milliseconds(20));
    REQUIRE(*result);
    std::string reason;
    return *ParseListAnswer(**result, &reason);
  }

  std::optional<LeaseAnswer> Renew(const LeaseRequest& request) {
    const auto result = Call(&ControlService::RenewLease, ToJson(request));
    CHECK(!*result);  // Never before a round of the log.
    Run(milliseconds(20));
    REQUIRE(*result);
    std::string reason;
    return ParseLeaseAnswer(**result, &reason);
  }

  std::vector<std::int64_t> announced;
  std::vector<std::pair<std::string, EngineOrder>> orders;

 private:
  ControlServiceHooks Hooks() {
    return {[this] { return now_; },
            [](std::string_view name) { return std::string(name) + "@127.0.0.1:1"; },
            [this](std::int64_t revision) { announced.push_back(revision); },
            [this](const Announcement& engine, const EngineOrder& order) {
              orders.push_back({engine.backend_id, order});
            }};
  }

  Instant now_{seconds(1)};
  std::mt19937_64 random_{5};
  MemoryDisk disk_;
  MemoryLogStorage storage_{&disk_, &random_};
  ControlState state_;
  ControlService service_;
  std::unique_ptr<ReplicatedLog> log_;
};

ListEdit Allowances(std::int64_t replaces, std::int64_t rate) {
  return {ListName::kAllowances, replaces,
          ToJson(AllowanceList{{"large", {}, {}, {rate, 100, 10}, 1, true}})};
}

ListEdit Plans(std::int64_t replaces) {
  return {ListName::kPlans, replaces, ToJson(PlanList{{"workshop", "large", {}}})};
}

std::string ErrorName(const std::optional<QJsonObject>& result) {
  return result->value("error").toObject()["kind"].toString().toStdString();
}

TEST_CASE("A replica that doesn't lead refuses, and malformed calls get a reason") {
  Fixture fixture;
  const LeaseRequest renewal{"r1", 1, 0, 0, 0, {}, 1};
  CHECK(ErrorName(*fixture.Call(&ControlService::RenewLease, ToJson(renewal))) == "not_leader");
  CHECK(ErrorName(*fixture.Call(&ControlService::SetList, ToJson(Plans(0)))) == "not_leader");
  CHECK(ErrorName(*fixture.Call(&ControlService::GetList, {{"list", "plans"}})) == "not_leader");
  fixture.Lead();
  CHECK(ErrorName(*fixture.Call(&ControlService::RenewLease, {})) == "bad_request");
  CHECK(ErrorName(*fixture.Call(&ControlService::GetList, {{"list", "x"}})) == "bad_request");
  CHECK(fixture.Call(&ControlService::Status, {})->value()["role"].toString() == "leader");
}

TEST_CASE("An edit is answered when each router has it, and within 7 s when one has gone") {
  Fixture fixture;
  fixture.Lead();
  CHECK(fixture.Edit(Allowances(0, 5), seconds(7)).in_force);
  CHECK(fixture.Edit(Plans(0), seconds(7)) == ListAnswer{1, {}, {}, true});

  const auto lease = fixture.Renew({"r1", 1, 0, 0, 0, {}, 1});
  REQUIRE(lease);
  CHECK(lease->plans->front().name == "workshop");
  CHECK(lease->voters == std::vector<std::string>{"c1@127.0.0.1:1"});

  const auto edit = fixture.Call(&ControlService::SetList, ToJson(Allowances(1, 7)));
  fixture.Run(seconds(1));
  CHECK(!*edit);
  CHECK(fixture.announced == std::vector<std::int64_t>{1, 1, 2});
  const auto renewed = fixture.Renew({"r1", 1, 1, 1, 1, {}, 2});
  CHECK(renewed->allowances->front().capacity.requests_per_second == 7);
  CHECK(!renewed->plans);
  CHECK(!*edit);  // The answer may have been lost.
  fixture.Renew({"r1", 1, 1, 1, 2, {}, 3});
  fixture.Run(milliseconds(40));
  CHECK(edit->value()["in_force"].toBool());

  // This router renews no more: its lease has to end first. A resend gets the same answer.
  const auto once = fixture.Call(&ControlService::SetList, ToJson(Allowances(2, 9)));
  fixture.Run(seconds(2));
  CHECK(!*once);
  CHECK(fixture.Edit(Allowances(2, 9), seconds(7)) == ListAnswer{3, {}, {}, true});
  CHECK(fixture.Edit(Allowances(1, 7), seconds(7)) == ListAnswer{2, {}, {}, true});
  const ListAnswer lost = fixture.Edit(Allowances(1, 8), seconds(1));
  CHECK(lost.error->kind == ErrorKind::kRevisionConflict);
  CHECK(lost.revision == 3);
}

TEST_CASE("A router that gets no answer holds an edit up until its lease ends, and no longer") {
  Fixture fixture;
  fixture.Lead();
  fixture.Edit(Allowances(0, 5), seconds(7));
  LeaseRequest renewal{"r1", 1, 1, 0, 0, {}, 0};
  fixture.Renew(renewal);
  const auto edit = fixture.Call(&ControlService::SetList, ToJson(Allowances(1, 7)));
  fixture.Run(milliseconds(40));
  for (int i = 1; i <= 10; ++i) {
    CHECK(!*edit);
    renewal.sequence = i;
    CHECK(fixture.Renew(renewal)->allowances_revision == 2);
    fixture.Run(milliseconds(220));
  }
  fixture.Run(seconds(1));
  CHECK(edit->value()["in_force"].toBool());
}

TEST_CASE("Claims are answered from the log and lists are read back") {
  Fixture fixture;
  fixture.Lead();
  const ClaimId id{"workshop", "k", "x"};
  const auto claim =
      fixture.Call(&ControlService::BeginClaim, ToJson(ClaimRequest{id, "d", "r1", 1}));
  CHECK(!*claim);
  fixture.Run(milliseconds(40));
  CHECK(claim->value()["verdict"].toString() == "granted");
  const RecordedAnswer answer{201, "text/plain", "booked"};
  const auto finish = fixture.Call(&ControlService::FinishClaim, ToJson(ClaimFinish{id, answer}));
  const auto release = fixture.Call(&ControlService::ReleaseClaim, ToJson(id));
  fixture.Run(milliseconds(40));
  CHECK(finish->value()["done"].toBool());
  CHECK(!release->value()["done"].toBool());

  fixture.Edit(Allowances(0, 5), seconds(7));
  const auto list = fixture.Call(&ControlService::GetList, {{"list", "allowances"}});
  fixture.Run(milliseconds(40));
  CHECK(list->value()["content"].toObject() == Allowances(0, 5).content);
  CHECK(list->value()["revision"].toInt() == 1);
}

TEST_CASE("Engines are ordered to hold what the allowances reach") {
  Fixture fixture;
  fixture.Lead();
  const ModelVersion model{"m", "", "v2"};
  const AllowanceList allowances = {{"large", {model}, {}, {1, 100, 10}, 1, true}};
  fixture.Edit({ListName::kAllowances, 0, ToJson(allowances)}, seconds(7));

  BackendReport report{"r1", {}, {{model, 3}}};
  for (const bool checks_fencing : {true, false}) {
    Announcement engine;
    engine.backend_id = checks_fencing ? "checks" : "ignores";
    engine.endpoint = {"127.0.0.1", 1};
    engine.failure_domain = "d1";
    engine.incarnation = 1;
    engine.checks_fencing = checks_fencing;
    engine.models = {{"m", "", "v1"}};
    report.announcements.push_back(engine);
  }
  const auto tell = [&] {
    for (Announcement& engine : report.announcements) ++engine.sequence;
    const auto result = fixture.Call(&ControlService::ReportBackends, ToJson(report));
    CHECK(!result->value().contains("error"));
    fixture.Run(seconds(1));
  };
  tell();
  REQUIRE(fixture.orders.size() == 1);
  CHECK(fixture.orders[0].first == "checks");
  CHECK(fixture.orders[0].second.models == std::vector<ModelVersion>{model});
  report.announcements[0].models = {model};
  for (int i = 0; i < 10; ++i) tell();
  REQUIRE(fixture.orders.size() >= 2);
  CHECK(fixture.orders[1].first == "ignores");
  CHECK(fixture.orders[1].second.fencing_number > fixture.orders[0].second.fencing_number);
  report.announcements[1].models = {model};
  tell();
  const std::size_t orders = fixture.orders.size();

  // A restarted engine is brought back.
  report.announcements[0].incarnation = 2;
  report.announcements[0].models = {{"m", "", "v1"}};
  tell();
  REQUIRE(fixture.orders.size() == orders + 1);
  CHECK(fixture.orders.back().first == "checks");
  CHECK(ErrorName(*fixture.Call(&ControlService::ReportBackends, {})) == "bad_request");
}

}  // namespace
}  // namespace kumquat
