// A stand-in for a model runner: streams, cached parts under a salt with the tenant that made them,
// reports, orders of weights, events of the cache, and moves of runs. All engines of a case live in
// one process, so that a move of memory is a copy within it.
#pragma once

#include <condition_variable>

#include "common.hh"

namespace standin {

struct CachedPart {
  int tokens = 0;
  std::string maker;  // the tenant whose request read it
};

struct RunMemory {
  std::string request;
  std::vector<std::pair<std::string, CachedPart>> parts;
  int events = 0;
};

struct Run {
  RunMemory memory;
  bool is_stopped = false;
};

class Engine;

struct Fleet {
  std::mutex mutex;
  std::map<std::string, Engine*> by_address;
  // Called under the mutex where a run reads a part from the cache: engine, request, tenant, the
  // part and its maker, the salt.
  std::function<void(const std::string& engine, const std::string& request,
                     const std::string& tenant, const std::string& part, const std::string& maker,
                     const std::string& salt)>
      on_hit;
};

inline std::string Field(const std::string& json, const std::string& name) {
  const auto at = json.find("\"" + name + "\":");
  if (at == std::string::npos) return "";
  auto begin = json.find_first_not_of(" ", json.find(':', at) + 1);
  if (json[begin] == '"') return json.substr(begin + 1, json.find('"', begin + 1) - begin - 1);
  return json.substr(begin, json.find_first_of(",}", begin) - begin);
}

class Engine {
 public:
  Engine(Fleet* fleet, Record* record, std::string id, const std::string& ip, int port,
         std::string service, std::string model)
      : fleet_(fleet),
        record_(record),
        id_(std::move(id)),
        service_(std::move(service)),
        model_(std::move(model)),
        born_(UnixMillis()),
        server_(ip, port, [this](int fd, const Message& request) { return Handle(fd, request); }) {
    address_ = ip + ":" + std::to_string(port);
  }

  bool Listen() {
    const std::lock_guard lock(fleet_->mutex);
    fleet_->by_address[address_] = this;
    return server_.Listen();
  }

  std::string Beat() {
    const std::lock_guard lock(fleet_->mutex);
    return "{\"service\":\"" + service_ + "\",\"addr\":\"" + address_ +
           "\",\"zone\":\"khomas-a\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\","
           "\"coldLeftMs\":0,\"stage\":\"both\",\"models\":" +
           Models() + ",\"born\":" + std::to_string(born_) + ",\"seq\":" + std::to_string(++beats_) +
           "}";
  }
  const std::string& id() const { return id_; }

  // Ends like a crash: no listener, and all connections reset.
  void Crash() {
    {
      const std::lock_guard lock(fleet_->mutex);
      fleet_->by_address.erase(address_);
    }
    server_.Crash();
  }
  // How long a run reads its prompt before its first event.
  void SetReading(double seconds) { reading_ = seconds; }
  int version() {
    const std::lock_guard lock(fleet_->mutex);
    return version_;
  }

 private:
  using Lock = std::unique_lock<std::mutex>;

  std::string Models() const {
    return "[{\"name\":\"" + model_ + "\",\"version\":" + std::to_string(version_) +
           ",\"adapters\":[]}]";
  }
  static bool Json(int fd, int status, const std::string& body) {
    return SendAll(fd, AnswerText(status, {{"Content-Type", "application/json"}}, body));
  }

  bool Handle(int fd, const Message& request) {
    const std::string path = request.target.substr(0, request.target.find('?'));
    const std::string expected = request.Header("kumquatcross-expect-instance");
    if (path == "/kv-events") return Events(fd, request);
    if (!expected.empty() && expected != id_) return SendAll(fd, AnswerText(421, {}, ""));
    if (path == "/report") {
      Lock lock(fleet_->mutex);
      const std::string body =
          "{\"stage\":\"both\",\"models\":" + Models() +
          ",\"busy\":" + (is_busy_ ? "true" : "false") + ",\"seq\":" + std::to_string(orders_) +
          ",\"queued\":0,\"running\":" + std::to_string(runs_.size()) +
          ",\"kvUsed\":1000,\"kvTotal\":100000,\"handles\":" + std::to_string(copies_.size()) + "}";
      lock.unlock();
      return Json(fd, 200, body);
    }
    if (path == "/order") return Order(fd, request);
    if (path == "/kv-move") return Move(fd, request);
    if (path.rfind("/kv-handle/", 0) == 0) {
      const std::lock_guard lock(fleet_->mutex);
      for (auto& [address, engine] : fleet_->by_address) {
        engine->copies_.erase(address_ + "/" + path.substr(11));
      }
      return Json(fd, 200, "{}");
    }
    if (path == "/healthz") return SendAll(fd, AnswerText(200, {}, ""));
    return Stream(fd, request);
  }

  bool Order(int fd, const Message& request) {
    Lock lock(fleet_->mutex);
    const int version = std::atoi(Field(request.body, "version").c_str());
    const long fence = std::atol(Field(request.body, "fence").c_str());
    const std::string expected = Field(request.body, "expected");
    int status = 202;
    if (fence < fence_) {
      status = 412;
    } else if (is_busy_ || (!expected.empty() && std::atol(expected.c_str()) != orders_)) {
      status = 409;
    } else if (version <= version_) {
      status = 200;
    }
    fence_ = std::max(fence_, fence);
    record_->Line("engine %s: order for version %d answered with %d", id_.c_str(), version, status);
    if (status == 202) {
      is_busy_ = true;
      ++orders_;
      std::thread([this, version] {
        while (true) {  // runs finish first
          {
            const std::lock_guard inner(fleet_->mutex);
            if (runs_.empty()) break;
          }
          Sleep(0.01);
        }
        Sleep(0.83);
        const std::lock_guard inner(fleet_->mutex);
        version_ = version;
        for (const auto& [key, part] : cache_) AddEvent("-", key, 0);
        cache_.clear();
        is_busy_ = false;
        record_->Line("engine %s has version %d", id_.c_str(), version);
      }).detach();
    }
    lock.unlock();
    return Json(fd, status, "{}");
  }

  void AddEvent(const std::string& sign, const std::pair<std::string, std::string>& key,
                int tokens) {
    events_.push_back("[" + std::to_string(events_.size() + 1) + ",\"" + sign + "\",\"" +
                      key.first + "\",\"" + key.second + "\"," + std::to_string(tokens) + ",\"" +
                      model_ + "\"]");
  }

  bool Events(int fd, const Message& request) {
    const auto at = request.target.find("since=");
    const std::size_t since =
        at == std::string::npos ? 0 : std::strtoul(request.target.c_str() + at + 6, nullptr, 10);
    const double until =
        Now() + std::min(1000, std::atoi(request.Header("wait-ms").c_str())) / 1000.0;
    while (true) {
      Lock lock(fleet_->mutex);
      if (events_.size() > since || Now() >= until) {
        std::string list;
        for (std::size_t i = since; i < events_.size(); ++i) {
          list += (list.empty() ? "" : ",") + events_[i];
        }
        const std::string body = "{\"bootEpoch\":" + std::to_string(born_) +
                                 ",\"next\":" + std::to_string(events_.size()) +
                                 ",\"lost\":false,\"events\":[" + list + "]}";
        lock.unlock();
        return Json(fd, 200, body);
      }
      lock.unlock();
      Sleep(0.02);
    }
  }

  bool Move(int fd, const Message& request) {
    const std::string id = Field(request.body, "id");
    const std::string to = Field(request.body, "to");
    const bool is_last = Field(request.body, "last") == "true";
    Lock lock(fleet_->mutex);
    const auto run = runs_.find(id);
    const auto target = fleet_->by_address.find(to);
    if (run == runs_.end()) {
      lock.unlock();
      return Json(fd, 404, "{}");
    }
    if (target == fleet_->by_address.end() || target->second->is_busy_) {
      lock.unlock();
      return Json(fd, 503, "{}");
    }
    const std::string handle = "h" + id;
    target->second->copies_[address_ + "/" + handle] = run->second->memory;
    if (is_last) run->second->is_stopped = true;
    const int made = run->second->memory.events;
    record_->Line("engine %s: run %s copied to %s%s", id_.c_str(), id.c_str(),
                  target->second->id_.c_str(), is_last ? " and stopped" : "");
    lock.unlock();
    return Json(fd, 200,
                "{\"handle\":\"" + handle + "\",\"made\":" + std::to_string(made) + "}");
  }

  bool Stream(int fd, const Message& request) {
    const std::string id = request.Header("kumquatcross-request-id");
    const std::string tenant = request.Header("kumquatcross-tenant");
    const std::string salt = request.Header("kumquatcross-cache-salt");
    const std::string from = request.Header("kv-from");
    const Headers names = {{"Kumquatcross-Request-Id", id}};
    auto run = std::make_shared<Run>();
    Lock lock(fleet_->mutex);
    const auto refuse = [&](int status, Headers headers) {
      lock.unlock();
      return SendAll(fd, AnswerText(status, headers, ""));
    };
    const std::string version = request.Header("kumquatcross-expect-version");
    if (!version.empty() && std::atoi(version.c_str()) != version_) {
      return refuse(421, {{"Kumquatcross-Request-Id", id},
                          {"Kumquatcross-Weight-Versions", std::to_string(version_)}});
    }
    if (is_busy_) {
      return refuse(503, {{"Kumquatcross-Request-Id", id}, {"Kumquatcross-Not-Run", "1"}});
    }
    int next = std::atoi(request.Header("last-event-id").c_str()) + 1;
    if (!from.empty()) {
      const auto copy = copies_.find(from);
      if (copy == copies_.end()) {
        return refuse(503, {{"Kumquatcross-Request-Id", id}, {"Kumquatcross-Not-Run", "1"}});
      }
      run->memory = copy->second;
      copies_.erase(copy);
      record_->Line("engine %s: run %s of %s goes on from %s under salt %s", id_.c_str(),
                    id.c_str(), tenant.c_str(), from.c_str(), salt.c_str());
      // Its memory holds its parts, which are cached here for others under its salt.
      for (const auto& [part, held] : run->memory.parts) Keep({salt, part}, held);
    } else {
      run->memory.request = id;
      const std::string prefix = request.Header("kumquatcross-prompt-prefix");
      bool is_cached = true;
      for (std::size_t at = 0; at < prefix.size();) {
        const auto end = std::min(prefix.find(',', at), prefix.size());
        const auto colon = prefix.find(':', at);
        const std::string part = prefix.substr(at, colon - at);
        const int tokens = std::atoi(prefix.c_str() + colon + 1);
        const auto held = cache_.find({salt, part});
        is_cached = is_cached && held != cache_.end();
        CachedPart mine{tokens, tenant};
        if (is_cached) {
          mine = held->second;
          fleet_->on_hit(id_, id, tenant, part, mine.maker, salt);
        } else {
          Keep({salt, part}, mine);
        }
        run->memory.parts.emplace_back(part, mine);
        at = end + 1;
      }
      record_->Line("engine %s runs %s of %s under salt %s", id_.c_str(), id.c_str(),
                    tenant.c_str(), salt.c_str());
    }
    runs_[id] = run;
    const int weights = version_;
    lock.unlock();

    const std::string counts = request.Header("kumquatcross-token-count");
    const int out = std::atoi(counts.c_str() + counts.find(',') + 1);
    bool is_open = SendAll(
        fd, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nKumquatcross-Request-Id: " + id +
                "\r\nKumquatcross-Server-Stamp: stamp." + id_ + "." + id +
                "\r\nKumquatcross-Weight-Versions: " + std::to_string(weights) +
                "\r\nTransfer-Encoding: chunked\r\n\r\n");
    Sleep(reading_);
    for (; is_open && next <= out; ++next) {
      Sleep(0.04);
      {
        const std::lock_guard inner(fleet_->mutex);
        if (run->is_stopped) break;
        run->memory.events = next;
      }
      const std::string event =
          "id: " + std::to_string(next) + "\ndata: token " + std::to_string(next) + "\n\n";
      char size[16];
      std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
      is_open = SendAll(fd, size + event + "\r\n");
      pollfd wanted{fd, POLLIN | POLLRDHUP, 0};
      if (poll(&wanted, 1, 0) == 1) is_open = false;  // the caller has closed
    }
    const bool is_whole = is_open && next > out;
    if (is_whole) SendAll(fd, "0\r\n\r\n");
    lock.lock();
    const auto mine = runs_.find(id);
    if (mine != runs_.end() && mine->second == run) runs_.erase(mine);
    return is_whole;
  }

  void Keep(const std::pair<std::string, std::string>& key, const CachedPart& part) {
    if (cache_.emplace(key, part).second) AddEvent("+", key, part.tokens);
  }

  Fleet* fleet_;
  Record* record_;
  std::string id_, service_, model_, address_;
  std::int64_t born_;
  std::int64_t beats_ = 0;
  int version_ = 1;
  double reading_ = 0;
  bool is_busy_ = false;
  long orders_ = 0;
  long fence_ = 0;
  std::map<std::pair<std::string, std::string>, CachedPart> cache_;
  std::map<std::string, RunMemory> copies_;
  std::map<std::string, std::shared_ptr<Run>> runs_;
  std::vector<std::string> events_;
  Server server_;
};

}  // namespace standin
