#include "transport/witnessed_probe.h"

#include <doctest/doctest.h>

#include <optional>
#include <utility>
#include <vector>

#include "raw_peer.h"

namespace kumquat {
namespace {

const Endpoint kSuspect{"10.0.0.1", 1};
const Endpoint kWitness{"10.0.0.2", 1};
constexpr Duration kGrace = std::chrono::milliseconds(5);

// Probes whose results the test gives, in the order of their start.
class Probes {
 public:
  explicit Probes(const std::optional<Endpoint>& witness) {
    probe_ = StartWitnessedProbe(
        {kSuspect, witness, std::chrono::milliseconds(100), kGrace},
        [this](ProbeVerdict verdict) { verdicts.push_back(verdict); },
        [this](const Endpoint& endpoint, Duration /*timeout*/,
               std::function<void(ConnectProbeResult)> on_result) {
          asked.push_back(endpoint);
          results_.push_back(std::move(on_result));
          return std::make_unique<ConnectProbe>();
        });
  }

  void Give(std::size_t place, ConnectProbeResult result) { results_.at(place)(result); }

  std::vector<Endpoint> asked;
  std::vector<ProbeVerdict> verdicts;

 private:
  std::vector<std::function<void(ConnectProbeResult)>> results_;
  std::unique_ptr<ConnectProbe> probe_;
};

using Verdicts = std::vector<ProbeVerdict>;

TEST_CASE("A first answer decides, and silence where nobody can be asked") {
  Probes connected(kWitness);
  connected.Give(0, ConnectProbeResult::kConnected);
  CHECK(connected.verdicts == Verdicts{ProbeVerdict::kReachable});
  Probes refused(kWitness);
  refused.Give(0, ConnectProbeResult::kRefused);
  CHECK(refused.verdicts == Verdicts{ProbeVerdict::kRefused});
  Probes alone(std::nullopt);
  alone.Give(0, ConnectProbeResult::kSilent);
  CHECK(alone.verdicts == Verdicts{ProbeVerdict::kGone});
}

TEST_CASE("A silent server is gone once a witness is reached and it isn't") {
  Probes probes(kWitness);
  probes.Give(0, ConnectProbeResult::kSilent);
  CHECK(probes.asked == std::vector<Endpoint>{kSuspect, kSuspect, kWitness});
  probes.Give(2, ConnectProbeResult::kConnected);
  CHECK(probes.verdicts.empty());
  CHECK(SpinUntil([&] { return !probes.verdicts.empty(); }));
  CHECK(probes.verdicts == Verdicts{ProbeVerdict::kGone});
}

// On copenq-router-grown a router's link was full for 120 ms; four servers looked gone at once.
TEST_CASE("On a choked link, where the witness is slow as well, no server is gone") {
  Probes slow(kWitness);
  slow.Give(0, ConnectProbeResult::kSilent);
  slow.Give(2, ConnectProbeResult::kConnected);
  slow.Give(1, ConnectProbeResult::kConnected);
  CHECK(slow.verdicts == Verdicts{ProbeVerdict::kReachable});
  Probes cut(kWitness);
  cut.Give(0, ConnectProbeResult::kSilent);
  cut.Give(1, ConnectProbeResult::kSilent);
  CHECK(cut.verdicts.empty());
  cut.Give(2, ConnectProbeResult::kSilent);
  CHECK(cut.verdicts == Verdicts{ProbeVerdict::kUnknown});
}

}  // namespace
}  // namespace kumquat
