#include "coordination/forwarding/waiting_order.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <queue>
#include <tuple>
#include <utility>
#include <vector>

namespace kumquat {
namespace {

// Use counts e times less after this time. Overload lasts for some seconds, and what was used
// before says little about who causes it.
constexpr Duration kUseTimeConstant = std::chrono::seconds(2);
constexpr std::size_t kMaxOrganisations = 4096;
// An organisation whose use has decayed to this is forgotten. A request without a prompt adds 1.
constexpr double kNoUse = 0.1;
// Requests come at random, so that organisations with the same traffic differ by about this factor.
constexpr double kShareFactor = 2;
// What was denied says for this long that its organisation finds no room. Requests of one come to a
// router about as seldom.
constexpr Duration kDenialLifetime = kUseTimeConstant;
constexpr double kFarLessFactor = 4;
// Requests that wait are tried every 15 ms; an engine with a shorter queue could run out of work.
constexpr Duration kLeastQueueLimit = std::chrono::milliseconds(30);
// Few of the denials decide the limit, and each is looked at for each request that is tried.
constexpr std::size_t kMaxDenials = 64;

// The place in the order of the first request of a line: the requests of one rank and organisation.
using Place = std::tuple<std::int64_t, int, Instant>;

struct Line {
  std::int64_t rank = 0;
  std::string_view organisation;
  // In order of arrival.
  std::vector<std::size_t> requests;
  std::size_t next = 0;
};

std::vector<Line> LinesOf(std::span<const WaitingRequest> requests) {
  std::map<std::pair<std::int64_t, std::string_view>, std::vector<std::size_t>> grouped;
  for (std::size_t i = 0; i < requests.size(); ++i) {
    grouped[{requests[i].rank, requests[i].organisation}].push_back(i);
  }
  std::vector<Line> lines;
  lines.reserve(grouped.size());
  for (auto& [key, indexes] : grouped) {
    std::stable_sort(indexes.begin(), indexes.end(), [&](std::size_t left, std::size_t right) {
      return requests[left].arrived < requests[right].arrived;
    });
    lines.push_back({key.first, key.second, std::move(indexes)});
  }
  return lines;
}

}  // namespace

double WaitingOrder::Use::AmountAt(Instant now) const {
  const Duration age = std::max(now - at, Duration(0));
  return amount * std::exp(-static_cast<double>(age.count()) /
                           static_cast<double>(kUseTimeConstant.count()));
}

void WaitingOrder::Use::Add(double added, Instant now) {
  amount = AmountAt(now) + added;
  at = std::max(at, now);
}

void WaitingOrder::AddUse(std::int64_t rank, std::string_view organisation, std::int64_t amount,
                          Instant now) {
  if (now - pruned_at_ >= kUseTimeConstant || uses_.size() >= kMaxOrganisations) Prune(now);
  const auto [use, is_new] = uses_.try_emplace({rank, std::string(organisation)});
  use->second.Add(static_cast<double>(amount), now);
  RankTotal& total = totals_[rank];
  total.use.Add(static_cast<double>(amount), now);
  if (is_new) ++total.organisations;
}

void WaitingOrder::NoteDenied(std::int64_t rank, std::string_view organisation,
                              Duration longest_queue, Instant now) {
  // It wouldn't fit at an idle engine either.
  if (longest_queue <= Duration(0)) return;
  std::erase_if(denials_,
                [&](const auto& entry) { return now - entry.second.at > kDenialLifetime; });
  const std::pair key(rank, std::string(organisation));
  if (denials_.size() >= kMaxDenials && !denials_.contains(key)) return;
  denials_[key] = {now, longest_queue};
}

std::optional<Duration> WaitingOrder::QueueLimit(std::int64_t rank, std::string_view organisation,
                                                 Instant now) const {
  std::optional<Duration> limit;
  const double own = AmountOf(rank, organisation, now);
  for (auto denied = denials_.lower_bound({rank, ""});
       denied != denials_.end() && denied->first.first == rank; ++denied) {
    const Denial& denial = denied->second;
    if (now - denial.at > kDenialLifetime) continue;
    if (own <= kFarLessFactor * AmountOf(rank, denied->first.second, now)) continue;
    // Others would fill an engine up to the limit, so that it has to leave some room.
    const Duration room = std::max(denial.longest_queue / 2, kLeastQueueLimit);
    limit = std::min(limit.value_or(room), room);
  }
  return limit;
}

double WaitingOrder::MoreUrgentShare(std::int64_t rank, Instant now) const {
  double more_urgent = 0;
  double all = 0;
  for (const auto& [of_rank, total] : totals_) {
    const double amount = total.use.AmountAt(now);
    all += amount;
    if (of_rank < rank) more_urgent += amount;
  }
  return all > 0 ? more_urgent / all : 0;
}

// Removes the organisations that have used nothing recently; if that leaves no room, also the half
// with the least use, so that it is seldom needed.
void WaitingOrder::Prune(Instant now) {
  pruned_at_ = now;
  const auto drop_up_to = [&](double amount) {
    std::erase_if(uses_, [&](const auto& entry) { return entry.second.AmountAt(now) <= amount; });
  };
  drop_up_to(kNoUse);
  if (uses_.size() >= kMaxOrganisations) {
    std::vector<double> amounts;
    amounts.reserve(uses_.size());
    for (const auto& [key, use] : uses_) amounts.push_back(use.AmountAt(now));
    const auto middle = amounts.begin() + static_cast<std::ptrdiff_t>(amounts.size() / 2);
    std::nth_element(amounts.begin(), middle, amounts.end());
    drop_up_to(*middle);
  }
  totals_.clear();
  for (const auto& [key, use] : uses_) {
    RankTotal& total = totals_[key.first];
    total.use.Add(use.AmountAt(now), now);
    ++total.organisations;
  }
}

double WaitingOrder::AmountOf(std::int64_t rank, std::string_view organisation, Instant now) const {
  const auto found = uses_.find({rank, std::string(organisation)});
  return found != uses_.end() ? found->second.AmountAt(now) : 0;
}

int WaitingOrder::UseStep(std::int64_t rank, std::string_view organisation, Instant now) const {
  const double amount = AmountOf(rank, organisation, now);
  return amount < 1 ? 0 : 1 + std::ilogb(amount);
}

bool WaitingOrder::IsOverShare(std::int64_t rank, std::string_view organisation,
                               Instant now) const {
  const double own = AmountOf(rank, organisation, now);
  const auto total = totals_.find(rank);
  if (own == 0 || total == totals_.end() || total->second.organisations < 2) return false;
  const double others = std::max(0.0, total->second.use.AmountAt(now) - own);
  return own > kShareFactor * others / static_cast<double>(total->second.organisations - 1);
}

void WaitingOrder::TryInOrder(std::span<const WaitingRequest> requests, Instant now,
                              const std::function<void(std::size_t index)>& try_send) const {
  std::vector<Line> lines = LinesOf(requests);
  const auto place_of = [&](const Line& line) {
    return Place(line.rank, UseStep(line.rank, line.organisation, now),
                 requests[line.requests[line.next]].arrived);
  };
  using Entry = std::pair<Place, std::size_t>;
  std::priority_queue<Entry, std::vector<Entry>, std::greater<>> queue;
  for (std::size_t i = 0; i < lines.size(); ++i) queue.emplace(place_of(lines[i]), i);
  while (!queue.empty()) {
    const Entry first = queue.top();
    queue.pop();
    Line& line = lines[first.second];
    // What was sent meanwhile may have moved the line back.
    const Place place = place_of(line);
    if (place > first.first) {
      queue.emplace(place, first.second);
      continue;
    }
    try_send(line.requests[line.next]);
    if (++line.next < line.requests.size()) queue.emplace(place_of(line), first.second);
  }
}

}  // namespace kumquat
