// Fixture for requests that crash backend servers: four of them that come back, and counts of their
// crashes.
#pragma once

#include <fmt/format.h>

#include <QElapsedTimer>
#include <array>
#include <memory>
#include <numeric>
#include <string>

#include "process/forwarding/forward_bench.h"

namespace kumquat {

// From this long after the crash that reaches the limit, at most kMaxSendsAfterContactTime more
// requests reach a server.
inline constexpr std::chrono::milliseconds kContactTime{3000};
inline constexpr int kMaxSendsAfterContactTime = 3;

class CrashBench : public ForwardBench {
 public:
  static constexpr std::size_t kServers = 4;
  static constexpr std::chrono::milliseconds kTimeBetweenSends{50};
  static constexpr int kSendsUntilCondemned = 12;

  CrashBench() {
    for (std::size_t i = 0; i < kServers; ++i) {
      servers_[i] = std::make_unique<StandInServer>(fmt::format("s{}", i), "desk", control());
    }
    for (int router = 0; router < kRouters; ++router) WaitForStatus(router, "/again/look", 200);
  }

  void CrashOnBody(const std::string& body) {
    for (const auto& server : servers_) server->CrashOnBody(body);
  }

  // All servers are engines with this model from now on, which crash on prompts with this part.
  void CrashOnPart(const std::string& model, const std::string& part) {
    for (const auto& server : servers_) {
      server->SetWeights(model, 1);
      server->CrashOnPart(part);
    }
  }

  void SetCrashMoment(StandInServer::CrashMoment moment) {
    for (const auto& server : servers_) server->SetCrashMoment(moment);
  }

  StandInServer& server(std::size_t index) { return *servers_[index]; }

  int Crashes() const {
    return std::accumulate(servers_.begin(), servers_.end(), 0,
                           [](int sum, const auto& server) { return sum + server->crashes(); });
  }

  // Sends the request again and again until it is refused as one that crashes servers: that is
  // known once a trial has crashed one too. Returns whether it was refused so in time.
  bool SendUntilCondemned(const std::string& path, const std::string& body) {
    for (int i = 0; i < kSendsUntilCondemned; ++i) {
      if (Send(i % kRouters, path, body) == 422) return true;
      Wait(StandInServer::kDownTime);
    }
    return false;
  }

  // Sends the request through one router after the other until this many servers have crashed.
  void SendUntilCrashes(int crashes, const std::string& path, const std::string& body) {
    int next = 0;
    CHECK(SpinUntil([&] {
      if (Crashes() < crashes) Send(next++ % kRouters, path, body);
      Wait(kTimeBetweenSends);
      return Crashes() >= crashes;
    }));
  }

  int Send(int router, const std::string& path, const std::string& body = {},
           const HttpHeaders& headers = {}) {
    std::string id;
    return Run(router, path, &id, body, headers)->status;
  }

  static void Wait(std::chrono::milliseconds time) {
    QElapsedTimer timer;
    timer.start();
    CHECK(SpinUntil([&] { return timer.elapsed() >= time.count(); }));
  }

 private:
  std::array<std::unique_ptr<StandInServer>, kServers> servers_;
};

}  // namespace kumquat
