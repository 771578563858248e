#include "coordination/admission/suspect_slots.h"

#include <memory>
#include <optional>
#include <vector>

#include "property.h"

namespace kumquat {
namespace {

constexpr Duration kLease = std::chrono::seconds(60);
constexpr int kRouters = 4;
constexpr int kBackends = 2;

// Routers with one suspect each. Messages between them are reordered and, on lossy links, also lost
// and duplicated.
class Routers {
 public:
  explicit Routers(bool is_lossy) : is_lossy_(is_lossy) {
    for (int i = 0; i < kRouters; ++i) {
      SuspectSlotsHooks hooks;
      hooks.owner_of = [](std::string_view backend) {
        return backend == "engine-0" ? "router-0" : "router-1";
      };
      hooks.is_free = [this, i](const std::string& backend) { return running_on_[i] != backend; };
      hooks.send = [this, i](const std::string& to, const SlotMessage& message) {
        Send({Name(i), to, message});
      };
      slots_.push_back(std::make_unique<SuspectSlots>(Name(i), kLease, std::move(hooks)));
    }
  }

  // Starts the suspect of router `i` on the backend server if the router holds the slot, and asks
  // for the slot otherwise.
  void TryRun(int i, const std::string& backend) {
    if (!running_on_[i].empty()) return;
    if (!slots_[i]->Holds(Digest(i), backend, now_)) {
      slots_[i]->Request(Digest(i), backend, now_);
      return;
    }
    for (const std::string& other : running_on_) RC_ASSERT(other != backend);
    running_on_[i] = backend;
    slots_[i]->OnStarted(Digest(i), backend);
    ++runs_;
  }

  void Stop(int i) {
    const std::string backend = std::exchange(running_on_[i], "");
    if (!backend.empty()) slots_[i]->OnStopped(Digest(i), backend);
    slots_[i]->Abandon(Digest(i));
  }

  // Delivers the message at this position of the queue, modulo the queue size.
  void Deliver(std::size_t place) {
    if (queue_.empty()) return;
    place %= queue_.size();
    const Delivery delivery = queue_[place];
    queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(place));
    for (int i = 0; i < kRouters; ++i) {
      if (Name(i) == delivery.to) slots_[i]->Receive(delivery.from, delivery.message, now_);
    }
  }

  void Advance(Duration duration) { now_ += duration; }
  void MakeReliable() { is_lossy_ = false; }
  int runs() const { return runs_; }

 private:
  struct Delivery {
    std::string from;
    std::string to;
    SlotMessage message;
  };

  static std::string Name(int i) { return "router-" + std::to_string(i); }
  static std::string Digest(int i) { return "digest-" + std::to_string(i); }

  void Send(const Delivery& delivery) {
    const int copies = is_lossy_ ? *rc::gen::inRange(0, 3) : 1;
    for (int i = 0; i < copies; ++i) queue_.push_back(delivery);
  }

  bool is_lossy_;
  Instant now_ = std::chrono::hours(1);
  std::vector<std::string> running_on_ = std::vector<std::string>(kRouters);
  std::vector<std::unique_ptr<SuspectSlots>> slots_;
  std::vector<Delivery> queue_;
  int runs_ = 0;
};

TEST_CASE(
    "Two suspects never run on one backend server, and each runs once the links are reliable") {
  CheckProperty("at most one suspect per backend server", [] {
    Routers routers(true);
    const int steps = *rc::gen::inRange(1, 120);
    for (int step = 0; step < steps; ++step) {
      const int router = *rc::gen::inRange(0, kRouters);
      const std::string backend = "engine-" + std::to_string(*rc::gen::inRange(0, kBackends));
      switch (*rc::gen::inRange(0, 4)) {
        case 0:
          routers.TryRun(router, backend);
          break;
        case 1:
          routers.Stop(router);
          break;
        case 2:
          routers.Deliver(*rc::gen::inRange<std::size_t>(0, 100));
          break;
        default:
          routers.Advance(std::chrono::milliseconds(*rc::gen::inRange(0, 700)));
      }
    }
    // Leases whose release was lost expire; after that every suspect can run.
    routers.MakeReliable();
    for (int router = 0; router < kRouters; ++router) routers.Stop(router);
    routers.Advance(kLease);
    for (int router = 0; router < kRouters; ++router) {
      const int before = routers.runs();
      for (int i = 0; i < 200 && routers.runs() == before; ++i) {
        routers.TryRun(router, "engine-1");
        routers.Deliver(0);
        routers.Advance(std::chrono::milliseconds(100));
      }
      RC_ASSERT(routers.runs() == before + 1);
      routers.Stop(router);
      for (int i = 0; i < 20; ++i) routers.Deliver(0);
    }
  });
}

// Reproduces a failure in router_storm_test: a router was killed while it held a slot and restarted
// at once, so that no other router saw it down. A suspect of another router waited for the slot
// until its deadline.
TEST_CASE("The lease of a router ends when the router restarts or is gone") {
  std::vector<SlotMessage> sent;
  SuspectSlotsHooks hooks;
  hooks.owner_of = [](std::string_view) { return "router-0"; };
  hooks.is_free = [](const std::string&) { return true; };
  hooks.send = [&sent](const std::string&, const SlotMessage& message) { sent.push_back(message); };
  SuspectSlots owner("router-0", kLease, std::move(hooks));
  const Instant now = std::chrono::hours(1);
  const auto ask = [&](const std::string& router, std::int64_t number) {
    sent.clear();
    owner.Receive(router, {SlotMessageKind::kRequest, "engine", "digest-" + router, number}, now);
    return !sent.empty();
  };
  owner.SetRouters({{"router-1", 100}, {"router-2", 100}});
  CHECK(ask("router-1", 1));
  owner.SetRouters({{"router-1", 100}, {"router-2", 100}});
  CHECK_FALSE(ask("router-2", 1));
  owner.SetRouters({{"router-1", 101}, {"router-2", 100}});
  CHECK(ask("router-2", 2));
  owner.SetRouters({{"router-1", 101}});
  CHECK(ask("router-1", 1));
}

}  // namespace
}  // namespace kumquat
