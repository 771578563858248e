#include "store_watch.h"

#include <algorithm>
#include <utility>

#include "utils/log.h"

namespace kumquat {
namespace {

// The store holds a call for up to 0.8 s; an answer that takes longer than this doesn't come.
constexpr Duration kPollTimeout = std::chrono::milliseconds(1300);
constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);
constexpr GatherLimits kPollLimits{kConnectTimeout + kPollTimeout, 4 * 1024 * 1024};
// Between the end of one poll and the next one, while the store is alive and while it is not.
constexpr std::chrono::milliseconds kPollPause{100};
constexpr std::chrono::milliseconds kDeadPollPause{400};

}  // namespace

StoreWatch::StoreWatch(PartEventCodec codec, BackendClient* client,
                       std::function<void()> on_changed)
    : codec_(std::move(codec)), client_(client), on_changed_(std::move(on_changed)) {}

StoreWatch::~StoreWatch() = default;

void StoreWatch::SetStores(const std::vector<Endpoint>& stores) {
  const auto is_wanted = [&](const auto& entry) {
    return std::find(stores.begin(), stores.end(), entry.first) != stores.end();
  };
  std::erase_if(watched_, [&](const auto& entry) { return !is_wanted(entry); });
  std::erase_if(alive_, [&](const auto& entry) { return !is_wanted(entry); });
  for (const Endpoint& store : stores) {
    const auto [entry, is_new] = watched_.try_emplace(store);
    if (!is_new) continue;
    entry->second.timer = std::make_unique<QTimer>();
    entry->second.timer->setSingleShot(true);
    QObject::connect(entry->second.timer.get(), &QTimer::timeout, entry->second.timer.get(),
                     [this, store] { Poll(store); });
    entry->second.timer->start(kPollPause);
  }
}

void StoreWatch::Poll(const Endpoint& store) {
  Watched& watched = watched_.at(store);
  const std::int64_t number = ++last_number_;
  watched.number = number;
  BackendCallRequest request = codec_.encode_read(store, watched.since);
  request.timeouts = {kConnectTimeout, kPollTimeout, kPollTimeout};
  const auto on_answer = [this, store, number](int status, std::string_view body) {
    const auto events = codec_.decode_read(status, body);
    Answered(store, number, events ? std::optional(events->next) : std::nullopt);
  };
  watched.call = StartGathered(*client_, std::move(request), kPollLimits, on_answer);
}

void StoreWatch::Answered(const Endpoint& store, std::int64_t number,
                          std::optional<std::int64_t> next) {
  const auto found = watched_.find(store);
  if (found == watched_.end() || found->second.number != number) return;
  found->second.since = next.value_or(0);
  found->second.timer->start(next ? kPollPause : kDeadPollPause);
  SetAlive(store, next.has_value());
}

void StoreWatch::SetAlive(const Endpoint& store, bool is_alive) {
  const auto [entry, is_new] = alive_.try_emplace(store, is_alive);
  if (!is_new && entry->second == is_alive) return;
  entry->second = is_alive;
  LogEvent(LogLevel::kInfo, is_alive ? "store_alive" : "store_dead", {{"store", store.ToString()}});
  on_changed_();
}

}  // namespace kumquat
