// Announces a fake to the routers.
#pragma once

#include <QTimer>
#include <functional>
#include <memory>

#include "common/fake_settings.h"
#include "protocol/announcement.h"
#include "transport/backend_client.h"

namespace kumquat {

// Sends an announcement in each interval to the first router that answers.
class Announcer {
 public:
  // `describe` fills in what the settings don't say: kind, models or operations, load.
  Announcer(const FakeSettings& settings, std::function<void(Announcement*)> describe);

  // Announces now and from then on in each interval.
  void Start();

  // Announces from now on that this backend server is leaving.
  void Leave();

 private:
  void Announce();
  void SendTo(std::size_t router);

  FakeSettings settings_;
  std::function<void(Announcement*)> describe_;
  std::unique_ptr<BackendClient> client_;
  std::unique_ptr<BackendCall> call_;
  QTimer timer_;
  BackendState state_ = BackendState::kServing;
  std::int64_t sequence_ = 0;
  std::string body_;
};

}  // namespace kumquat
