#include "engine_operator.h"

#include <fmt/format.h>

#include <QCoreApplication>
#include <cstdlib>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "property.h"

namespace kumquat {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kLease = seconds(1);
constexpr Duration kStep = milliseconds(20);
constexpr int kAccepted = 202;
const std::string kModel = "lm";

struct SentOrder {
  std::string holder;
  std::int64_t fencing_number = 0;
  Instant at{0};
};

// Engines that take every order and load at once, one version behind whatever is named.
struct Engines {
  std::vector<SentOrder> orders;
  std::int64_t accepted = 0;
};

// Answers calls when it is told to, after Start has returned.
class FakeClient : public BackendClient {
 public:
  explicit FakeClient(Engines* engines) : engines_(engines) {}

  std::unique_ptr<BackendCall> Start(BackendCallRequest request, BackendCallHooks hooks) override {
    waiting_.emplace_back(std::move(request), std::move(hooks));
    return std::make_unique<BackendCall>();
  }

  void Answer() {
    for (auto& [request, hooks] : std::exchange(waiting_, {})) {
      const bool is_order = request.method == "ORDER";
      hooks.on_headers(is_order ? kAccepted : 200, {});
      hooks.on_data(fmt::format("{}", is_order ? ++engines_->accepted : engines_->accepted));
      hooks.on_end();
    }
  }

 private:
  Engines* engines_;
  std::deque<std::pair<BackendCallRequest, BackendCallHooks>> waiting_;
};

// One replica, which orders while it believes that it leads.
class Replica {
 public:
  Replica(std::string name, Engines* engines, const Instant* now)
      : name_(std::move(name)), engines_(engines), now_(now), client_(engines) {
    EngineOperatorOptions options;
    options.holder = name_;
    options.lease = kLease;
    options.engines_check_fences = true;
    operator_ = std::make_unique<EngineOperator>(options, Hooks(), Codec(), &client_);
  }

  void Believe(std::optional<std::int64_t> term) { believed_ = term; }
  const Metrics& metrics() {
    operator_->Measure();
    return metrics_;
  }
  void FormerLeaderIsSilent(bool is_silent) { former_is_silent_ = is_silent; }

  // `leads` is the term in which a majority follows this replica now.
  void Step(std::optional<std::int64_t> leads, const std::function<bool()>& is_slow) {
    leads_ = leads;
    for (auto& round : std::exchange(rounds_, {})) {
      if (is_slow()) {
        rounds_.push_back(std::move(round));
      } else {
        round.done(round.is_confirmed);
      }
    }
    named_.Learn(kModel, engines_->accepted + 1, *now_);
    operator_->Tick();
    client_.Answer();
  }

 private:
  // A round whose outcome was settled when it began, and is heard later.
  struct Round {
    std::function<void(bool confirmed)> done;
    bool is_confirmed = false;
  };

  EngineOperatorHooks Hooks() {
    EngineOperatorHooks hooks;
    hooks.clock = [this] { return *now_; };
    hooks.term = [this] { return believed_; };
    hooks.confirm = [this](std::function<void(bool confirmed)> done) {
      rounds_.push_back({std::move(done), leads_.has_value() && leads_ == believed_});
    };
    hooks.engines = [] {
      RolloutEngine engine;
      engine.id = "e1";
      engine.incarnation = 1;
      engine.weights[kModel] = 0;
      return std::vector{engine};
    };
    hooks.named = &named_;
    hooks.metrics = &metrics_;
    hooks.former_leader_is_silent = [this] { return former_is_silent_; };
    hooks.publish = [](const EngineNews&) {};
    return hooks;
  }

  EngineCodec Codec() {
    EngineCodec codec;
    codec.encode_look = [](const EngineStateQuery&) {
      BackendCallRequest request;
      request.method = "LOOK";
      return request;
    };
    codec.decode_look = [](int, std::string_view body) {
      EngineState state;
      state.orders = std::strtoll(std::string(body).c_str(), nullptr, 10);
      state.weights[kModel] = state.orders;
      return std::optional(state);
    };
    codec.encode_order = [this](const OrderWeights&, const OrderHolder& holder) {
      engines_->orders.push_back({holder.name, holder.fencing_number, *now_});
      BackendCallRequest request;
      request.method = "ORDER";
      return request;
    };
    codec.decode_order = [](int status) {
      return status == kAccepted ? OrderOutcome::kAccepted : OrderOutcome::kUnknown;
    };
    return codec;
  }

  std::string name_;
  Engines* engines_;
  const Instant* now_;
  FakeClient client_;
  // Each order that was accepted has loaded a version; one more is always named.
  NamedWeights named_;
  Metrics metrics_;
  bool former_is_silent_ = false;
  std::optional<std::int64_t> believed_;
  std::optional<std::int64_t> leads_;
  std::vector<Round> rounds_;
  std::unique_ptr<EngineOperator> operator_;
};

bool Never() { return false; }

TEST_CASE("A leader orders once a lease has passed, and only while a majority follows it") {
  Instant now = seconds(100);
  Engines engines;
  Replica replica("c1", &engines, &now);
  replica.Believe(7);
  const Instant begun = now;
  while (now < begun + seconds(5)) {
    replica.Step(7, Never);
    now += kStep;
    QCoreApplication::processEvents();
  }
  REQUIRE_FALSE(engines.orders.empty());
  CHECK(engines.orders[0].at - begun >= kLease);
  CHECK(engines.orders[0].fencing_number == 7);
  CHECK(replica.metrics().counter("kumquat_orders_total", "status=\"202\"") ==
        engines.orders.size());
  CHECK(replica.metrics().ToPrometheusText().find("\nkumquat_engines_outdated 1\n") !=
        std::string::npos);
  const std::size_t before = engines.orders.size();
  // It still believes that it leads.
  const Instant lost = now;
  while (now < lost + seconds(5)) {
    replica.Step(std::nullopt, Never);
    now += kStep;
    QCoreApplication::processEvents();
  }
  CHECK(engines.orders.back().at - lost < milliseconds(500));
  CHECK(engines.orders.size() - before < 4);
}

// Orders wait for seconds else, while requests on replaced weights lose their worth.
TEST_CASE("A leader takes over from one that fell silent without waiting for its lease") {
  for (const bool is_silent : {true, false}) {
    CAPTURE(is_silent);
    Instant now = seconds(100);
    Engines engines;
    Replica replica("c2", &engines, &now);
    replica.FormerLeaderIsSilent(is_silent);
    replica.Believe(8);
    const Instant begun = now;
    while (engines.orders.empty() && now < begun + seconds(5)) {
      replica.Step(8, Never);
      now += kStep;
      QCoreApplication::processEvents();
    }
    REQUIRE_FALSE(engines.orders.empty());
    // By then the other one has stopped, as its last confirmed round is too old.
    CHECK(engines.orders[0].at - begun >= milliseconds(500));
    CHECK((engines.orders[0].at - begun < kLease) == is_silent);
  }
}

// Leaders change at any moment, learn late that they have lost, and their rounds are slow.
TEST_CASE("No two replicas order within a lease of each other") {
  CheckProperty("turns", [] {
    Instant now = seconds(100);
    Engines engines;
    constexpr int kReplicas = 3;
    std::vector<std::unique_ptr<Replica>> replicas;
    replicas.reserve(kReplicas);
    for (int i = 0; i < kReplicas; ++i) {
      replicas.push_back(std::make_unique<Replica>(fmt::format("c{}", i), &engines, &now));
    }
    std::size_t leader = 0;
    std::int64_t term = 1;
    replicas[0]->Believe(term);
    const auto is_slow = [] { return *rc::gen::inRange(0, 10) < 3; };
    for (int step = 0; step < 400; ++step) {
      if (*rc::gen::inRange(0, 120) == 0) {
        leader = *rc::gen::inRange<std::size_t>(0, replicas.size());
        replicas[leader]->Believe(++term);
      }
      if (*rc::gen::inRange(0, 60) == 0) {
        const auto other = *rc::gen::inRange<std::size_t>(0, replicas.size());
        if (other != leader) replicas[other]->Believe(std::nullopt);
      }
      for (std::size_t i = 0; i < replicas.size(); ++i) {
        replicas[i]->Step(i == leader ? std::optional(term) : std::nullopt, is_slow);
      }
      now += kStep;
      QCoreApplication::processEvents();
    }
    for (std::size_t i = 1; i < engines.orders.size(); ++i) {
      const SentOrder& earlier = engines.orders[i - 1];
      const SentOrder& later = engines.orders[i];
      RC_ASSERT(later.fencing_number >= earlier.fencing_number);
      if (later.holder != earlier.holder) RC_ASSERT(later.at - earlier.at >= kLease);
    }
  });
}

}  // namespace
}  // namespace kumquat
