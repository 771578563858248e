// The platform and the operator for the case of many changes of a large configuration: five control
// replicas of a small deployment, 256 MB each. The platform ends a process that takes more than its
// memory and starts it again after a short delay. The operator sends hundreds of changes.
#include <set>

#include "standin.hh"

using namespace standin;

namespace {

constexpr int kReplicas = 5;
constexpr double kMemoryMb = 256;  // limits.memoryMb of a core machine
constexpr int kFirstRoutes = 12;   // four routes in use, eight idle ones
constexpr int kBigConfig = 370;    // routes of one big_config, the largest dose of the site file
constexpr int kContactMs = 3000;   // bounds.contactMs

std::string Route(int number, int revision) {
  const std::string n = std::to_string(number);
  return R"({"name":"r-eya6u6s)" + n + R"(","hostname":"jepu)" + std::to_string(number % 7) +
         R"(.example","pathPrefix":"/lepu)" + n + R"(/2f/","kind":"idempotent","timeoutMs":)" +
         std::to_string(2500 + revision % 500) +
         R"(,"sloMs":150,"priority":2,"service":"kafi81c","attempts":2,"public":false,)" +
         R"("sticky":false,"resumable":false})";
}

std::string Configuration(int version, int routes) {
  std::string text = R"({"version":)" + std::to_string(version) + R"(,"routes":[)";
  for (int i = 0; i < routes; ++i) text += (i ? "," : "") + Route(i, version);
  text += R"(],"services":[{"name":"kafi81c","healthPath":"/healthz","maxConns":96,)"
          R"("protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,)"
          R"("maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[)";
  for (int i = 0; i < 8; ++i) {
    const std::string n = std::to_string(i);
    text +=
        (i ? "," : "") + (R"({"name":"sese88)" + n + R"(","apiKeys":["ctnfzs989anu6wsjnba)" + n +
                          R"(","fqasnmgkcuyj8pjbvk9)" + n + R"("],"priority":1,"isolated":false})");
  }
  return text + "]}";
}

struct Replica {
  std::unique_ptr<Process> process;
  Address api;
  double peak_mb = 0;
  int own_ends = 0;
  Clock::time_point start_at{};
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 5) return 2;
  const std::string program = argv[1];
  const std::string folder = argv[2];
  const bool trouble = std::string(argv[4]) != "0";
  Record::Get().Open(argv[3]);
  Begin();
  const Hosts hosts = FreeHosts();
  std::vector<Replica> replicas(kReplicas);
  std::mutex mutex;
  for (int i = 0; i < kReplicas; ++i) {
    const std::string settings = folder + "/core-" + std::to_string(i + 1) + ".toml";
    const std::string data = folder + "/data-" + std::to_string(i + 1);
    WriteFile(settings, ControlSettings(hosts, i + 1, true, data));
    replicas[i].api = {hosts.Ip(i + 1), hosts.port + 1};
    replicas[i].process = std::make_unique<Process>(
        "core-" + std::to_string(i + 1), std::vector<std::string>{program, "--config", settings},
        folder + "/core-" + std::to_string(i + 1) + ".log");
    replicas[i].process->Start();
  }
  // The platform: looks at memory, and starts what has ended again after a short delay.
  std::atomic<bool> stop = false;
  std::thread platform([&] {
    while (!stop) {
      for (int i = 0; i < kReplicas; ++i) {
        const std::lock_guard lock(mutex);
        Replica& replica = replicas[i];
        const bool waits = replica.start_at != Clock::time_point{};
        if (waits && Clock::now() >= replica.start_at) {
          replica.start_at = {};
          const std::string settings = folder + "/core-" + std::to_string(i + 1) + ".toml";
          WriteFile(settings, ControlSettings(hosts, i + 1, false,
                                              folder + "/data-" + std::to_string(i + 1)));
          replica.process->Start();
        }
        if (waits) continue;
        const double memory = replica.process->MemoryMb();
        replica.peak_mb = std::max(replica.peak_mb, memory);
        if (memory > kMemoryMb) {
          replica.process->End();
          ++replica.own_ends;
          Record::Get().Line("%s takes %.0f MB of %.0f MB: ended, time %d that it ends by itself",
                             replica.process->name().c_str(), memory, kMemoryMb, replica.own_ends);
          replica.start_at = Clock::now() + std::chrono::milliseconds(300);
        } else if (!replica.process->Runs()) {
          ++replica.own_ends;
          Record::Get().Line("%s ended by itself, status %d, time %d",
                             replica.process->name().c_str(), replica.process->last_status(),
                             replica.own_ends);
          replica.start_at = Clock::now() + std::chrono::milliseconds(300);
        }
      }
      SleepMs(20);
    }
  });
  const auto ended_thrice = [&] {
    const std::lock_guard lock(mutex);
    return std::count_if(replicas.begin(), replicas.end(),
                         [](const Replica& one) { return one.own_ends >= 3; });
  };
  std::atomic<int> next_replica = 0;
  // Sends one change until it is acknowledged, to any replica in turn; the operator gives each a
  // second, more for large bodies.
  const auto put = [&](int version, int routes, double until) {
    const std::string body = Configuration(version, routes);
    const double sent = Seconds();
    int calls = 0;
    while (Seconds() < until) {
      const Address api = replicas[next_replica++ % kReplicas].api;
      const Answer answer = Call(api, "PUT", "/config", body, 1000 + 3 * routes);
      ++calls;
      if (answer.status == 200) {
        Record::Get().Line("version %d, %zu bytes, %d routes: acknowledged after %.0f ms, call %d",
                           version, body.size(), routes, 1000 * (Seconds() - sent), calls);
        return true;
      }
      if (answer.status == 400) {
        Record::Get().Line("version %d: refused: %s", version, answer.message.body.c_str());
        return false;
      }
      SleepMs(std::min(50 * calls, 500));
    }
    Record::Get().Line("version %d, %zu bytes: not acknowledged in %.1f s, %d calls", version,
                       body.size(), Seconds() - sent, calls);
    return false;
  };
  constexpr int changes = 900;
  const double end_at = 95;
  std::atomic<int> version = 1;
  std::atomic<int> acknowledged = 0;
  const bool started = put(version, kFirstRoutes, 15);
  if (started) acknowledged = 1;
  int routes = kFirstRoutes;
  if (started && trouble) {
    // big_config, twice.
    for (int i = 0; i < 2; ++i) {
      routes += kBigConfig;
      const int mine = ++version;
      if (put(mine, routes, end_at)) acknowledged = mine;
    }
  }
  // The operator has up to eight orders in progress at once; here four.
  std::vector<std::thread> operators;
  for (int i = 0; started && i < 4; ++i) {
    operators.emplace_back([&] {
      while (Seconds() < end_at && ended_thrice() < 3) {
        const int mine = ++version;
        if (mine > changes) return;
        if (!put(mine, routes, std::min(end_at, Seconds() + 20))) continue;
        int known = acknowledged;
        while (known < mine && !acknowledged.compare_exchange_weak(known, mine)) {
        }
      }
    });
  }
  for (std::thread& one : operators) one.join();
  Record::Get().Line("changes sent up to version %d, acknowledged up to %d", version.load(),
                     acknowledged.load());
  // The read at the end, again and again for well over contactMs, at every replica.
  int newest = 0;
  const double read_until = Seconds() + 3 * kContactMs / 1000.0;
  while (started && Seconds() < read_until && newest < acknowledged) {
    for (Replica& replica : replicas) {
      const Answer answer = Call(replica.api, "GET", "/config", "", 1500);
      if (answer.status != 200) continue;
      const auto at = answer.message.body.find("\"version\":");
      newest = std::max(newest, std::atoi(answer.message.body.c_str() + at + 10));
    }
    SleepMs(100);
  }
  stop = true;
  platform.join();
  const auto thrice = ended_thrice();
  for (Replica& replica : replicas) {
    Record::Get().Line("%s: most memory %.0f MB, ended by itself %d times",
                       replica.process->name().c_str(), replica.peak_mb, replica.own_ends);
    replica.process->End();
  }
  if (!started) {
    Record::Get().Line("the first configuration was never taken: the case could not run");
    return 2;
  }
  const bool fault = thrice * 2 >= kReplicas;
  const bool lost = newest < acknowledged;
  Record::Get().Line("newest configuration read back: %d, acknowledged: %d", newest,
                     acknowledged.load());
  Record::Get().Line("%s", fault || lost ? "BROKEN" : "HELD");
  return fault || lost ? 1 : 0;
}
