// A small deployment on loopback: control replicas, routers, and stand-ins for runners that follow
// the users' pages. A case says what its runners do with a request.
#pragma once

#include <memory>

#include "standin.hh"

namespace standin {

// What a runner's connection does: reads requests, writes what the handler gives it.
class Connection {
 public:
  explicit Connection(int descriptor) : descriptor_(descriptor) {}
  ~Connection() { Close(); }
  // Reads the next request; false at the end of the connection.
  bool ReadRequest(Message* request) {
    const auto never = Clock::now() + std::chrono::hours(1);
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (ReadMore(descriptor_, &buffer_, never) <= 0) return false;
    }
    *request = ParseHead(buffer_.substr(0, end));
    buffer_.erase(0, end + 4);
    const std::size_t size = std::strtoul(request->Field("content-length").c_str(), nullptr, 10);
    while (buffer_.size() < size) {
      if (ReadMore(descriptor_, &buffer_, never) <= 0) return false;
    }
    request->body = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return true;
  }
  bool Write(const std::string& bytes) {
    return SendAll(descriptor_, bytes, Clock::now() + std::chrono::seconds(5));
  }
  // Returns whether the peer has closed the connection.
  bool IsClosed() const {
    char byte = 0;
    const ssize_t count = recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
  }
  void Reset() {
    const linger now{1, 0};
    setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    Close();
  }
  void Close() {
    if (descriptor_ >= 0) close(descriptor_);
    descriptor_ = -1;
  }

 private:
  int descriptor_;
  std::string buffer_;
};

// A server with a thread for each connection.
class Server {
 public:
  using Handler = std::function<void(Connection& connection)>;
  ~Server() { Stop(); }
  // The process is gone: nobody listens, and every connection ends.
  void Crash() {
    Stop();
    const std::lock_guard lock(mutex_);
    for (const int descriptor : open_) shutdown(descriptor, SHUT_RDWR);
  }
  bool stopped() const { return stopped_; }
  bool Start(const Address& address, Handler handler) {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    const sockaddr_in to = ToSockaddr(address);
    if (bind(listener_, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0) return false;
    if (listen(listener_, 1024) != 0) return false;
    handler_ = std::move(handler);
    thread_ = std::thread([this] {
      while (!stopped_) {
        if (!WaitFor(listener_, POLLIN, Clock::now() + std::chrono::milliseconds(50))) continue;
        const int descriptor = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
        if (descriptor < 0) continue;
        const int no_delay = 1;
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof(no_delay));
        {
          const std::lock_guard lock(mutex_);
          open_.push_back(descriptor);
        }
        std::thread([this, descriptor] {
          Connection connection(descriptor);
          handler_(connection);
          const std::lock_guard lock(mutex_);
          std::erase(open_, descriptor);
          connection.Close();
        }).detach();
      }
    });
    return true;
  }
  void Stop() {
    stopped_ = true;
    if (thread_.joinable()) thread_.join();
    if (listener_ >= 0) close(listener_);
    listener_ = -1;
  }

 private:
  int listener_ = -1;
  std::atomic<bool> stopped_ = false;
  std::mutex mutex_;
  std::vector<int> open_;
  Handler handler_;
  std::thread thread_;
};

// How a runner names itself in its heartbeats.
struct RunnerName {
  std::string id;
  std::string service;
  std::string zone = "zone-0";
  int slots = 64;
  long long born = 0;
  // A model's name makes it a model runner.
  std::string model;
  int model_version = 1;
};

inline std::string Heartbeat(const RunnerName& name, const Address& address,
                             const std::string& state, int seq) {
  std::ostringstream text;
  text << "{\"service\":\"" << name.service << "\",\"addr\":\"" << address.Text()
       << "\",\"zone\":\"" << name.zone << "\",\"version\":\"v1\",\"slots\":" << name.slots
       << ",\"state\":\"" << state << "\",\"coldLeftMs\":0,\"born\":" << name.born;
  if (!name.model.empty()) {
    text << ",\"stage\":\"both\",\"models\":[{\"name\":\"" << name.model
         << "\",\"version\":" << name.model_version << ",\"adapters\":[]}]";
  }
  text << ",\"seq\":" << seq << "}";
  return text.str();
}

// The system's programs.
class Fleet {
 public:
  Fleet(std::string programs, std::string folder, int controls, int routers)
      : programs_(std::move(programs)), folder_(std::move(folder)), hosts_(FreeHosts()) {
    for (int i = 1; i <= controls; ++i) {
      WriteFile(Path("core-", i, ".toml"), ControlSettings(hosts_, i, true, Path("data-", i, "")));
      controls_.push_back(Make("kumquat-control", "core-", i));
    }
    for (int i = 1; i <= routers; ++i) {
      const int host = 10 + i;
      WriteFile(Path("front-", host, ".toml"), RouterSettings(hosts_, host, (i - 1) % 3));
      routers_.push_back(Make("kumquat-router", "front-", host));
    }
  }
  void Start() {
    for (auto& one : controls_) one->Start();
    for (auto& one : routers_) one->Start();
    // Later starts are no bootstrap.
    SleepMs(1500);
    for (std::size_t i = 1; i <= controls_.size(); ++i) {
      const int host = static_cast<int>(i);
      WriteFile(Path("core-", host, ".toml"),
                ControlSettings(hosts_, host, false, Path("data-", host, "")));
    }
  }
  Process& control(int i) { return *controls_[static_cast<std::size_t>(i)]; }
  Process& router(int i) { return *routers_[static_cast<std::size_t>(i)]; }
  Address control_api(int i) const { return {hosts_.Ip(i + 1), hosts_.port + 1}; }
  Address front(int i) const { return {hosts_.Ip(11 + i), hosts_.port + 1}; }
  Address ready(int i) const { return {hosts_.Ip(11 + i), hosts_.port + 2}; }
  Address runner(int i) const { return {hosts_.Ip(21 + i), hosts_.port}; }
  int controls() const { return static_cast<int>(controls_.size()); }
  int routers() const { return static_cast<int>(routers_.size()); }

  // The operator: sends the configuration until it is acknowledged.
  bool Put(const std::string& configuration, double seconds = 15) {
    const double until = Seconds() + seconds;
    for (int i = 0; Seconds() < until; ++i) {
      const Answer answer =
          Call(control_api(i % controls()), "PUT", "/config", configuration, 1000);
      Record::Get().Line("operator: PUT /config, %zu bytes: %d", configuration.size(),
                         answer.status);
      if (answer.status == 200) return true;
      if (answer.status == 400) return false;
      SleepMs(100);
    }
    return false;
  }
  bool WaitReady(double seconds = 10) {
    const double until = Seconds() + seconds;
    while (Seconds() < until) {
      int ready_routers = 0;
      for (int i = 0; i < routers(); ++i) {
        ready_routers += Call(ready(i), "GET", "/readyz", "", 500).status == 200 ? 1 : 0;
      }
      if (ready_routers == routers()) return true;
      SleepMs(100);
    }
    return false;
  }
  // A runner's call to any control daemon; true when one acknowledged it.
  bool Say(const std::string& method, const std::string& id, const std::string& body) {
    for (int i = 0; i < 2 * controls(); ++i) {
      const int which = next_control_++ % controls();
      if (Call(control_api(which), method, "/instances/" + id, body, 1000).status == 200) {
        return true;
      }
    }
    return false;
  }
  // Changes the settings file of a router: the same seeds in another order.
  void ReorderSeeds(int i) {
    const int host = 11 + i;
    std::string text = RouterSettings(hosts_, host, i % 3);
    const std::string first = "\"" + hosts_.Ip(1) + ":";
    const std::string second = "\"" + hosts_.Ip(2) + ":";
    text.replace(text.find(first), first.size(), "\"#:");
    text.replace(text.find(second), second.size(), first);
    text.replace(text.find("\"#:"), 3, second);
    WriteFile(Path("front-", host, ".toml"), text);
  }
  void End() {
    for (auto& one : routers_) one->End();
    for (auto& one : controls_) one->End();
  }

 private:
  std::string Path(const std::string& prefix, int i, const std::string& suffix) const {
    return folder_ + "/" + prefix + std::to_string(i) + suffix;
  }
  std::unique_ptr<Process> Make(const std::string& program, const std::string& prefix, int i) {
    return std::make_unique<Process>(
        prefix + std::to_string(i),
        std::vector<std::string>{programs_ + "/" + program, "--config", Path(prefix, i, ".toml")},
        Path(prefix, i, ".log"));
  }

  std::string programs_;
  std::string folder_;
  Hosts hosts_;
  std::vector<std::unique_ptr<Process>> controls_;
  std::vector<std::unique_ptr<Process>> routers_;
  std::atomic<int> next_control_ = 0;
};

// Heartbeats of one runner, until it is stopped or told to say something else.
class Beats {
 public:
  Beats(Fleet* fleet, RunnerName name, Address address)
      : fleet_(fleet), name_(std::move(name)), address_(std::move(address)) {
    if (name_.born == 0) name_.born = WallMs();
  }
  ~Beats() { Stop(); }
  bool Say(const std::string& state) {
    return fleet_->Say("PUT", name_.id, Heartbeat(name_, address_, state, ++seq_));
  }
  bool Leave() { return fleet_->Say("DELETE", name_.id, ""); }
  void Start() {
    thread_ = std::thread([this] {
      while (!stopped_) {
        Say(state_);
        for (int i = 0; i < 12 && !stopped_; ++i) SleepMs(100);
      }
    });
  }
  void Stop() {
    stopped_ = true;
    if (thread_.joinable()) thread_.join();
  }
  // No more heartbeats: the runner has crashed.
  void Halt() { stopped_ = true; }
  void SetVersion(int version) { name_.model_version = version; }
  const RunnerName& name() const { return name_; }

 private:
  Fleet* fleet_;
  RunnerName name_;
  Address address_;
  std::atomic<int> seq_ = 0;
  std::atomic<bool> stopped_ = false;
  std::string state_ = "ready";
  std::thread thread_;
};

}  // namespace standin
