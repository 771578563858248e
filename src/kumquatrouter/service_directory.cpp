#include "service_directory.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "coordination/membership/member_table.h"

namespace kumquat {
namespace {

bool PathMatches(std::string_view pattern, std::string_view path) {
  if (!pattern.empty() && pattern.back() == '*') {
    pattern.remove_suffix(1);
    return path.substr(0, pattern.size()) == pattern;
  }
  return pattern == path;
}

const ServiceOperation* FindOperation(const MemberRecord& record, std::string_view service,
                                      std::string_view method, std::string_view path) {
  if (!record.backend || record.backend->kind != BackendKind::kService) return nullptr;
  if (record.backend->service != service) return nullptr;
  const auto& operations = record.backend->operations;
  const auto operation =
      std::find_if(operations.begin(), operations.end(), [&](const ServiceOperation& entry) {
        return entry.method == method && PathMatches(entry.path, path);
      });
  return operation == operations.end() ? nullptr : &*operation;
}

}  // namespace

ServiceDirectory::ServiceDirectory(const MemberTable* table, Clock clock)
    : table_(table), clock_(std::move(clock)) {}

std::optional<ServiceTarget> ServiceDirectory::Find(std::string_view service,
                                                    std::string_view method,
                                                    std::string_view path) const {
  std::optional<ServiceTarget> target;
  table_->ForEach([&](const Member& member) {
    const ServiceOperation* operation = FindOperation(member.record, service, method, path);
    if (!operation) return;
    if (!target) {
      target = ServiceTarget{std::string(service), std::string(method), std::string(path), true};
    }
    target->repeatable = target->repeatable && operation->repeatable;
  });
  return target;
}

std::optional<BackendChoice> ServiceDirectory::Choose(const ServiceTarget& target,
                                                      std::span<const BackendChoice> avoid) const {
  std::optional<BackendChoice> best;
  std::tuple<bool, bool, std::int64_t> best_rank;
  const Instant now = clock_();
  table_->ForEach([&](const Member& member) {
    const MemberRecord& record = member.record;
    if (record.leaving || now < member.retry_at) return;
    if (!FindOperation(record, target.service, target.method, target.path)) return;
    const BackendChoice backend{record.id, record.incarnation};
    const bool is_avoided = std::find(avoid.begin(), avoid.end(), backend) != avoid.end();
    const auto running = running_.find(record.id);
    const std::tuple rank(record.down, is_avoided,
                          running == running_.end() ? std::int64_t{0} : running->second);
    if (best && rank >= best_rank) return;
    best = backend;
    best_rank = rank;
  });
  return best;
}

std::size_t ServiceDirectory::CountUp(const ServiceTarget& target) const {
  std::size_t up = 0;
  table_->ForEach([&](const Member& member) {
    const MemberRecord& record = member.record;
    const bool serves =
        FindOperation(record, target.service, target.method, target.path) != nullptr;
    if (serves && !record.leaving && !record.down) ++up;
  });
  return up;
}

}  // namespace kumquat
