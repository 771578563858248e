#include "transport/witnessed_probe.h"

#include <utility>

#include "utils/deadline_timer.h"

namespace kumquat {
namespace {

// A link that is choked for longer is as good as none.
constexpr Duration kLongestWait = std::chrono::milliseconds(1000);

class WitnessedProbe : public ConnectProbe {
 public:
  WitnessedProbe(const WitnessedProbeOptions& options, std::function<void(ProbeVerdict)> on_verdict,
                 ProbeStarter start)
      : options_(options), on_verdict_(std::move(on_verdict)), start_(std::move(start)) {
    grace_.OnReached([this] { Finish(ProbeVerdict::kGone); });
    first_ = start_(options_.suspect, options_.patience, [this](ConnectProbeResult result) {
      if (result == ConnectProbeResult::kSilent && options_.witness) {
        AskWitness();
      } else {
        Finish(VerdictOf(result));
      }
    });
  }

 private:
  static ProbeVerdict VerdictOf(ConnectProbeResult result) {
    if (result == ConnectProbeResult::kConnected) return ProbeVerdict::kReachable;
    return result == ConnectProbeResult::kRefused ? ProbeVerdict::kRefused : ProbeVerdict::kGone;
  }

  void AskWitness() {
    second_ = start_(options_.suspect, kLongestWait, [this](ConnectProbeResult result) {
      // Where both are silent to the end, the witness says so.
      if (result != ConnectProbeResult::kSilent) Finish(VerdictOf(result));
    });
    witness_ = start_(*options_.witness, kLongestWait, [this](ConnectProbeResult result) {
      if (result == ConnectProbeResult::kConnected) {
        grace_.StartAfter(options_.grace);
      } else {
        Finish(ProbeVerdict::kUnknown);
      }
    });
  }

  // The hook may destroy this probe.
  void Finish(ProbeVerdict verdict) {
    grace_.Stop();
    const auto hook = std::exchange(on_verdict_, nullptr);
    if (hook) hook(verdict);
  }

  WitnessedProbeOptions options_;
  std::function<void(ProbeVerdict)> on_verdict_;
  ProbeStarter start_;
  DeadlineTimer grace_;
  std::unique_ptr<ConnectProbe> first_;
  std::unique_ptr<ConnectProbe> second_;
  std::unique_ptr<ConnectProbe> witness_;
};

}  // namespace

std::unique_ptr<ConnectProbe> StartWitnessedProbe(const WitnessedProbeOptions& options,
                                                  std::function<void(ProbeVerdict)> on_verdict,
                                                  const ProbeStarter& start) {
  return std::make_unique<WitnessedProbe>(options, std::move(on_verdict), start);
}

}  // namespace kumquat
