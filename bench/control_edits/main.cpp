// Prints the time from sending an edit until it is in force on every router, and claims a second.
// Usage: control_edits ROUTERS EDITS CLAIMS REPLICA..., each replica as "name@ip:port".
#include <fmt/format.h>

#include <QEventLoop>
#include <QTimer>
#include <algorithm>
#include <cstdlib>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "protocol/control_messages.h"
#include "transport/rpc.h"
#include "utils/application.h"
#include "utils/endpoint.h"
#include "utils/log.h"

namespace kumquat {
namespace {

constexpr Duration kTimeout = std::chrono::seconds(12);
constexpr std::chrono::seconds kRenewInterval{1};
constexpr int kClaimsAtOnce = 64;

Random SeededRandom(std::uint64_t seed) {
  return [generator = std::mt19937_64(seed)]() mutable { return generator(); };
}

// Calls the leader, wherever it is now, until it answers without a refusal.
class Caller {
 public:
  using OnAnswer = std::function<void(const QJsonObject& answer)>;

  Caller(
      const std::vector<NamedEndpoint>& replicas, std::uint64_t seed,
      const std::function<void()>& on_push = [] {}) {
    for (const NamedEndpoint& replica : replicas) {
      clients_.push_back(MakeRpcClient(replica.endpoint, SeededRandom(seed++), {},
                                       [on_push](std::string_view) { on_push(); }));
    }
  }

  void Call(std::string_view method, const QJsonObject& params, const OnAnswer& on_answer) {
    clients_[next_]->Call(
        method, params, kTimeout,
        [this, method, params, on_answer](const std::optional<QJsonObject>& result, RpcFailure) {
          if (result && !result->contains("error")) return on_answer(*result);
          next_ = (next_ + 1) % clients_.size();
          QTimer::singleShot(
              std::chrono::milliseconds(20), &context_,
              [this, method, params, on_answer] { Call(method, params, on_answer); });
        });
  }

 private:
  QObject context_;
  std::vector<std::unique_ptr<RpcClient>> clients_;
  std::size_t next_ = 0;
};

// Renews its lease once a second, and at once when a new revision is announced.
class Router {
 public:
  Router(const std::vector<NamedEndpoint>& replicas, int number)
      : caller_(replicas, static_cast<std::uint64_t>(number) * 10, [this] { Renew(); }) {
    request_.router_id = fmt::format("r{}", number);
    request_.router_incarnation = 1;
    request_.shares = {{"workshop", {}, {1, 10, 1}}};
    QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { Renew(); });
    timer_.start(kRenewInterval);
    Renew();
  }

 private:
  void Renew() {
    ++request_.sequence;
    caller_.Call(control_method::kRenewLease, ToJson(request_), [this](const QJsonObject& json) {
      std::string reason;
      const auto answer = ParseLeaseAnswer(json, &reason);
      if (!answer) return;
      const bool has_new = answer->plans_revision > request_.plans_revision ||
                           answer->allowances_revision > request_.allowances_revision;
      request_.plans_revision = std::max(request_.plans_revision, answer->plans_revision);
      request_.allowances_revision =
          std::max(request_.allowances_revision, answer->allowances_revision);
      // The next request reports what is held now.
      if (has_new) Renew();
    });
  }

  LeaseRequest request_;
  QTimer timer_;
  Caller caller_;
};

QJsonObject Allowances(std::int64_t rate) {
  return ToJson(AllowanceList{{"large", {}, {}, {rate, 100, 10}, 1, true}});
}

double MillisSince(Instant start) {
  return static_cast<double>((SteadyClock()() - start).count()) / 1000;
}

void MeasureEdits(Caller& operators, int edits) {
  std::vector<double> times;
  for (int revision = 0; revision < edits; ++revision) {
    const Instant start = SteadyClock()();
    QEventLoop loop;
    const ListEdit edit{ListName::kAllowances, revision, Allowances(revision + 1)};
    operators.Call(control_method::kSetList, ToJson(edit),
                   [&](const QJsonObject&) { loop.quit(); });
    loop.exec();
    // The first one waits for the leader's first lease.
    if (revision > 0) times.push_back(MillisSince(start));
  }
  std::sort(times.begin(), times.end());
  fmt::print("in force after, of {} edits: median {:.1f} ms, 99 in 100 {:.1f} ms, most {:.1f} ms\n",
             times.size(), times[times.size() / 2], times[times.size() * 99 / 100], times.back());
}

void MeasureClaims(Caller& router, int claims) {
  const Instant start = SteadyClock()();
  QEventLoop loop;
  int begun = 0;
  int answered = 0;
  std::function<void()> begin = [&] {
    if (begun == claims) return;
    const ClaimId id{"workshop", std::to_string(begun++), "x"};
    router.Call(control_method::kBeginClaim, ToJson(ClaimRequest{id, "d", "r", 1}),
                [&](const QJsonObject&) {
                  if (++answered == claims) loop.quit();
                  begin();
                });
  };
  for (int i = 0; i < kClaimsAtOnce; ++i) begin();
  loop.exec();
  fmt::print("claims: {:.0f} a second, {} at once\n", claims * 1000 / MillisSince(start),
             kClaimsAtOnce);
}

int Main(int argc, char** argv) {
  constexpr int kFirstReplica = 4;
  const Application application(argc, argv);
  ConfigureLog("bench", LogLevel::kError);
  std::vector<NamedEndpoint> replicas;
  for (int i = kFirstReplica; i < argc; ++i) replicas.push_back(*ParseNamedEndpoint(argv[i]));
  if (replicas.empty()) return EXIT_FAILURE;
  const int routers = std::atoi(argv[1]);
  const int edits = std::atoi(argv[2]);
  const int claims = std::atoi(argv[3]);
  std::vector<std::unique_ptr<Router>> all;
  all.reserve(static_cast<std::size_t>(routers));
  for (int i = 0; i < routers; ++i) all.push_back(std::make_unique<Router>(replicas, i + 1));
  Caller operators(replicas, 1);
  fmt::print("{} routers\n", routers);
  MeasureEdits(operators, edits);
  MeasureClaims(operators, claims);
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace kumquat

int main(int argc, char** argv) { return kumquat::Main(argc, argv); }
