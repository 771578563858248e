// The whole system as processes on loopback: control replicas, routers, and fakes behind relays.
#pragma once

#include <QTemporaryDir>
#include <array>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "process/control/control_cluster.h"
#include "process/relay.h"
#include "process/test_caller.h"
#include "process/test_program.h"

namespace kumquat {

// A fake with its address and the relay through which routers reach it.
struct BenchBackend {
  Endpoint endpoint;
  std::unique_ptr<Relay> relay;
  std::unique_ptr<TestProgram> program;
};

// A refusal or an error event of a router.
struct Refusal {
  std::string kind;
  std::string ran;
};

// Returns the refusal that the call ended with; nothing when there is none, or no honest one.
std::optional<Refusal> RefusalOf(const TestCall& call);

// What a test may change of the system.
struct SystemBenchOptions {
  int answer_tokens = 40;
  int token_interval_ms = 10;
  // More lines for the routers' settings files, as whole tables.
  std::string router_tables = {};
  // Versions of the engines' software; an empty one isn't announced.
  std::array<std::string, 3> engine_software = {};
};

class SystemBench {
 public:
  static constexpr int kRouters = 3;
  static constexpr int kEngines =
      static_cast<int>(std::tuple_size_v<decltype(SystemBenchOptions::engine_software)>);
  static constexpr int kServices = 2;
  static constexpr int kAnswerTokens = 40;

  // Starts everything, and waits until each router serves both kinds of requests.
  explicit SystemBench(SystemBenchOptions options = {});

  // Starts a streamed chat whose answer ChatText() tells.
  std::unique_ptr<TestCall> StartChat(int router, const std::string& text,
                                      const HttpHeaders& more = {});
  std::unique_ptr<TestCall> StartBooking(int router, const std::string& key);

  // Starts a call to the plain service that may be repeated and by this text crashes each server
  // that runs it.
  std::unique_ptr<TestCall> StartCrashingCall(int router, const std::string& crash_text);

  // Returns the whole text of the answer to this chat.
  static std::string ChatText(const std::string& text);

  // Starts every engine and service again that has crashed. Returns how many there were.
  int RestartCrashed();

  // Returns the text that came so far.
  static std::string TextOf(const TestCall& call);

  // Returns how often each booking ran, over all services.
  std::map<std::string, int> BookingRuns();

  // Returns the sum of this statistic over the engines that answer.
  int EngineStat(const char* name);

  // Returns the first engine that runs a chat; nullopt if none does.
  std::optional<int> RunningEngine();

  // Returns what the routers' logs tell of the request with this id.
  std::string Explain(const std::string& id) const;

  // Waits until the router answers a chat.
  void WaitUntilServing(int router);

  const Endpoint& router(int index) const { return routers_[index]; }
  TestProgram& router_program(int index) { return *router_programs_[index]; }
  BenchBackend& engine(int index) { return engines_[index]; }
  BenchBackend& service(int index) { return services_[index]; }
  TestCaller& caller() { return caller_; }

 private:
  void StartRouters();
  void StartEngines();
  void StartServices();
  void SetLists();
  QString LogOf(int router) const;

  SystemBenchOptions options_;
  QTemporaryDir folder_;
  ControlCluster control_;
  TestCaller caller_;
  std::array<Endpoint, kRouters> routers_;
  std::array<std::unique_ptr<TestProgram>, kRouters> router_programs_;
  std::array<BenchBackend, kEngines> engines_;
  std::array<BenchBackend, kServices> services_;
};

}  // namespace kumquat
