#include "cache_keeper.h"

#include <algorithm>
#include <utility>

#include "utils/log.h"

namespace kumquat {
namespace {

constexpr Duration kReadTimeout = std::chrono::milliseconds(1800);
constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);
// The list of a large store's parts takes some 60 bytes each.
constexpr GatherLimits kReadLimits{std::chrono::seconds(5), 8 * 1024 * 1024};
// Between the end of one read and the next one: events of this long are told together.
constexpr std::chrono::milliseconds kReadPause{120};
constexpr std::chrono::milliseconds kFailedReadPause{600};
// A replica that keeps many sources reads each of them less often.
constexpr std::int64_t kMaxReadsPerSecond = 400;

}  // namespace

CacheKeeper::CacheKeeper(PartEventCodec codec, BackendClient* client, Publish publish)
    : codec_(std::move(codec)), client_(client), publish_(std::move(publish)) {}

CacheKeeper::~CacheKeeper() = default;

void CacheKeeper::SetSources(const std::vector<CacheSource>& sources) {
  std::erase_if(kept_, [&](const auto& entry) {
    return std::none_of(sources.begin(), sources.end(), [&](const CacheSource& source) {
      return source.name == entry.first && source.endpoint == entry.second.endpoint;
    });
  });
  for (const CacheSource& source : sources) {
    const auto [entry, is_new] = kept_.try_emplace(source.name);
    if (!is_new) continue;
    Kept& kept = entry->second;
    kept.endpoint = source.endpoint;
    kept.may_list = source.may_list;
    kept.timer = std::make_unique<QTimer>();
    kept.timer->setSingleShot(true);
    QObject::connect(kept.timer.get(), &QTimer::timeout, kept.timer.get(),
                     [this, name = source.name] { Read(name); });
    kept.timer->start(kReadPause);
  }
}

std::chrono::milliseconds CacheKeeper::ReadPause() const {
  const auto sources = static_cast<std::int64_t>(kept_.size());
  return std::max(kReadPause, std::chrono::milliseconds(1000 * sources / kMaxReadsPerSecond));
}

void CacheKeeper::Read(const std::string& source) {
  Kept& kept = kept_.at(source);
  const std::int64_t number = ++last_number_;
  kept.number = number;
  const bool lists = kept.wants_list;
  BackendCallRequest request =
      lists ? codec_.encode_list(kept.endpoint) : codec_.encode_read(kept.endpoint, kept.next);
  request.timeouts = {kConnectTimeout, kReadTimeout, kReadTimeout};
  const auto on_answer = [this, source, number, lists](int status, std::string_view body) {
    const auto& decode = lists ? codec_.decode_list : codec_.decode_read;
    Answered(source, number, decode(status, body));
  };
  kept.call = StartGathered(*client_, std::move(request), kReadLimits, on_answer);
}

void CacheKeeper::Answered(const std::string& source, std::int64_t number,
                           const std::optional<PartEvents>& events) {
  const auto found = kept_.find(source);
  if (found == kept_.end() || found->second.number != number) return;
  Kept& kept = found->second;
  const bool tells = events && events->epoch != 0;
  kept.timer->start(tells ? ReadPause() : kFailedReadPause);
  if (!tells) return;
  if (std::exchange(kept.wants_list, false)) {
    TakeList(source, &kept, *events);
  } else {
    Take(source, &kept, *events);
  }
}

// Takes the events in and returns them in their short form.
std::vector<PartChange> CacheKeeper::Apply(const std::vector<PartEvent>& events, Kept* kept) {
  std::vector<PartChange> changes;
  changes.reserve(events.size());
  for (const PartEvent& event : events) {
    const PartChange change{PartKey(event.salt, event.part), event.tokens};
    changes.push_back(change);
    if (change.tokens > 0) {
      kept->held[change.key] = change.tokens;
    } else {
      kept->held.erase(change.key);
    }
  }
  return changes;
}

void CacheKeeper::TakeList(const std::string& source, Kept* kept, const PartEvents& list) {
  LogEvent(LogLevel::kInfo, "cache_listed",
           {{"source", source}, {"parts", list.events.size()}, {"next", list.next}});
  kept->held.clear();
  kept->epoch = list.epoch;
  kept->next = list.next;
  Apply(list.events, kept);
  publish_(*Snapshot(source));
}

void CacheKeeper::Take(const std::string& source, Kept* kept, const PartEvents& events) {
  const bool is_restart = events.epoch != kept->epoch;
  const bool begins_anew = is_restart || events.has_gap;
  CacheNews news;
  news.source = source;
  news.epoch = events.epoch;
  news.from = begins_anew ? 0 : kept->next;
  news.next = events.next;
  if (begins_anew) {
    // Of what came before a gap nothing is sure. A restarted source is read again from its start.
    kept->held.clear();
    kept->epoch = events.epoch;
    const bool was_read_from_the_start = kept->next == 0;
    if (is_restart && !was_read_from_the_start) {
      kept->next = 0;
      return;
    }
    kept->wants_list = events.has_gap && kept->may_list;
  }
  news.changes = Apply(events.events, kept);
  const bool is_news = begins_anew || !news.changes.empty();
  kept->next = events.next;
  if (is_news) publish_(news);
}

std::optional<CacheNews> CacheKeeper::Snapshot(const std::string& source) const {
  const auto found = kept_.find(source);
  if (found == kept_.end() || found->second.epoch == 0) return std::nullopt;
  const Kept& kept = found->second;
  CacheNews news;
  news.source = source;
  news.epoch = kept.epoch;
  news.next = kept.next;
  news.is_snapshot = true;
  for (const auto& [key, tokens] : kept.held) news.changes.push_back({key, tokens});
  return news;
}

std::vector<CacheNews> CacheKeeper::Snapshots() const {
  std::vector<CacheNews> snapshots;
  for (const auto& [source, kept] : kept_) {
    if (auto snapshot = Snapshot(source)) snapshots.push_back(std::move(*snapshot));
  }
  return snapshots;
}

std::vector<CacheNews> CacheKeeper::HoldersOf(std::span<const std::uint64_t> keys) const {
  std::vector<CacheNews> holders;
  for (const auto& [source, kept] : kept_) {
    CacheNews news{source, kept.epoch, kept.next, kept.next, false, {}};
    for (const std::uint64_t key : keys) {
      const auto held = kept.held.find(key);
      if (held != kept.held.end()) news.changes.push_back({key, held->second});
    }
    if (!news.changes.empty()) holders.push_back(std::move(news));
  }
  return holders;
}

}  // namespace kumquat
