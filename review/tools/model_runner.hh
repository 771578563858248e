// A model runner as the users' pages describe it, as far as the cases need it: it streams answers,
// caches parts of prompts under their salt, and takes orders to load weights.
#pragma once

#include <set>

#include "fleet.hh"

namespace standin {

// Which tenant's request made a cached part, and on which weights.
struct PartMaker {
  std::string tenant;
  std::string request;
  int version = 0;
};

// A part that a request found cached instead of reading it.
struct CacheUse {
  std::string runner;
  std::string request;
  std::string tenant;
  std::string part;
  PartMaker maker;
};

class ModelRunner {
 public:
  ModelRunner(Fleet* fleet, std::string id, const std::string& service, const std::string& model,
              const std::string& zone, Address address)
      : id_(std::move(id)), address_(std::move(address)) {
    RunnerName name;
    name.id = id_;
    name.service = service;
    name.zone = zone;
    name.model = model;
    model_ = model;
    beats_ = std::make_unique<Beats>(fleet, name, address_);
  }
  bool Start() {
    if (!server_.Start(address_, [this](Connection& connection) { Serve(connection); })) {
      return false;
    }
    beats_->Start();
    return true;
  }
  void Stop() {
    beats_->Stop();
    server_.Stop();
  }
  std::vector<CacheUse> uses() {
    const std::lock_guard lock(mutex_);
    return uses_;
  }
  int runs() const { return runs_; }
  const std::string& id() const { return id_; }

 private:
  static std::string Reply(int status, const std::string& fields, const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  void Serve(Connection& connection) {
    Message request;
    while (connection.ReadRequest(&request)) {
      const std::string expected = request.Field("kumquatcross-expect-instance");
      const std::string& line = request.first_line;
      if (!expected.empty() && expected != id_) {
        if (!connection.Write(Reply(421, "", ""))) return;
      } else if (line.starts_with("GET /report ")) {
        std::ostringstream body;
        body << "{\"stage\":\"both\",\"models\":[{\"name\":\"" << model_
             << "\",\"version\":" << version_
             << ",\"adapters\":[]}],\"busy\":false,\"seq\":" << orders_
             << ",\"queued\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":100000,"
             << "\"handles\":0}";
        if (!connection.Write(Reply(200, "Content-Type: application/json\r\n", body.str()))) return;
      } else if (line.starts_with("GET /kv-events")) {
        if (!Events(connection, request)) return;
      } else if (line.starts_with("GET /healthz")) {
        if (!connection.Write(Reply(200, "Kumquatcross-Instance-Id: " + id_ + "\r\n", ""))) return;
      } else if (!Run(connection, request)) {
        return;
      }
    }
  }

  // Holds the call until there are events, for Wait-Ms at most.
  bool Events(Connection& connection, const Message& request) {
    const auto at = request.first_line.find("since=");
    const std::size_t since = at == std::string::npos
                                  ? 0
                                  : std::strtoul(request.first_line.c_str() + at + 6, nullptr, 10);
    const int wait_ms = std::atoi(request.Field("wait-ms").c_str());
    const double until = Seconds() + wait_ms / 1000.0;
    while (true) {
      {
        const std::lock_guard lock(mutex_);
        if (events_.size() > since || Seconds() >= until) {
          std::string body = "{\"bootEpoch\":" + std::to_string(beats_->name().born % 1000000007) +
                             ",\"next\":" + std::to_string(events_.size()) +
                             ",\"lost\":false,\"events\":[";
          for (std::size_t i = since; i < events_.size(); ++i) {
            body += (i > since ? "," : "") + events_[i];
          }
          return connection.Write(Reply(200, "Content-Type: application/json\r\n", body + "]}"));
        }
      }
      SleepMs(20);
    }
  }

  bool Run(Connection& connection, const Message& request) {
    const std::string id = request.Field("kumquatcross-request-id");
    const std::string tenant = request.Field("kumquatcross-tenant");
    const std::string salt = request.Field("kumquatcross-cache-salt");
    const std::string echo = "Kumquatcross-Request-Id: " + id + "\r\n";
    const std::string wanted = request.Field("kumquatcross-expect-version");
    if (!wanted.empty() && wanted != std::to_string(version_)) {
      return connection.Write(Reply(
          421, echo + "Kumquatcross-Weight-Versions: " + std::to_string(version_) + "\r\n", ""));
    }
    ++runs_;
    Record::Get().Line("runner %s runs %s of tenant %s, salt '%s', prompt %s", id_.c_str(),
                       id.c_str(), tenant.c_str(), salt.c_str(),
                       request.Field("kumquatcross-prompt-prefix").c_str());
    {
      const std::lock_guard lock(mutex_);
      std::istringstream parts(request.Field("kumquatcross-prompt-prefix"));
      std::string part;
      bool leading = true;
      while (std::getline(parts, part, ',')) {
        const auto colon = part.find(':');
        const std::string name = part.substr(0, colon);
        auto& cached = cache_[salt];
        const auto found = cached.find(name);
        if (leading && found != cached.end()) {
          uses_.push_back({id_, id, tenant, name, found->second});
          Record::Get().Line(
              "runner %s: %s of tenant %s uses cached part %s, made by %s of tenant %s",
              id_.c_str(), id.c_str(), tenant.c_str(), name.c_str(), found->second.request.c_str(),
              found->second.tenant.c_str());
          continue;
        }
        leading = false;
        cached[name] = {tenant, id, version_};
        events_.push_back("[" + std::to_string(events_.size() + 1) + ",\"+\",\"" + salt + "\",\"" +
                          name + "\"," + part.substr(colon + 1) + ",\"" + model_ + "\"]");
      }
    }
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + echo +
                             "Kumquatcross-Server-Stamp: " + id_ + "." + std::to_string(runs_) +
                             "\r\nKumquatcross-Weight-Versions: " + std::to_string(version_) +
                             "\r\nTransfer-Encoding: chunked\r\n\r\n";
    if (!connection.Write(head)) return false;
    for (int i = 1; i <= 5; ++i) {
      const std::string event = "id: " + std::to_string(i) + "\ndata: token\n\n";
      char size[16];
      std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
      if (!connection.Write(size + event + "\r\n")) return false;
      SleepMs(5);
    }
    return connection.Write("0\r\n\r\n");
  }

  std::string id_;
  std::string model_;
  Address address_;
  std::unique_ptr<Beats> beats_;
  Server server_;
  std::mutex mutex_;
  std::map<std::string, std::map<std::string, PartMaker>> cache_;
  std::vector<CacheUse> uses_;
  std::vector<std::string> events_;
  std::atomic<int> runs_ = 0;
  int version_ = 1;
  int orders_ = 0;
};

}  // namespace standin
