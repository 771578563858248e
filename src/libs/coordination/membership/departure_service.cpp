#include "coordination/membership/departure_service.h"

#include <algorithm>
#include <utility>

#include "protocol/json_fields.h"
#include "utils/durations.h"
#include "utils/log.h"

namespace kumquat {
namespace {

QJsonObject RecordField(const std::optional<MemberRecord>& record) {
  return record ? QJsonObject{{"record", ToJson(*record)}} : QJsonObject();
}

// Reads the optional record; false if it is malformed.
bool ReadRecord(const QJsonObject& json, std::optional<MemberRecord>* record) {
  if (!json.contains(QLatin1String("record"))) return true;
  std::string reason;
  *record = ParseMemberRecord(json["record"].toObject(), &reason);
  return record->has_value();
}

}  // namespace

QJsonObject ToJson(const DepartureRequest& request) {
  QJsonObject json = RecordField(request.record);
  json["backend"] = ToQString(request.backend_id);
  return json;
}

QJsonObject ToJson(const DepartureAnswer& answer) { return RecordField(answer.record); }

std::optional<DepartureRequest> ParseDepartureRequest(const QJsonObject& json) {
  DepartureRequest request;
  JsonFields fields(json);
  fields.Read("backend", &request.backend_id);
  if (!fields.ok() || !ReadRecord(json, &request.record)) return std::nullopt;
  const bool is_other = request.record && request.record->id != request.backend_id;
  return is_other ? std::nullopt : std::optional(std::move(request));
}

std::optional<DepartureAnswer> ParseDepartureAnswer(const QJsonObject& json) {
  DepartureAnswer answer;
  if (!ReadRecord(json, &answer.record)) return std::nullopt;
  return answer;
}

DepartureService::DepartureService(DepartureServiceHooks hooks, BackendDirectory* directory)
    : hooks_(std::move(hooks)), directory_(directory) {}

std::optional<MemberRecord> DepartureService::RecordOf(const std::string& backend_id) const {
  const Member* member = directory_->table().Find(backend_id);
  return member ? std::optional(member->record) : std::nullopt;
}

void DepartureService::Leave(const std::string& backend_id, OnDone done) {
  directory_->Leave(backend_id);
  const auto record = RecordOf(backend_id);
  Begin(backend_id, record ? std::optional(record->incarnation) : std::nullopt, std::move(done));
}

void DepartureService::Announce(const MemberRecord& leaving, OnDone done) {
  directory_->Learn(leaving);
  Begin(leaving.id, leaving.incarnation, std::move(done));
}

DepartureAnswer DepartureService::OnAsked(const DepartureRequest& request) {
  if (request.record) {
    directory_->Learn(*request.record);
  } else {
    directory_->Leave(request.backend_id);
  }
  return {RecordOf(request.backend_id)};
}

void DepartureService::Begin(const std::string& backend_id, std::optional<std::int64_t> incarnation,
                             OnDone done) {
  const std::int64_t number = ++last_number_;
  Departure& departure = departures_[number];
  departure.backend_id = backend_id;
  departure.incarnation = incarnation;
  departure.begun_at = hooks_.clock();
  departure.done = std::move(done);
  AskOthers(number);
}

void DepartureService::AskOthers(std::int64_t number) {
  const std::vector<std::string> voters = hooks_.voters();
  const auto found = departures_.find(number);
  if (found == departures_.end()) return;
  Departure& departure = found->second;
  departure.retry_at = hooks_.clock() + kRetryInterval;
  const DepartureRequest request{departure.backend_id, RecordOf(departure.backend_id)};
  const std::set<std::string> holders = departure.holders;
  if (std::find(voters.begin(), voters.end(), hooks_.self) != voters.end()) {
    OnAnswer(number, hooks_.self, {request.record});
    if (!departures_.contains(number)) return;
  }
  for (const std::string& voter : voters) {
    if (voter == hooks_.self || holders.contains(voter)) continue;
    hooks_.ask(voter, request, [this, number, voter](const auto& answer) {
      if (answer) OnAnswer(number, voter, *answer);
    });
  }
}

void DepartureService::OnAnswer(std::int64_t number, const std::string& replica,
                                const DepartureAnswer& answer) {
  const auto found = departures_.find(number);
  if (found == departures_.end()) return;
  Departure& departure = found->second;
  if (!answer.record) {
    departure.unaware.insert(replica);
    return Check(number);
  }
  const MemberRecord& record = *answer.record;
  if (record.id != departure.backend_id) return;
  if (!departure.incarnation) {
    // A replica that has just started learns from the others whom the server's message is about.
    directory_->Learn(record);
    departure.incarnation = record.incarnation;
    departure.unaware.clear();
    departure.retry_at = hooks_.clock();
  }
  // It may be the one that leaves, or the start after it; the server's next message will tell.
  if (record.incarnation > *departure.incarnation) {
    directory_->Learn(record);
    return End(number, false);
  }
  if (record.incarnation == *departure.incarnation && record.leaving) {
    departure.holders.insert(replica);
  }
  Check(number);
}

void DepartureService::Check(std::int64_t number) {
  const Departure& departure = departures_.at(number);
  const std::vector<std::string> voters = hooks_.voters();
  const auto count = [&voters](const std::set<std::string>& replicas) {
    return static_cast<std::size_t>(
        std::count_if(voters.begin(), voters.end(),
                      [&](const std::string& voter) { return replicas.contains(voter); }));
  };
  if (count(departure.holders) > voters.size() / 2 && hooks_.in_contact()) {
    End(number, true);
  } else if (!departure.incarnation && count(departure.unaware) == voters.size()) {
    End(number, false);
  }
}

void DepartureService::End(std::int64_t number, bool acknowledged) {
  const auto found = departures_.find(number);
  const Departure departure = std::move(found->second);
  departures_.erase(found);
  LogEvent(LogLevel::kInfo, "departure_decided",
           {{"backend", departure.backend_id},
            {"incarnation", departure.incarnation.value_or(0)},
            {"holders", departure.holders.size()},
            {"unaware", departure.unaware.size()},
            {"held", acknowledged ? "yes" : "no"},
            {"ms", Milliseconds(hooks_.clock() - departure.begun_at)}});
  if (!acknowledged) return departure.done(false);
  hooks_.record({departure.backend_id, *departure.incarnation}, departure.done);
}

void DepartureService::Tick() {
  const Instant now = hooks_.clock();
  std::vector<std::int64_t> overdue;
  std::vector<std::int64_t> due;
  for (const auto& [number, departure] : departures_) {
    if (now - departure.begun_at >= kPatience) {
      overdue.push_back(number);
    } else if (now >= departure.retry_at) {
      due.push_back(number);
    }
  }
  for (const std::int64_t number : overdue) End(number, false);
  for (const std::int64_t number : due) AskOthers(number);
}

}  // namespace kumquat
