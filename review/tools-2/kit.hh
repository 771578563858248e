// What the cases of this review share: the project's programs as processes, a blocking HTTP client,
// stand-in backend servers and the record of a run. Only POSIX calls and the C++ library.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace kit {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

inline Clock::time_point& Began() {
  static Clock::time_point began = Clock::now();
  return began;
}
inline double NowMs() {
  return std::chrono::duration<double, std::milli>(Clock::now() - Began()).count();
}
inline void SleepMs(double ms) { std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms)); }
inline std::int64_t UnixMs() {
  return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count();
}

// Writes a line to record.txt and to standard output.
inline std::FILE*& RecordFile() {
  static std::FILE* file = nullptr;
  return file;
}
inline void Record(const char* format, ...) {
  static std::mutex mutex;
  const std::lock_guard lock(mutex);
  char line[1024];
  va_list args;
  va_start(args, format);
  std::vsnprintf(line, sizeof(line), format, args);
  va_end(args);
  for (std::FILE* file : {RecordFile(), stdout}) {
    if (!file) continue;
    std::fprintf(file, "%9.1f ms  %s\n", NowMs(), line);
    std::fflush(file);
  }
}

// Writes a line to record.txt only.
inline void RecordDetail(const std::string& line) {
  static std::mutex mutex;
  const std::lock_guard lock(mutex);
  if (RecordFile()) std::fprintf(RecordFile(), "%9.1f ms    %s\n", NowMs(), line.c_str());
}

inline bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return !value || std::string(value) != "0";
}

struct Address {
  std::string ip;
  int port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
  bool operator<(const Address& other) const { return Text() < other.Text(); }
  bool operator==(const Address& other) const { return Text() == other.Text(); }
};

inline sockaddr_in ToSock(const Address& address) {
  sockaddr_in sock{};
  sock.sin_family = AF_INET;
  sock.sin_port = htons(static_cast<uint16_t>(address.port));
  inet_pton(AF_INET, address.ip.c_str(), &sock.sin_addr);
  return sock;
}

inline int ListenAt(const Address& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  const sockaddr_in sock = ToSock(address);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&sock), sizeof(sock)) != 0 || listen(fd, 256) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

// Returns a port that is free at all of the addresses.
inline int FreePort(const std::vector<std::string>& ips) {
  static int next = 20000 + static_cast<int>(getpid() * 37 % 9000);
  for (int tries = 0; tries < 2000; ++tries) {
    const int port = next++;
    bool free = true;
    for (const std::string& ip : ips) {
      const int fd = ListenAt({ip, port});
      if (fd < 0) free = false;
      if (fd >= 0) close(fd);
    }
    if (free) return port;
  }
  return 0;
}

// ---- a blocking HTTP client ----

struct Answer {
  int status = 0;  // 0: no answer
  std::map<std::string, std::string> headers;
  std::string body;
  bool whole = false;
  bool connected = false;
  double at_ms = 0;
  std::string Header(std::string name) const {
    std::transform(name.begin(), name.end(), name.begin(), ::tolower);
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
};

using Headers = std::vector<std::pair<std::string, std::string>>;

inline int ConnectTo(const Address& to, int timeout_ms) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in sock = ToSock(to);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&sock), sizeof(sock)) != 0 && errno != EINPROGRESS) {
    close(fd);
    return -1;
  }
  pollfd poll_fd{fd, POLLOUT, 0};
  int error = 0;
  socklen_t size = sizeof(error);
  if (poll(&poll_fd, 1, timeout_ms) != 1 || getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
    close(fd);
    return -1;
  }
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  return fd;
}

inline bool SendAll(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

inline std::string RequestText(const std::string& method, const std::string& path, const Headers& headers,
                               const std::string& body) {
  std::string text = method + " " + path + " HTTP/1.1\r\n";
  for (const auto& [name, value] : headers) text += name + ": " + value + "\r\n";
  if (!body.empty() || method != "GET") text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

// Reads one answer from the connection until the deadline; `on_body` hears of each new piece.
inline Answer ReadAnswer(int fd, double deadline_ms, std::string* rest = nullptr) {
  Answer answer;
  answer.connected = true;
  std::string input = rest ? std::exchange(*rest, {}) : std::string();
  std::size_t header_end = std::string::npos;
  bool chunked = false;
  long length = -1;
  bool ended = false;
  std::size_t at = 0;
  char buffer[65536];
  while (true) {
    if (header_end == std::string::npos) {
      header_end = input.find("\r\n\r\n");
      if (header_end != std::string::npos) {
        std::istringstream lines(input.substr(0, header_end + 2));
        std::string line;
        std::getline(lines, line);
        if (line.size() > 12) answer.status = std::atoi(line.substr(9, 3).c_str());
        while (std::getline(lines, line) && line.size() > 1) {
          const auto colon = line.find(':');
          if (colon == std::string::npos) continue;
          std::string name = line.substr(0, colon);
          std::transform(name.begin(), name.end(), name.begin(), ::tolower);
          std::string value = line.substr(colon + 1);
          while (!value.empty() && value.front() == ' ') value.erase(0, 1);
          while (!value.empty() && (value.back() == '\r' || value.back() == ' ')) value.pop_back();
          answer.headers[name] = value;
        }
        at = header_end + 4;
        chunked = answer.Header("transfer-encoding") == "chunked";
        if (!answer.Header("content-length").empty()) length = std::atol(answer.Header("content-length").c_str());
        if (answer.status >= 100 && answer.status < 200) {
          input.erase(0, at);
          at = 0;
          header_end = std::string::npos;
          answer.status = 0;
          answer.headers.clear();
          continue;
        }
      }
    }
    if (header_end != std::string::npos) {
      if (chunked) {
        while (true) {
          const auto line_end = input.find("\r\n", at);
          if (line_end == std::string::npos) break;
          const unsigned long size = std::strtoul(input.c_str() + at, nullptr, 16);
          if (input.size() < line_end + 2 + size + 2) break;
          if (size == 0) {
            answer.whole = true;
            at = line_end + 4;
            break;
          }
          answer.body += input.substr(line_end + 2, size);
          at = line_end + 2 + size + 2;
        }
      } else if (length >= 0) {
        const std::size_t take = std::min(input.size() - at, static_cast<std::size_t>(length) - answer.body.size());
        answer.body += input.substr(at, take);
        at += take;
        answer.whole = answer.body.size() == static_cast<std::size_t>(length);
      } else {
        answer.body += input.substr(at);
        at = input.size();
        answer.whole = ended;
      }
      if (answer.whole) break;
    }
    if (ended) break;
    const double left = deadline_ms - NowMs();
    pollfd poll_fd{fd, POLLIN, 0};
    if (left <= 0 || poll(&poll_fd, 1, static_cast<int>(left) + 1) != 1) break;
    const ssize_t count = recv(fd, buffer, sizeof(buffer), 0);
    if (count < 0) break;
    if (count == 0) {
      ended = true;
      if (header_end == std::string::npos || chunked || length >= 0) break;
      continue;
    }
    input.append(buffer, static_cast<std::size_t>(count));
  }
  answer.at_ms = NowMs();
  if (rest && answer.whole) *rest = input.substr(at);
  return answer;
}

inline Answer Call(const Address& to, const std::string& method, const std::string& path, const Headers& headers,
                   const std::string& body, int timeout_ms, int connect_ms = 1000) {
  const double deadline = NowMs() + timeout_ms;
  const int fd = ConnectTo(to, std::min(timeout_ms, connect_ms));
  if (fd < 0) return {};
  Answer answer;
  Headers all = headers;
  bool has_host = false;
  for (const auto& [name, value] : headers) has_host = has_host || name == "Host";
  if (!has_host) all.insert(all.begin(), {"Host", to.Text()});
  std::string id;
  for (const auto& [name, value] : headers) {
    if (name == "Kumquatcross-Request-Id") id = value;
  }
  if (!id.empty()) {
    RecordDetail("sent " + id + " " + method + " " + path + " with " + std::to_string(body.size()) + " bytes to " +
                 to.Text());
  }
  if (SendAll(fd, RequestText(method, path, all, body))) {
    answer = ReadAnswer(fd, deadline);
  }
  if (!id.empty()) {
    RecordDetail("answered " + id + " " + std::to_string(answer.status) + (answer.whole ? " whole, " : " not whole, ") +
                 std::to_string(answer.body.size()) + " bytes");
  }
  answer.connected = true;
  close(fd);
  return answer;
}

// ---- processes ----

class Process {
 public:
  Process(std::vector<std::string> command, std::string log) : command_(std::move(command)), log_(std::move(log)) {}
  ~Process() { Kill(); }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  bool Start() {
    pid_ = fork();
    if (pid_ != 0) return pid_ > 0;
    // It ends with the test, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(log, 1);
    dup2(log, 2);
    std::vector<char*> arguments;
    for (std::string& word : command_) arguments.push_back(word.data());
    arguments.push_back(nullptr);
    execv(arguments[0], arguments.data());
    _exit(127);
  }
  void Signal(int number) {
    if (pid_ > 0) kill(pid_, number);
  }
  void Kill() {
    if (pid_ <= 0) return;
    kill(pid_, SIGCONT);
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
  // Returns whether the process still runs; if not, its status.
  bool Runs(int* status = nullptr) {
    if (pid_ <= 0) return false;
    int ended = 0;
    if (waitpid(pid_, &ended, WNOHANG) == 0) return true;
    if (status) *status = ended;
    pid_ = -1;
    return false;
  }
  pid_t pid() const { return pid_; }

 private:
  std::vector<std::string> command_;
  std::string log_;
  pid_t pid_ = -1;
};

// ---- the deployment ----

struct Options {
  int controls = 5;
  int routers = 3;
  int router_memory_mb = 110;
  int retry_slack = 54;
  std::string retry_ratio = "0.2";
  int grace_s = 8;
  int version_ms = 10000;
  int lease_ms = 3000;
  bool require_fence = true;
};

class Deployment {
 public:
  explicit Deployment(Options options) : options_(options) {
    folder_ = (std::filesystem::temp_directory_path() / "kumquat-review-XXXXXX").string();
    if (!mkdtemp(folder_.data())) std::exit(2);
    std::vector<std::string> all;
    for (int i = 0; i < options_.controls; ++i) control_ips_.push_back("127.81.1." + std::to_string(i + 1));
    for (int i = 0; i < options_.routers; ++i) router_ips_.push_back("127.81.2." + std::to_string(i + 1));
    all = control_ips_;
    all.insert(all.end(), router_ips_.begin(), router_ips_.end());
    link_port_ = FreePort(all);
    control_port_ = FreePort(all);
    front_port_ = FreePort(all);
    ready_port_ = FreePort(all);
    metrics_port_ = FreePort(all);
    const char* root = std::getenv("ROOT");
    root_ = root ? root : ".";
    for (int i = 0; i < options_.controls; ++i) {
      controls_.push_back(std::make_unique<Process>(
          std::vector<std::string>{root_ + "/target/bin/kumquat-control", "--config", ControlFile(i)},
          folder_ + "/control-" + std::to_string(i) + ".log"));
    }
    for (int i = 0; i < options_.routers; ++i) {
      routers_.push_back(std::make_unique<Process>(
          std::vector<std::string>{root_ + "/target/bin/kumquat-router", "--config", RouterFile(i)},
          folder_ + "/router-" + std::to_string(i) + ".log"));
    }
  }
  ~Deployment() {
    routers_.clear();
    controls_.clear();
    if (std::getenv("KEEP")) {
      std::printf("kept: %s\n", folder_.c_str());
    } else {
      const std::string command = "rm -rf '" + folder_ + "'";
      if (std::system(command.c_str()) != 0) std::printf("the folder is left\n");
    }
  }

  void StartControl(int i, bool bootstrap) {
    WriteControl(i, bootstrap);
    controls_[i]->Start();
  }
  void StartRouter(int i) {
    WriteRouter(i);
    routers_[i]->Start();
  }
  void StartAll(bool bootstrap = true) {
    for (int i = 0; i < options_.controls; ++i) StartControl(i, bootstrap);
    for (int i = 0; i < options_.routers; ++i) StartRouter(i);
  }
  void WipeDisk(int i) {
    const std::string command = "rm -rf '" + DataDir(i) + "'";
    if (std::system(command.c_str()) != 0) Record("the disk of control %d could not be emptied", i);
  }

  Address ControlApi(int i) const { return {control_ips_[i], control_port_}; }
  Address ControlLink(int i) const { return {control_ips_[i], link_port_}; }
  Address Front(int i) const { return {router_ips_[i], front_port_}; }
  Address Ready(int i) const { return {router_ips_[i], ready_port_}; }
  Address RouterMetrics(int i) const { return {router_ips_[i], metrics_port_}; }
  Address ControlMetrics(int i) const { return {control_ips_[i], metrics_port_}; }
  Process& control(int i) { return *controls_[i]; }
  Process& router(int i) { return *routers_[i]; }
  const Options& options() const { return options_; }
  const std::string& folder() const { return folder_; }

  // Puts the configuration at any replica until it is acknowledged.
  bool PutConfig(const std::string& text, int timeout_ms = 15000) {
    return Operator("PUT", "/config", text, timeout_ms);
  }
  bool Operator(const std::string& method, const std::string& path, const std::string& text, int timeout_ms) {
    const double end = NowMs() + timeout_ms;
    for (int i = 0; NowMs() < end; ++i) {
      const Answer answer =
          Call(ControlApi(i % options_.controls), method, path, {{"Content-Type", "application/json"}}, text, 1000);
      if (answer.status == 200) return true;
      if (answer.status >= 400 && answer.status < 500) return false;
      SleepMs(100);
    }
    return false;
  }
  bool WaitReady(int timeout_ms = 20000) {
    const double end = NowMs() + timeout_ms;
    for (int i = 0; i < options_.routers; ++i) {
      while (Call(Ready(i), "GET", "/readyz", {}, "", 500).status != 200) {
        if (NowMs() > end) return false;
        SleepMs(50);
      }
    }
    return true;
  }

 private:
  std::string DataDir(int i) const { return folder_ + "/disk-" + std::to_string(i); }
  std::string ControlFile(int i) const { return folder_ + "/control-" + std::to_string(i) + ".conf"; }
  std::string RouterFile(int i) const { return folder_ + "/router-" + std::to_string(i) + ".conf"; }
  std::string Seeds() const {
    std::string seeds;
    for (int i = 0; i < std::min(3, options_.controls); ++i) {
      seeds += (i ? ",\"" : "\"") + ControlApi(i).Text() + "\"";
    }
    return seeds;
  }
  // As deploy/control.toml.template and deploy/router.toml.template are filled in.
  void WriteControl(int i, bool bootstrap) {
    std::ofstream file(ControlFile(i));
    file << "instance = \"core-" << i << "\"\nfailure_domain = \"zone-" << i % 3 << "\"\nlisten = \""
         << ControlLink(i).Text() << "\"\nhttp_listen = \"" << ControlApi(i).Text() << "\"\nmetrics_listen = \""
         << ControlMetrics(i).Text() << "\"\nseeds = [" << Seeds() << "]\nfound = " << (bootstrap ? "true" : "false")
         << "\ndata_dir = \"" << DataDir(i) << "\"\nmemory_mb = 256\nmax_descriptors = 4096\n"
         << "weights_longest_lag_ms = " << options_.version_ms << "\norder_lease_ms = " << options_.lease_ms << "\n"
         << (options_.require_fence ? "engines_check_fences = true\n" : "");
  }
  void WriteRouter(int i) {
    std::ofstream file(RouterFile(i));
    file << "instance = \"front-" << i << "\"\nfailure_domain = \"zone-" << i % 3 << "\"\nlisten = \""
         << Front(i).Text() << "\"\n\n[forward]\ncontrol_seeds = [" << Seeds() << "]\ncontrol_port = " << link_port_
         << "\nready_listen = \"" << Ready(i).Text() << "\"\nmetrics_listen = \"" << RouterMetrics(i).Text()
         << "\"\nrepeat_ratio = " << options_.retry_ratio << "\nrepeat_slack = " << options_.retry_slack
         << "\nmemory_mb = " << options_.router_memory_mb << "\nmax_descriptors = 4100\nweights_longest_lag_ms = "
         << options_.version_ms << "\nlearn_engine_speeds = true\ngrace_ms = " << options_.grace_s << "000\n";
  }

  Options options_;
  std::string folder_;
  std::string root_;
  std::vector<std::string> control_ips_;
  std::vector<std::string> router_ips_;
  int link_port_ = 0;
  int control_port_ = 0;
  int front_port_ = 0;
  int ready_port_ = 0;
  int metrics_port_ = 0;
  std::vector<std::unique_ptr<Process>> controls_;
  std::vector<std::unique_ptr<Process>> routers_;
};

// ---- stand-in backend servers ----

struct Request {
  std::string method;
  std::string target;
  std::map<std::string, std::string> headers;
  std::string body;
  std::string Header(std::string name) const {
    std::transform(name.begin(), name.end(), name.begin(), ::tolower);
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
};

class Runner;

// One connection of a runner, as its handler sees it.
struct Channel {
  int fd = -1;
  int epoch = 0;
  Runner* runner = nullptr;
  bool Send(const std::string& bytes) const { return SendAll(fd, bytes); }
  // Returns whether the peer has closed.
  bool PeerGone() const {
    pollfd poll_fd{fd, POLLIN | POLLRDHUP, 0};
    return poll(&poll_fd, 1, 0) == 1 && (poll_fd.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  }
};

class Runner {
 public:
  // Answers one request; returns whether the connection is kept.
  using Handler = std::function<bool(Runner& runner, const Channel& channel, const Request& request)>;

  Runner(std::string id, std::string service, Address address, std::vector<Address> control, Handler handler)
      : id_(std::move(id)),
        service_(std::move(service)),
        address_(std::move(address)),
        control_(std::move(control)),
        handler_(std::move(handler)) {}
  ~Runner() {
    ends_ = true;
    Down();
    if (beats_.joinable()) beats_.join();
    while (threads_ > 0) SleepMs(5);
  }

  void Start() {
    Up();
    beats_ = std::thread([this] { BeatLoop(); });
  }

  // The process ends: its connections are reset, its address refuses.
  void Crash(double back_after_ms) {
    Down();
    ++crashes_;
    back_at_ms_ = NowMs() + back_after_ms;
  }

  bool is_up() const { return listener_ >= 0; }
  int crashes() const { return crashes_; }
  int epoch() const { return epoch_; }
  const std::string& id() const { return id_; }
  const Address& address() const { return address_; }
  std::string stamp() const { return "stamp-" + id_ + "-" + std::to_string(epoch_.load()); }

  // A whole success with the headers that the pages ask for.
  std::string Success(const Request& request, const std::string& body) const {
    RecordDetail("run by " + id_ + " " + request.Header("Kumquatcross-Request-Id"));
    return "HTTP/1.1 200 OK\r\nKumquatcross-Request-Id: " + request.Header("Kumquatcross-Request-Id") +
           "\r\nKumquatcross-Server-Stamp: " + stamp() + "\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\nKeep-Alive: timeout=5\r\n\r\n" + body;
  }

  std::atomic<bool> silent_beats{false};
  // The JSON of the list of models, for a server of models.
  void SetModels(const std::string& models) {
    const std::lock_guard lock(mutex_);
    models_ = models;
  }
  std::string state = "ready";
  int slots = 6;

  void Beat() { SendBeat(); }
  // Says that it is gone; returns whether that was acknowledged.
  bool Leave() {
    for (std::size_t i = 0; i < 3 * control_.size(); ++i) {
      if (Call(control_[i % control_.size()], "DELETE", "/instances/" + id_, {}, "", 1000).status == 200) return true;
    }
    return false;
  }

 private:
  void Up() {
    born_ = std::max(UnixMs(), born_ + 1);
    seq_ = 0;
    ++epoch_;
    int listener = -1;
    for (int i = 0; i < 100 && listener < 0; ++i) {
      listener = ListenAt(address_);
      if (listener < 0) SleepMs(20);
    }
    listener_ = listener;
    ++threads_;
    std::thread([this, listener, epoch = epoch_.load()] {
      AcceptLoop(listener, epoch);
      --threads_;
    }).detach();
  }
  void Down() {
    const std::lock_guard lock(mutex_);
    const int listener = listener_.exchange(-1);
    if (listener >= 0) {
      shutdown(listener, SHUT_RDWR);
      close(listener);
    }
    for (const int fd : open_) {
      const linger reset{1, 0};
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
      shutdown(fd, SHUT_RDWR);
    }
  }
  void AcceptLoop(int listener, int epoch) {
    while (listener_ == listener && epoch_ == epoch) {
      pollfd poll_fd{listener, POLLIN, 0};
      if (poll(&poll_fd, 1, 50) != 1) continue;
      const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      const int one = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
      {
        const std::lock_guard lock(mutex_);
        if (listener_ != listener) {
          close(fd);
          return;
        }
        open_.insert(fd);
      }
      ++threads_;
      std::thread([this, fd, epoch] {
        Serve(fd, epoch);
        {
          const std::lock_guard lock(mutex_);
          open_.erase(fd);
          close(fd);
        }
        --threads_;
      }).detach();
    }
  }
  void Serve(int fd, int epoch) {
    std::string input;
    char buffer[65536];
    const Channel channel{fd, epoch, this};
    while (true) {
      std::size_t end = input.find("\r\n\r\n");
      Request request;
      std::size_t length = 0;
      if (end != std::string::npos) {
        std::istringstream lines(input.substr(0, end + 2));
        std::string line;
        std::getline(lines, line);
        std::istringstream first(line);
        first >> request.method >> request.target;
        while (std::getline(lines, line) && line.size() > 1) {
          const auto colon = line.find(':');
          if (colon == std::string::npos) continue;
          std::string name = line.substr(0, colon);
          std::transform(name.begin(), name.end(), name.begin(), ::tolower);
          std::string value = line.substr(colon + 1);
          while (!value.empty() && value.front() == ' ') value.erase(0, 1);
          while (!value.empty() && value.back() == '\r') value.pop_back();
          request.headers[name] = value;
        }
        length = static_cast<std::size_t>(std::atol(request.Header("content-length").c_str()));
      }
      if (end == std::string::npos || input.size() < end + 4 + length) {
        if (end != std::string::npos && reads_slowly) SleepMs(1000);
        const ssize_t count = recv(fd, buffer, sizeof(buffer), 0);
        if (count <= 0) return;
        input.append(buffer, static_cast<std::size_t>(count));
        continue;
      }
      request.body = input.substr(end + 4, length);
      input.erase(0, end + 4 + length);
      const std::string request_id = request.Header("Kumquatcross-Request-Id");
      if (!request_id.empty()) RecordDetail("reached " + id_ + " " + request_id);
      if (!handler_(*this, channel, request)) return;
    }
  }
  void BeatLoop() {
    double next = 0;
    while (!ends_) {
      if (!is_up() && back_at_ms_ > 0 && NowMs() >= back_at_ms_) {
        back_at_ms_ = 0;
        Up();
        next = 0;
      }
      if (is_up() && !silent_beats && NowMs() >= next) {
        next = NowMs() + 1200;
        SendBeat();
      }
      SleepMs(10);
    }
  }
  void SendBeat() {
    std::string models;
    {
      const std::lock_guard lock(mutex_);
      models = models_;
    }
    const std::string body = "{\"service\":\"" + service_ + "\",\"addr\":\"" + address_.Text() +
                             "\",\"zone\":\"zone-0\",\"version\":\"v1\",\"slots\":" + std::to_string(slots) +
                             ",\"state\":\"" + state + "\",\"coldLeftMs\":0,\"born\":" + std::to_string(born_) +
                             (models.empty() ? "" : ",\"stage\":\"both\",\"models\":" + models) +
                             ",\"seq\":" + std::to_string(++seq_) + "}";
    for (std::size_t i = 0; i < control_.size(); ++i) {
      const Address& to = control_[at_ % control_.size()];
      const Answer answer =
          Call(to, "PUT", "/instances/" + id_, {{"Content-Type", "application/json"}}, body, 1000);
      if (answer.status == 200) return;
      ++at_;
    }
  }

 public:
  std::atomic<bool> reads_slowly{false};

 private:
  std::string id_;
  std::string service_;
  Address address_;
  std::vector<Address> control_;
  Handler handler_;
  std::mutex mutex_;
  std::string models_;
  std::set<int> open_;
  std::atomic<int> listener_{-1};
  std::atomic<int> epoch_{0};
  std::atomic<int> crashes_{0};
  std::atomic<int> threads_{0};
  std::atomic<bool> ends_{false};
  std::atomic<double> back_at_ms_{0};
  std::int64_t born_ = 0;
  std::int64_t seq_ = 0;
  std::size_t at_ = 0;
  std::thread beats_;
};

inline std::string NewId() {
  static std::atomic<std::uint64_t> next{0};
  char text[32];
  std::snprintf(text, sizeof(text), "%08x%08x", static_cast<unsigned>(getpid()), static_cast<unsigned>(++next));
  return text;
}

// Opens record.txt in the folder that CASE names.
inline void OpenRecord() {
  Began();
  signal(SIGPIPE, SIG_IGN);
  const char* folder = std::getenv("CASE");
  RecordFile() = std::fopen((std::string(folder ? folder : ".") + "/record.txt").c_str(), "w");
  Record("TROUBLE=%d", Trouble() ? 1 : 0);
}

}  // namespace kit
