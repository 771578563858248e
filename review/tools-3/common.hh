// Small stand-ins for the platform, its servers and its clients: HTTP/1.1 over loopback sockets,
// the settings files of the deploy templates, and child processes.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace standin {

using Clock = std::chrono::steady_clock;
inline const Clock::time_point kStart = Clock::now();
inline double Now() { return std::chrono::duration<double>(Clock::now() - kStart).count(); }
inline void SleepUntil(double moment) {
  const double left = moment - Now();
  if (left > 0) std::this_thread::sleep_for(std::chrono::duration<double>(left));
}
inline void Sleep(double seconds) { SleepUntil(Now() + seconds); }
inline std::int64_t UnixMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// What was sent, answered and run, one line each.
class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {
    if (!file_) std::exit(2);
  }
  void Line(const char* format, ...) {
    va_list arguments;
    va_start(arguments, format);
    char text[2000];
    std::vsnprintf(text, sizeof(text), format, arguments);
    va_end(arguments);
    const std::lock_guard lock(mutex_);
    std::fprintf(file_, "%9.3f  %s\n", Now(), text);
    std::fflush(file_);
  }

 private:
  std::FILE* file_;
  std::mutex mutex_;
};

inline std::string Lower(std::string text) {
  for (char& c : text) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return text;
}

struct Message {
  std::string method, target;  // of a request
  int status = 0;              // of an answer; 0 where none came whole
  std::map<std::string, std::string> headers;
  std::string body;
  std::string Header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
};

inline sockaddr_in AddressOf(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

inline int Dial(const std::string& ip, int port, int timeout_ms) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in address = AddressOf(ip, port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    pollfd wanted{fd, POLLOUT, 0};
    int error = errno == EINPROGRESS ? 0 : errno;
    socklen_t size = sizeof(error);
    if (error == 0 && poll(&wanted, 1, timeout_ms) != 1) error = ETIMEDOUT;
    if (error == 0) getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
      close(fd);
      return -1;
    }
  }
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
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

// Reads from a connection; `deadline` is a moment of Now().
class Reader {
 public:
  explicit Reader(int fd) : fd_(fd) {}

  // 1 where bytes came, 0 at the end of the connection, -1 at a reset, -2 at the deadline.
  int Fill(double deadline) {
    const double left = deadline - Now();
    pollfd wanted{fd_, POLLIN, 0};
    if (left <= 0 || poll(&wanted, 1, static_cast<int>(left * 1000) + 1) != 1) return -2;
    char bytes[65536];
    const ssize_t count = recv(fd_, bytes, sizeof(bytes), 0);
    if (count > 0) buffer_.append(bytes, static_cast<std::size_t>(count));
    return count > 0 ? 1 : count == 0 ? 0 : -1;
  }

  bool Line(std::string* line, double deadline) {
    std::size_t end;
    while ((end = buffer_.find("\r\n")) == std::string::npos) {
      if ((why_ = Fill(deadline)) != 1) return false;
    }
    *line = buffer_.substr(0, end);
    buffer_.erase(0, end + 2);
    return true;
  }

  bool Exactly(std::size_t count, std::string* out, double deadline) {
    while (buffer_.size() < count) {
      if ((why_ = Fill(deadline)) != 1) return false;
    }
    *out += buffer_.substr(0, count);
    buffer_.erase(0, count);
    return true;
  }

  // Reads a head, and the body by its framing. False where it doesn't come whole.
  bool Read(Message* message, bool is_request, double deadline,
            const std::function<void(const std::string&)>& on_data = {}) {
    std::string line;
    if (!Line(&line, deadline)) return false;
    const auto first = line.find(' ');
    const auto second = line.find(' ', first + 1);
    if (first == std::string::npos) return false;
    if (is_request) {
      message->method = line.substr(0, first);
      message->target = line.substr(first + 1, second - first - 1);
    }
    const int status = is_request ? 0 : std::atoi(line.c_str() + first);
    while (Line(&line, deadline) && !line.empty()) {
      const auto colon = line.find(':');
      if (colon == std::string::npos) return false;
      const auto value = line.find_first_not_of(' ', colon + 1);
      message->headers[Lower(line.substr(0, colon))] =
          value == std::string::npos ? "" : line.substr(value);
    }
    if (!line.empty()) return false;
    head_status_ = status;
    const auto take = [&](std::string part) {
      if (on_data) on_data(part);
      message->body += part;
    };
    if (Lower(message->Header("transfer-encoding")) == "chunked") {
      while (true) {
        if (!Line(&line, deadline)) return false;
        const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
        std::string part;
        if (size > 0 && !Exactly(size, &part, deadline)) return false;
        if (!Line(&line, deadline)) return false;
        if (size == 0) break;
        take(part);
      }
    } else if (!message->Header("content-length").empty()) {
      std::string part;
      if (!Exactly(std::strtoul(message->Header("content-length").c_str(), nullptr, 10), &part,
                   deadline)) {
        return false;
      }
      take(part);
    }
    message->status = status;
    return true;
  }

  int head_status() const { return head_status_; }
  int why() const { return why_; }

 private:
  int fd_;
  std::string buffer_;
  int head_status_ = 0;
  int why_ = 0;
};

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string RequestText(const std::string& method, const std::string& target,
                               const std::string& host, const Headers& headers,
                               const std::string& body) {
  std::string text = method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n";
  for (const auto& [name, value] : headers) text += name + ": " + value + "\r\n";
  if (!body.empty() || method != "GET") {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

// One call on a connection of its own; status 0 where no whole answer came in time.
inline Message Call(const std::string& ip, int port, const std::string& method,
                    const std::string& target, const std::string& host, const Headers& headers,
                    const std::string& body, double timeout_s) {
  Message answer;
  const double deadline = Now() + timeout_s;
  const int fd = Dial(ip, port, std::min(1000, static_cast<int>(timeout_s * 1000)));
  if (fd < 0) return answer;
  Message read;
  Reader reader(fd);
  if (SendAll(fd, RequestText(method, target, host, headers, body)) &&
      reader.Read(&read, false, deadline)) {
    answer = read;
  }
  close(fd);
  return answer;
}

// Serves each connection on a thread of its own.
class Server {
 public:
  // Answers one request on the connection; false closes it.
  using Handler = std::function<bool(int fd, const Message& request)>;

  Server(std::string ip, int port, Handler handler)
      : ip_(std::move(ip)), port_(port), handler_(std::move(handler)) {}

  bool Listen() {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    const sockaddr_in address = AddressOf(ip_, port_);
    if (bind(listener_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
        listen(listener_, 512) != 0) {
      return false;
    }
    std::thread([this] { Accept(); }).detach();
    return true;
  }

  // Ends like a crash: no listener, and all connections reset.
  void Crash() {
    const std::lock_guard lock(mutex_);
    is_down_ = true;
    shutdown(listener_, SHUT_RDWR);
    close(listener_);
    for (const int fd : open_) {
      const linger hard{1, 0};
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
      shutdown(fd, SHUT_RDWR);
    }
  }

  bool is_down() const { return is_down_; }
  const std::string& ip() const { return ip_; }
  int port() const { return port_; }

 private:
  void Accept() {
    while (!is_down_) {
      const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (is_down_) return;
        Sleep(0.01);
        continue;
      }
      const int one = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
      {
        const std::lock_guard lock(mutex_);
        if (is_down_) {
          close(fd);
          return;
        }
        open_.insert(fd);
      }
      std::thread([this, fd] {
        Reader reader(fd);
        while (true) {
          Message request;
          if (!reader.Read(&request, true, Now() + 120) || !handler_(fd, request)) break;
        }
        const std::lock_guard lock(mutex_);
        open_.erase(fd);
        close(fd);
      }).detach();
    }
  }

  std::string ip_;
  int port_;
  Handler handler_;
  int listener_ = -1;
  std::atomic<bool> is_down_{false};
  std::mutex mutex_;
  std::set<int> open_;
};

inline std::string AnswerText(int status, const Headers& headers, const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const auto& [name, value] : headers) text += name + ": " + value + "\r\n";
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A program of the project that runs as a child process.
struct Child {
  std::string name;
  std::vector<std::string> command;
  std::string log;
  pid_t pid = 0;

  void Start() {
    pid = fork();
    if (pid != 0) return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // ends with this driver, however that ends
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(out, 1);
    dup2(out, 2);
    std::vector<char*> words;
    for (std::string& word : command) words.push_back(word.data());
    words.push_back(nullptr);
    execv(words[0], words.data());
    _exit(127);
  }
  void Signal(int number) const {
    if (pid > 0) kill(pid, number);
  }
  // Returns the exit status of waitpid().
  int Kill() {
    int status = 0;
    if (pid > 0) {
      kill(pid, SIGKILL);
      waitpid(pid, &status, 0);
      pid = 0;
    }
    return status;
  }
  bool HasEnded() {
    int status = 0;
    if (pid <= 0 || waitpid(pid, &status, WNOHANG) != pid) return false;
    pid = 0;
    return true;
  }
};

// A small deployment on loopback addresses: `core` machines for control, `front` ones for routers.
class Deployment {
 public:
  Deployment(int net, int core, int front, bool checks_fences = true) : net_(net) {
    const char* programs = std::getenv("PROGRAMS");
    programs_ = programs ? programs : "target/bin";
    char folder[] = "/tmp/case-XXXXXX";
    if (!mkdtemp(folder)) std::exit(2);
    folder_ = folder;
    // The same ports on all machines: control's, the routers', and those of the programs' own.
    base_ = 21000 + static_cast<int>(getpid() % 400) * 20;
    while (!AreFree(core, front)) base_ = 21000 + (base_ - 21000 + 20) % 8000;
    for (int i = 1; i <= core; ++i) {
      const std::string ip = CoreIp(i);
      std::string text = "instance = \"core-" + std::to_string(i) + "\"\nfailure_domain = \"" +
                         Zone(i) + "\"\nlisten = \"" + ip + ":" + std::to_string(base_ + 2) +
                         "\"\nhttp_listen = \"" + ip + ":" + std::to_string(control_port()) +
                         "\"\nmetrics_listen = \"" + ip + ":" + std::to_string(base_ + 4) +
                         "\"\nseeds = [" + Seeds(core) + "]\nfound = true\ndata_dir = \"" +
                         folder_ + "/core-" + std::to_string(i) +
                         "\"\nmemory_mb = 256\nmax_descriptors = 4096\n"
                         "weights_longest_lag_ms = 10000\norder_lease_ms = 3000\n";
      if (checks_fences) text += "engines_check_fences = true\n";
      Add(&cores, "core-" + std::to_string(i), "kumquat-control", text);
    }
    for (int i = 1; i <= front; ++i) {
      const std::string ip = FrontIp(i);
      Add(&fronts, "front-" + std::to_string(i), "kumquat-router",
          "instance = \"front-" + std::to_string(i) + "\"\nfailure_domain = \"" + Zone(i) +
              "\"\nlisten = \"" + ip + ":" + std::to_string(front_port()) +
              "\"\n\n[forward]\ncontrol_seeds = [" + Seeds(core) +
              "]\ncontrol_port = " + std::to_string(base_ + 2) + "\nready_listen = \"" + ip + ":" +
              std::to_string(ready_port()) + "\"\nmetrics_listen = \"" + ip + ":" +
              std::to_string(base_ + 4) +
              "\"\nrepeat_ratio = 0.2\nrepeat_slack = 54\nmemory_mb = 110\nmax_descriptors = "
              "4100\nweights_longest_lag_ms = 10000\nlearn_engine_speeds = true\ngrace_ms = "
              "8000\n");
    }
  }
  // Ends all that was started, and this process; threads may be under way.
  [[noreturn]] void End(int status) {
    for (Child& child : fronts) child.Kill();
    for (Child& child : cores) child.Kill();
    if (!std::getenv("KEEP")) {
      const std::string command = "rm -rf " + folder_;
      if (std::system(command.c_str()) != 0) std::fprintf(stderr, "%s stays\n", folder_.c_str());
    }
    std::_Exit(status);
  }

  std::string CoreIp(int i) const { return Ip(1, i); }
  std::string FrontIp(int i) const { return Ip(2, i); }
  std::string RunnerIp(int i) const { return Ip(3, i); }
  static std::string Zone(int i) {
    return std::string("khomas-") + static_cast<char>('a' + (i - 1) % 3);
  }
  int front_port() const { return base_; }
  int ready_port() const { return base_ + 1; }
  int control_port() const { return base_ + 3; }
  int runner_port() const { return base_ + 5; }
  const std::string& folder() const { return folder_; }

  void StartAll() {
    for (Child& child : cores) child.Start();
    for (Child& child : fronts) child.Start();
  }

  // `bootstrap` is true at the first start only.
  void EndBootstrap() const {
    for (std::size_t i = 1; i <= cores.size(); ++i) {
      const std::string path = folder_ + "/core-" + std::to_string(i) + ".conf";
      std::FILE* file = std::fopen(path.c_str(), "r");
      char bytes[8192];
      std::string text(bytes, std::fread(bytes, 1, sizeof(bytes), file));
      std::fclose(file);
      text.replace(text.find("found = true"), 12, "found = false");
      file = std::fopen(path.c_str(), "w");
      std::fputs(text.c_str(), file);
      std::fclose(file);
    }
  }

  // A call to control: the daemons in turn, from the i-th on, until one gives a clear answer.
  Message CallControl(const std::string& method, const std::string& path, const std::string& body,
                      int first = 0, double patience = 10) const {
    const double until = Now() + patience;
    for (int i = first; Now() < until; ++i) {
      const int core = 1 + i % static_cast<int>(cores.size());
      const Message answer =
          Call(CoreIp(core), control_port(), method, path, "control",
               {{"Content-Type", "application/json"}}, body, 1.0);
      if (answer.status == 200 || answer.status == 400) return answer;
      Sleep(0.1);
    }
    return {};
  }

  bool WaitReady(double patience) const {
    const double until = Now() + patience;
    for (std::size_t i = 1; i <= fronts.size();) {
      const int ready = static_cast<int>(i);
      const Message answer =
          Call(FrontIp(ready), ready_port(), "GET", "/readyz", "front", {}, "", 1.0);
      if (answer.status == 200) {
        ++i;
      } else if (Now() > until) {
        return false;
      } else {
        Sleep(0.05);
      }
    }
    return true;
  }

  std::vector<Child> cores, fronts;

 private:
  std::string Ip(int kind, int i) const {
    return "127.0." + std::to_string(net_ * 4 + kind) + "." + std::to_string(i);
  }
  std::string Seeds(int core) const {
    std::string seeds;
    for (int i = 1; i <= std::min(3, core); ++i) {
      seeds += std::string(i > 1 ? ", " : "") + "\"" + CoreIp(i) + ":" +
               std::to_string(control_port()) + "\"";
    }
    return seeds;
  }
  bool AreFree(int core, int front) const {
    for (int kind = 1; kind <= 3; ++kind) {
      for (int i = 1; i <= std::max({core, front, 6}); ++i) {
        for (int port = base_; port < base_ + 6; ++port) {
          const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
          const int one = 1;
          setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
          const sockaddr_in address = AddressOf(Ip(kind, i), port);
          const bool is_free =
              bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
          close(fd);
          if (!is_free) return false;
        }
      }
    }
    return true;
  }
  void Add(std::vector<Child>* children, const std::string& name, const std::string& program,
           const std::string& text) {
    const std::string path = folder_ + "/" + name + ".conf";
    std::FILE* file = std::fopen(path.c_str(), "w");
    std::fputs(text.c_str(), file);
    std::fclose(file);
    children->push_back(
        {name, {programs_ + "/" + program, "--config", path}, folder_ + "/" + name + ".log"});
  }

  int net_;
  int base_ = 0;
  std::string programs_;
  std::string folder_;
};

inline bool IsTroubled() {
  const char* trouble = std::getenv("TROUBLE");
  return !trouble || std::string(trouble) != "0";
}

}  // namespace standin
