// SPDX-License-Identifier: Apache-2.0
//
// What the cases of the second review share: a record, processes, a discovery, servers, clients and a relay
// for datagrams, on loopback and with blocking sockets and threads.
#ifndef LOAD_BALANCER_REVIEW_COMMON_2_HARNESS_H_
#define LOAD_BALANCER_REVIEW_COMMON_2_HARNESS_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

// Exit codes of a case.
inline constexpr int kHeld = 0, kBroken = 1, kCouldNotRun = 2;

inline double Now() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

inline void SleepFor(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

inline bool HasTrouble() {
  const char* const text = std::getenv("TROUBLE");
  return !text || std::string(text) != "0";
}

// ---- the record ---------------------------------------------------------------------------------------

class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {
    if (!file_) std::exit(kCouldNotRun);
  }
  ~Record() { std::fclose(file_); }
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  __attribute__((format(printf, 2, 3))) void Line(const char* format, ...) {
    const std::lock_guard lock(mutex_);
    std::fprintf(file_, "%9.4f ", Now());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* const file_;
};

// ---- sockets ------------------------------------------------------------------------------------------

inline sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

inline int PortOf(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

// Returns a socket bound to a free port of loopback.
inline int BoundSocket(int type, int port = 0) {
  const int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
  const int on = 1;
  if (type == SOCK_STREAM) ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = Loopback(port);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}

// Returns a port that is free for TCP and UDP, and below the range from which the system takes ports itself.
inline int FreePort() {
  static std::atomic<int> next{12000 + static_cast<int>(::getpid() * 37 % 15000)};
  for (int tries = 0; tries < 2000; ++tries) {
    const int port = next++;
    const int tcp = BoundSocket(SOCK_STREAM, port), udp = BoundSocket(SOCK_DGRAM, port);
    if (tcp >= 0) ::close(tcp);
    if (udp >= 0) ::close(udp);
    if (tcp >= 0 && udp >= 0) return port;
  }
  std::exit(kCouldNotRun);
}

inline std::string At(int port) { return "127.0.0.1:" + std::to_string(port); }

inline bool WaitReadable(int fd, double seconds) {
  pollfd entry{fd, POLLIN, 0};
  return ::poll(&entry, 1, static_cast<int>(std::max(0.0, seconds) * 1000) + 1) > 0;
}

inline bool SendAll(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

// Closes the connection with a reset.
inline void Reset(int fd) {
  const linger now{1, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
}

// ---- HTTP ---------------------------------------------------------------------------------------------

struct Message {
  std::string first_line;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  std::string Get(const std::string& name) const {
    for (const auto& [key, value] : headers)
      if (::strcasecmp(key.c_str(), name.c_str()) == 0) return value;
    return "";
  }
  int Status() const { return first_line.size() > 12 ? std::atoi(first_line.c_str() + 9) : 0; }
  std::string Target() const {
    const auto from = first_line.find(' ') + 1;
    return first_line.substr(from, first_line.find(' ', from) - from);
  }
};

// A connection on which messages are read one after another.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {
    const int on = 1;
    ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  static std::unique_ptr<Connection> To(int port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Loopback(port);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
      ::close(fd);
      return nullptr;
    }
    return std::make_unique<Connection>(fd);
  }

  int fd() const { return fd_; }
  bool Send(const std::string& bytes) { return SendAll(fd_, bytes); }
  void Close() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  }

  // Reads the next message; nothing if the connection ends, or the time is over, before it is whole.
  std::optional<Message> Read(double seconds) {
    const double until = Now() + seconds;
    std::size_t head_end;
    while ((head_end = buffer_.find("\r\n\r\n")) == std::string::npos)
      if (!Fill(until)) return std::nullopt;
    Message message;
    std::istringstream head(buffer_.substr(0, head_end));
    std::string line;
    while (std::getline(head, line)) {
      if (!line.empty() && line.back() == '\r') line.pop_back();
      const auto colon = line.find(':');
      if (message.first_line.empty()) {
        message.first_line = line;
      } else if (colon != std::string::npos) {
        const auto value = line.find_first_not_of(' ', colon + 1);
        message.headers.emplace_back(line.substr(0, colon),
                                     value == std::string::npos ? "" : line.substr(value));
      }
    }
    buffer_.erase(0, head_end + 4);
    if (message.Get("Transfer-Encoding") == "chunked") {
      for (;;) {
        std::size_t end;
        while ((end = buffer_.find("\r\n")) == std::string::npos)
          if (!Fill(until)) return std::nullopt;
        const std::size_t size = std::strtoul(buffer_.c_str(), nullptr, 16);
        while (buffer_.size() < end + 2 + size + 2)
          if (!Fill(until)) return std::nullopt;
        message.body += buffer_.substr(end + 2, size);
        buffer_.erase(0, end + 2 + size + 2);
        if (size == 0) return message;
      }
    }
    const std::size_t size = std::strtoul(message.Get("Content-Length").c_str(), nullptr, 10);
    while (buffer_.size() < size)
      if (!Fill(until)) return std::nullopt;
    message.body = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return message;
  }

  // Reads one line; empty if none comes in time.
  std::string ReadLine(double seconds) {
    const double until = Now() + seconds;
    while (buffer_.find('\n') == std::string::npos)
      if (!Fill(until)) break;
    return buffer_.substr(0, buffer_.find('\n'));
  }

  // Whether the peer has ended the connection, as of the last read that failed.
  bool ended() const { return ended_; }

 private:
  bool Fill(double until) {
    if (fd_ < 0 || !WaitReadable(fd_, until - Now())) return false;
    char bytes[16384];
    const ssize_t n = ::recv(fd_, bytes, sizeof bytes, 0);
    if (n <= 0) {
      ended_ = true;
      return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(n));
    return true;
  }

  int fd_;
  bool ended_ = false;
  std::string buffer_;
};

inline std::string Answer(const std::string& body, const std::string& status = "200 OK",
                          const std::string& headers = "") {
  return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + headers +
         "\r\n" + body;
}

// Listens on a port of loopback, and has each connection served by a thread of its own. It is not destroyed
// before the process ends, so threads need not be joined.
class Listener {
 public:
  using Serve = std::function<void(Connection&)>;

  Listener(Serve serve, int port = 0, int backlog = 128) : serve_(std::move(serve)) {
    fd_ = BoundSocket(SOCK_STREAM, port);
    if (fd_ < 0 || ::listen(fd_, backlog) != 0) std::exit(kCouldNotRun);
    port_ = PortOf(fd_);
  }
  int port() const { return port_; }
  int fd() const { return fd_; }

  void Begin() {
    std::thread([this] {
      for (;;) {
        const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) return;
        std::thread([this, fd] {
          Connection connection(fd);
          serve_(connection);
        }).detach();
      }
    }).detach();
  }

 private:
  const Serve serve_;
  int fd_ = -1, port_ = 0;
};

// ---- discovery ----------------------------------------------------------------------------------------

struct Entry {
  std::string id;
  int port = 0;
  std::string phase = "in_service";
};

// Tells one list, whole, to whoever asks or watches, and an empty line every 2 s.
class Discovery {
 public:
  explicit Discovery(std::vector<Entry> members)
      : members_(std::move(members)), listener_([this](Connection& c) { Serve(c); }) {
    listener_.Begin();
  }
  int port() const { return listener_.port(); }

 private:
  std::string List() const {
    std::string list = R"({"revision":1,"complete":true,"members":[)";
    for (const Entry& m : members_) {
      if (list.back() == '}') list += ',';
      list += R"({"id":")" + m.id + R"(","host_port":")" + At(m.port) +
              R"(","locality":"a","flavor":"m","cell":0,"phase":")" + m.phase +
              R"(","size":1.0,"up_since_ms":0})";
    }
    return list + "]}\n";
  }
  static std::string Chunk(const std::string& text) {
    char size[24];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
  }
  void Serve(Connection& connection) {
    while (const auto request = connection.Read(3600)) {
      if (request->Target().find("stream=1") == std::string::npos) {
        if (!connection.Send(Answer(List()))) return;
        continue;
      }
      std::string piece = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Chunk(List());
      while (connection.Send(piece)) {
        SleepFor(2);
        piece = Chunk("\n");
      }
      return;
    }
  }

  const std::vector<Entry> members_;
  Listener listener_;
};

// ---- processes ----------------------------------------------------------------------------------------

// The repository's root: two folders above the case's.
inline std::string RunCommand() {
  std::ifstream file("deploy/balancer.toml");
  for (std::string line; std::getline(file, line);) {
    if (line.rfind("run = \"", 0) == 0) return line.substr(7, line.rfind('"') - 7);
  }
  std::exit(kCouldNotRun);
}

// The temporary folder of a case, removed at its end, and all processes that it started.
class Workplace {
 public:
  Workplace() {
    const char* const base = std::getenv("TMPDIR");
    std::string path = std::string(base ? base : "/tmp") + "/review-XXXXXX";
    if (!::mkdtemp(path.data())) std::exit(kCouldNotRun);
    folder_ = path;
  }
  ~Workplace() { End(); }
  Workplace(const Workplace&) = delete;
  Workplace& operator=(const Workplace&) = delete;

  const std::string& folder() const { return folder_; }

  // Starts a proxy by the deploy file's command. Its configuration, log and $TMPDIR are in a folder of its
  // name, which is kept from one start to the next.
  pid_t Start(const std::string& name, const std::string& config) {
    const std::string own = folder_ + "/" + name;
    (void)!::system(("mkdir -p " + own + "/tmp").c_str());
    std::ofstream(own + "/config.json") << config;
    const std::string command = RunCommand(), log = own + "/log", file = own + "/config.json",
                      tmp = own + "/tmp";
    const pid_t parent = ::getpid();
    const pid_t pid = ::fork();
    if (pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (::getppid() != parent) ::_exit(1);
      const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      ::dup2(fd, 1);
      ::dup2(fd, 2);
      ::setenv("ROUTER_CONFIG", file.c_str(), 1);
      ::setenv("TMPDIR", tmp.c_str(), 1);
      ::execl("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr));
      ::_exit(127);
    }
    running_.insert(pid);
    return pid;
  }

  // Waits for the process to end; returns its status, or -1 if it has not ended in time.
  int Reap(pid_t pid, double seconds) {
    const double until = Now() + seconds;
    int status = 0;
    while (::waitpid(pid, &status, WNOHANG) != pid) {
      if (Now() > until) return -1;
      SleepFor(0.01);
    }
    running_.erase(pid);
    return status;
  }

  // Whether all processes that were started and not reaped still run.
  bool AllRun() const {
    return std::all_of(running_.begin(), running_.end(), [](pid_t pid) {
      siginfo_t info{};
      ::waitid(P_PID, static_cast<id_t>(pid), &info, WEXITED | WNOHANG | WNOWAIT);
      return info.si_pid == 0;
    });
  }

  void End() {
    for (const pid_t pid : running_) ::kill(pid, SIGKILL);
    for (const pid_t pid : running_) ::waitpid(pid, nullptr, 0);
    running_.clear();
    if (!folder_.empty()) (void)!::system(("rm -rf " + folder_).c_str());
    folder_.clear();
  }

 private:
  std::string folder_;
  std::set<pid_t> running_;
};

// Waits until the proxy says that it is ready.
inline bool WaitReady(int port, double seconds = 10) {
  const double until = Now() + seconds;
  while (Now() < until) {
    if (const auto connection = Connection::To(port)) {
      connection->Send("GET /ready HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n");
      const auto answer = connection->Read(1);
      if (answer && answer->Status() == 200) return true;
    }
    SleepFor(0.05);
  }
  return false;
}

// One call of an operator; returns the answer's line.
inline std::string Call(int port, const std::string& line) {
  const auto connection = Connection::To(port);
  if (!connection || !connection->Send(line + "\n")) return "";
  return connection->ReadLine(3);
}

// ---- datagrams ----------------------------------------------------------------------------------------

// Passes datagrams on between the members of a fleet, each of which others reach at its route alone.
class DatagramRelay {
 public:
  // Adds a member that is bound to `port`; returns its route's port.
  int Add(int port) {
    const int fd = BoundSocket(SOCK_DGRAM, FreePort());
    if (fd < 0) std::exit(kCouldNotRun);
    routes_.push_back({fd, port});
    return PortOf(fd);
  }
  void Begin() {
    std::thread([this] {
      std::vector<pollfd> entries;
      for (const Route& route : routes_) entries.push_back({route.fd, POLLIN, 0});
      char bytes[65536];
      while (::poll(entries.data(), entries.size(), -1) > 0) {
        for (std::size_t i = 0; i < entries.size(); ++i) {
          if (entries[i].revents == 0) continue;
          sockaddr_in from{};
          socklen_t size = sizeof from;
          const ssize_t n =
              ::recvfrom(routes_[i].fd, bytes, sizeof bytes, 0, reinterpret_cast<sockaddr*>(&from), &size);
          const int cut = cut_off_;
          if (n < 0 || cut == routes_[i].target || cut == ntohs(from.sin_port)) continue;
          const sockaddr_in to = Loopback(routes_[i].target);
          ::sendto(routes_[i].fd, bytes, static_cast<std::size_t>(n), 0,
                   reinterpret_cast<const sockaddr*>(&to), sizeof to);
        }
      }
    }).detach();
  }
  // From now on nothing goes to or comes from the member that is bound to `port`; 0: nobody is cut off.
  void CutOff(int port) { cut_off_ = port; }

 private:
  struct Route {
    int fd, target;
  };
  std::vector<Route> routes_;
  std::atomic<int> cut_off_{0};
};

}  // namespace review

#endif  // LOAD_BALANCER_REVIEW_COMMON_2_HARNESS_H_
