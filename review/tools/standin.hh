// What the cases share: a blocking HTTP client, processes that are started and ended by id, and the
// record of what was sent, answered and run. Standard library and POSIX only.
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
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace standin {

using Clock = std::chrono::steady_clock;

inline Clock::time_point Begin() {
  static const Clock::time_point begin = Clock::now();
  return begin;
}
inline double Seconds() { return std::chrono::duration<double>(Clock::now() - Begin()).count(); }
inline void SleepMs(int ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }
inline long long WallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// The record: one line an event, with the seconds since the start.
class Record {
 public:
  static Record& Get() {
    static Record record;
    return record;
  }
  void Open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    const std::lock_guard lock(mutex_);
    if (!file_) return;
    std::fprintf(file_, "%8.3f  ", Seconds());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  FILE* file_ = nullptr;
};

struct Address {
  std::string ip;
  int port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in ToSockaddr(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(address.port));
  inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

inline bool WaitFor(int descriptor, short events, Clock::time_point until) {
  while (true) {
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now()).count();
    if (left <= 0) return false;
    pollfd one{descriptor, events, 0};
    const int ready = poll(&one, 1, static_cast<int>(left));
    if (ready > 0) return true;
    if (ready < 0 && errno != EINTR) return false;
  }
}

// Returns a connected socket, or -1.
inline int Dial(const Address& address, Clock::time_point until) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (descriptor < 0) return -1;
  const sockaddr_in to = ToSockaddr(address);
  if (connect(descriptor, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0) {
    int error = errno;
    if (error == EINPROGRESS && WaitFor(descriptor, POLLOUT, until)) {
      socklen_t size = sizeof(error);
      getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
    }
    if (error != 0) {
      close(descriptor);
      return -1;
    }
  }
  const int one = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  return descriptor;
}

inline bool SendAll(int descriptor, const std::string& bytes, Clock::time_point until) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = send(descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count > 0) {
      sent += static_cast<std::size_t>(count);
    } else if (errno == EAGAIN || errno == EINTR) {
      if (!WaitFor(descriptor, POLLOUT, until)) return false;
    } else {
      return false;
    }
  }
  return true;
}

// Reads more into the buffer; 1 for bytes, 0 for the end, -1 for a reset or no time left.
inline int ReadMore(int descriptor, std::string* buffer, Clock::time_point until) {
  char bytes[65536];
  while (true) {
    const ssize_t count = recv(descriptor, bytes, sizeof(bytes), 0);
    if (count > 0) {
      buffer->append(bytes, static_cast<std::size_t>(count));
      return 1;
    }
    if (count == 0) return 0;
    if (errno != EAGAIN && errno != EINTR) return -1;
    if (!WaitFor(descriptor, POLLIN, until)) return -1;
  }
}

inline std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return text;
}

// A message's first line, its fields by lower-case name, and its body.
struct Message {
  std::string first_line;
  std::map<std::string, std::string> fields;
  std::string body;
  std::string Field(const std::string& name) const {
    const auto found = fields.find(name);
    return found != fields.end() ? found->second : std::string();
  }
};

inline Message ParseHead(const std::string& head) {
  Message message;
  std::istringstream lines(head);
  std::getline(lines, message.first_line);
  if (!message.first_line.empty() && message.first_line.back() == '\r') {
    message.first_line.pop_back();
  }
  std::string line;
  while (std::getline(lines, line)) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    const auto colon = line.find(':');
    if (colon == std::string::npos) continue;
    auto begin = line.find_first_not_of(' ', colon + 1);
    if (begin == std::string::npos) begin = line.size();
    message.fields[Lower(line.substr(0, colon))] = line.substr(begin);
  }
  return message;
}

struct Answer {
  // 0: no connection; -1: the connection ended, or the time was up, before a whole answer.
  int status = 0;
  bool whole = false;
  Message message;
};

// Reads one answer from the buffer and the socket.
inline Answer ReadAnswer(int descriptor, std::string* buffer, Clock::time_point until) {
  Answer answer;
  answer.status = -1;
  std::size_t end = 0;
  while ((end = buffer->find("\r\n\r\n")) == std::string::npos) {
    if (ReadMore(descriptor, buffer, until) <= 0) return answer;
  }
  answer.message = ParseHead(buffer->substr(0, end));
  buffer->erase(0, end + 4);
  if (answer.message.first_line.size() < 12) return answer;
  const int status = std::atoi(answer.message.first_line.substr(9, 3).c_str());
  if (Lower(answer.message.Field("transfer-encoding")) == "chunked") {
    while (true) {
      std::size_t line = 0;
      while ((line = buffer->find("\r\n")) == std::string::npos) {
        if (ReadMore(descriptor, buffer, until) <= 0) return answer;
      }
      const std::size_t size = std::strtoul(buffer->c_str(), nullptr, 16);
      while (buffer->size() < line + 2 + size + 2) {
        if (ReadMore(descriptor, buffer, until) <= 0) return answer;
      }
      answer.message.body += buffer->substr(line + 2, size);
      buffer->erase(0, line + 2 + size + 2);
      if (size == 0) break;
    }
  } else {
    const std::size_t size =
        std::strtoul(answer.message.Field("content-length").c_str(), nullptr, 10);
    while (buffer->size() < size) {
      if (ReadMore(descriptor, buffer, until) <= 0) return answer;
    }
    answer.message.body = buffer->substr(0, size);
    buffer->erase(0, size);
  }
  answer.status = status;
  answer.whole = true;
  return answer;
}

inline std::string RequestBytes(const std::string& method, const std::string& path,
                                const std::string& host, const std::string& fields,
                                const std::string& body) {
  std::string bytes = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n" + fields;
  if (!body.empty() || method != "GET") {
    bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return bytes + "\r\n" + body;
}

// One call on a new connection.
inline Answer Call(const Address& address, const std::string& method, const std::string& path,
                   const std::string& body, int timeout_ms) {
  const auto until = Clock::now() + std::chrono::milliseconds(timeout_ms);
  Answer answer;
  const int descriptor = Dial(address, until);
  if (descriptor < 0) return answer;
  answer.status = -1;
  std::string buffer;
  const std::string fields = "Content-Type: application/json\r\nConnection: close\r\n";
  if (SendAll(descriptor, RequestBytes(method, path, address.Text(), fields, body), until)) {
    answer = ReadAnswer(descriptor, &buffer, until);
  }
  close(descriptor);
  return answer;
}

// A program of the project, started with its output in a file. The platform starts it again.
class Process {
 public:
  Process(std::string name, std::vector<std::string> words, std::string log)
      : name_(std::move(name)), words_(std::move(words)), log_(std::move(log)) {}
  ~Process() { End(); }

  void Start() {
    pid_ = fork();
    if (pid_ == 0) {
      // It ends with whoever started it, also when that is killed.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(out, 1);
      dup2(out, 2);
      std::vector<char*> words;
      for (std::string& word : words_) words.push_back(word.data());
      words.push_back(nullptr);
      execv(words[0], words.data());
      _exit(127);
    }
    Record::Get().Line("%s starts, pid %d", name_.c_str(), pid_);
  }
  void Signal(int signal) const {
    if (pid_ > 0) kill(pid_, signal);
  }
  // Returns whether it runs; collects it if it has ended.
  bool Runs() {
    if (pid_ <= 0) return false;
    if (waitpid(pid_, &status_, WNOHANG) == 0) return true;
    pid_ = -1;
    return false;
  }
  void End() {
    if (pid_ <= 0) return;
    kill(pid_, SIGCONT);
    kill(pid_, SIGKILL);
    waitpid(pid_, &status_, 0);
    pid_ = -1;
  }
  // Resident memory in MB; 0 when it doesn't run.
  double MemoryMb() const {
    if (pid_ <= 0) return 0;
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    std::string line;
    while (std::getline(status, line)) {
      if (line.starts_with("VmRSS:")) return std::atof(line.c_str() + 6) / 1024;
    }
    return 0;
  }
  const std::string& name() const { return name_; }
  int pid() const { return pid_; }
  int last_status() const { return status_; }

 private:
  std::string name_;
  std::vector<std::string> words_;
  std::string log_;
  pid_t pid_ = -1;
  int status_ = 0;
};

inline void WriteFile(const std::string& path, const std::string& text) {
  std::ofstream(path) << text;
}

// Loopback addresses 127.A.B.1 and on, which nobody else uses at this port.
struct Hosts {
  std::string prefix;
  int port = 0;
  std::string Ip(int number) const { return prefix + std::to_string(number); }
};

inline bool IsFree(const Address& address) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  const sockaddr_in to = ToSockaddr(address);
  const bool is_free = bind(descriptor, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) == 0;
  close(descriptor);
  return is_free;
}

inline Hosts FreeHosts() {
  std::random_device random;
  while (true) {
    Hosts hosts;
    hosts.prefix = "127." + std::to_string(10 + random() % 200) + "." +
                   std::to_string(1 + random() % 250) + ".";
    hosts.port = 21000 + static_cast<int>(random() % 8000);
    bool all_free = true;
    for (int host = 1; host <= 40; ++host) {
      for (const int port : {hosts.port, hosts.port + 1, hosts.port + 2, 9464}) {
        all_free = all_free && IsFree({hosts.Ip(host), port});
      }
    }
    if (all_free) return hosts;
  }
}

// The control replicas, as deploy/control.toml.template makes their settings.
inline std::string ControlSettings(const Hosts& hosts, int host, bool bootstrap,
                                   const std::string& data_dir) {
  std::ostringstream text;
  text << "instance = \"core-" << host << "\"\n"
       << "failure_domain = \"zone-" << (host - 1) % 3 << "\"\n"
       << "listen = \"" << hosts.Ip(host) << ":" << hosts.port << "\"\n"
       << "http_listen = \"" << hosts.Ip(host) << ":" << hosts.port + 1 << "\"\n"
       << "metrics_listen = \"" << hosts.Ip(host) << ":9464\"\n"
       << "seeds = [\"" << hosts.Ip(1) << ":" << hosts.port + 1 << "\",\"" << hosts.Ip(2) << ":"
       << hosts.port + 1 << "\",\"" << hosts.Ip(3) << ":" << hosts.port + 1 << "\"]\n"
       << "found = " << (bootstrap ? "true" : "false") << "\n"
       << "data_dir = \"" << data_dir << "\"\n"
       << "weights_longest_lag_ms = 10000\norder_lease_ms = 3000\nengines_check_fences = true\n";
  return text.str();
}

// A router, as deploy/router.toml.template makes its settings.
inline std::string RouterSettings(const Hosts& hosts, int host, int zone) {
  std::ostringstream text;
  text << "instance = \"front-" << host << "\"\n"
       << "failure_domain = \"zone-" << zone << "\"\n"
       << "listen = \"" << hosts.Ip(host) << ":" << hosts.port + 1 << "\"\n\n[forward]\n"
       << "control_seeds = [\"" << hosts.Ip(1) << ":" << hosts.port + 1 << "\",\"" << hosts.Ip(2)
       << ":" << hosts.port + 1 << "\",\"" << hosts.Ip(3) << ":" << hosts.port + 1 << "\"]\n"
       << "control_port = " << hosts.port << "\n"
       << "ready_listen = \"" << hosts.Ip(host) << ":" << hosts.port + 2 << "\"\n"
       << "metrics_listen = \"" << hosts.Ip(host) << ":9464\"\n"
       << "repeat_ratio = 0.2\nrepeat_slack = 54\nmemory_mb = 110\n"
       << "weights_longest_lag_ms = 10000\ngrace_ms = 8000\n";
  return text.str();
}

}  // namespace standin
