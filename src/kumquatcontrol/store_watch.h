// Watches stores of kept cache: an engine that fetches from a dead one loses some hundred
// milliseconds, so routers have to know.
#pragma once

#include <QTimer>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "cache_keeper.h"
#include "transport/backend_client.h"
#include "utils/endpoint.h"
#include "utils/hooks.h"

namespace kumquat {

class StoreWatch {
 public:
  // `on_changed` runs when a store came to life or died.
  StoreWatch(PartEventCodec codec, BackendClient* client, std::function<void()> on_changed);
  ~StoreWatch();

  void SetStores(const std::vector<Endpoint>& stores);

  // Returns whether each store that was asked at least once is alive.
  const std::map<Endpoint, bool>& alive() const { return alive_; }

 private:
  struct Watched {
    std::int64_t since = 0;
    std::unique_ptr<BackendCall> call;
    // Answers to a call that was given up are ignored.
    std::int64_t number = 0;
    std::unique_ptr<QTimer> timer;
  };

  void Poll(const Endpoint& store);
  void Answered(const Endpoint& store, std::int64_t number, std::optional<std::int64_t> next);
  void SetAlive(const Endpoint& store, bool is_alive);

  PartEventCodec codec_;
  BackendClient* client_;
  std::function<void()> on_changed_;
  std::map<Endpoint, Watched> watched_;
  std::map<Endpoint, bool> alive_;
  std::int64_t last_number_ = 0;
};

}  // namespace kumquat
