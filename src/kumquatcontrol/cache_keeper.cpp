#include "cache_keeper.h"

#include <algorithm>
#include <utility>

namespace kumquat {
namespace {

constexpr Duration kReadTimeout = std::chrono::milliseconds(1800);
constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);
// Between the end of one read and the next one: events of this long are told together.
constexpr std::chrono::milliseconds kReadPause{120};
constexpr std::chrono::milliseconds kFailedReadPause{600};

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
    kept.timer = std::make_unique<QTimer>();
    kept.timer->setSingleShot(true);
    QObject::connect(kept.timer.get(), &QTimer::timeout, kept.timer.get(),
                     [this, name = source.name] { Read(name); });
    kept.timer->start(kReadPause);
  }
}

void CacheKeeper::Read(const std::string& source) {
  Kept& kept = kept_.at(source);
  const std::int64_t number = ++last_number_;
  kept.number = number;
  BackendCallRequest request = codec_.encode_read(kept.endpoint, kept.next);
  request.timeouts = {kConnectTimeout, kReadTimeout, kReadTimeout};
  const auto on_answer = [this, source, number](int status, std::string_view body) {
    Answered(source, number, codec_.decode_read(status, body));
  };
  kept.call = client_->Start(std::move(request), GatherAnswer(on_answer));
}

void CacheKeeper::Answered(const std::string& source, std::int64_t number,
                           const std::optional<PartEvents>& events) {
  const auto found = kept_.find(source);
  if (found == kept_.end() || found->second.number != number) return;
  found->second.timer->start(events ? kReadPause : kFailedReadPause);
  if (events) Take(source, &found->second, *events);
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
  }
  for (const PartEvent& event : events.events) {
    const PartChange change{PartKey(event.salt, event.part), event.tokens};
    news.changes.push_back(change);
    if (change.tokens > 0) {
      kept->held[change.key] = change.tokens;
    } else {
      kept->held.erase(change.key);
    }
  }
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

}  // namespace kumquat
