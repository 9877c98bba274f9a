// SPDX-License-Identifier: Apache-2.0
//
// What the cases of this folder share: small stand-ins for discovery, servers and clients, the project's
// programs as processes, and the record of a run. All addresses are loopback addresses.
#ifndef LOAD_BALANCER_REVIEW_COMMON_STAGE_H_
#define LOAD_BALANCER_REVIEW_COMMON_STAGE_H_

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
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace stage {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

inline constexpr int kHeld = 0, kBroken = 1, kNoRun = 2;  // exit codes of a case

inline void Pause(int ms) { std::this_thread::sleep_for(Ms(ms)); }

inline std::string FromEnv(const char* name, const std::string& absent) {
  const char* const value = std::getenv(name);
  return value ? value : absent;
}
// Whether the case is played with its disruption. Set from the command line before anything is started.
inline bool& Trouble() {
  static bool trouble = true;
  return trouble;
}

// The lines of record.txt: milliseconds since the start, and what happened.
class Record {
 public:
  Record() : out_(FromEnv("RECORD", "record.txt")), start_(Clock::now()) {}
  void Line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    const auto ms = std::chrono::duration_cast<Ms>(Clock::now() - start_).count();
    char time[32];
    std::snprintf(time, sizeof time, "%8lld ", static_cast<long long>(ms));
    out_ << time << text << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
  const Clock::time_point start_;
};
inline Record& TheRecord() {
  static Record record;
  return record;
}
inline void Note(const std::string& text) { TheRecord().Line(text); }

// ---- sockets ------------------------------------------------------------------------------------------
inline sockaddr_in Loopback(int port, const std::string& host = "127.0.0.1") {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
  return address;
}

inline int PortOf(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

// A socket that listens on a free port, or for datagrams one that is bound to it.
inline int Bound(int type, int port = 0) {
  const int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
  const int on = 1;
  if (type == SOCK_STREAM) ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = Loopback(port);
  if (fd < 0 || ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
    throw std::runtime_error("no address can be had");
  if (type == SOCK_STREAM && ::listen(fd, 512) != 0) throw std::runtime_error("cannot listen");
  return fd;
}

// Ports that are free now, by TCP and UDP, each another.
inline std::vector<int> FreePorts(std::size_t count) {
  std::vector<int> held, ports;
  while (ports.size() < count) {
    const int tcp = Bound(SOCK_STREAM);
    held.push_back(tcp);
    try {
      held.push_back(Bound(SOCK_DGRAM, PortOf(tcp)));
    } catch (const std::runtime_error&) {
      continue;
    }
    ports.push_back(PortOf(tcp));
  }
  for (const int fd : held) ::close(fd);
  return ports;
}

inline int Connect(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    ::close(fd);
    return -1;
  }
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
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

// ---- HTTP/1.1 -----------------------------------------------------------------------------------------
struct Message {
  std::string first_line;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;

  std::string Header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
  int Status() const { return first_line.size() > 11 ? std::atoi(first_line.c_str() + 9) : 0; }
  std::string Target() const {
    const auto from = first_line.find(' ') + 1;
    return first_line.substr(from, first_line.find(' ', from) - from);
  }
};

// Reads messages from a connection, framed as RFC 9112 has it.
class MessageReader {
 public:
  explicit MessageReader(int fd) : fd_(fd) {}

  // False if the connection ended, or nothing whole came in time. `closed` then tells which.
  bool Read(Message* message, bool is_response, int most_ms, bool* closed = nullptr) {
    until_ = Clock::now() + Ms(most_ms);
    closed_ = false;
    const bool whole = ReadHead(message) && ReadBody(message, is_response);
    if (closed) *closed = closed_;
    return whole;
  }
  const std::string& rest() const { return buffer_; }

 private:
  bool More() {
    const auto left = std::chrono::duration_cast<Ms>(until_ - Clock::now()).count();
    pollfd wait{fd_, POLLIN, 0};
    if (left <= 0 || ::poll(&wait, 1, static_cast<int>(left)) <= 0) return false;
    char bytes[16384];
    const ssize_t n = ::recv(fd_, bytes, sizeof bytes, 0);
    if (n <= 0) {
      closed_ = true;
      return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(n));
    return true;
  }

  bool ReadHead(Message* message) {
    std::size_t end;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos)
      if (!More()) return false;
    std::istringstream lines(buffer_.substr(0, end + 2));
    buffer_.erase(0, end + 4);
    *message = {};
    std::string line;
    std::getline(lines, line);
    message->first_line = line.substr(0, line.find('\r'));
    while (std::getline(lines, line)) {
      line = line.substr(0, line.find('\r'));
      const auto colon = line.find(':');
      if (colon == std::string::npos) continue;
      std::string name = line.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
      const auto value = line.find_first_not_of(' ', colon + 1);
      message->headers[name] = value == std::string::npos ? "" : line.substr(value);
    }
    return true;
  }

  bool TakeBytes(std::size_t count, std::string* to) {
    while (buffer_.size() < count)
      if (!More()) return false;
    to->append(buffer_, 0, count);
    buffer_.erase(0, count);
    return true;
  }

  bool ReadChunks(Message* message) {
    for (;;) {
      std::size_t end;
      while ((end = buffer_.find("\r\n")) == std::string::npos)
        if (!More()) return false;
      const std::size_t size = std::strtoul(buffer_.c_str(), nullptr, 16);
      buffer_.erase(0, end + 2);
      std::string chunk;
      if (!TakeBytes(size + 2, &chunk)) return false;
      if (size == 0) return true;
      message->body.append(chunk, 0, size);
    }
  }

  bool ReadBody(Message* message, bool is_response) {
    if (message->Header("transfer-encoding") == "chunked") return ReadChunks(message);
    if (message->headers.contains("content-length"))
      return TakeBytes(std::strtoul(message->Header("content-length").c_str(), nullptr, 10), &message->body);
    if (!is_response) return true;  // a request without either has no body
    while (More()) {
    }
    message->body = std::exchange(buffer_, {});
    return closed_;
  }

  const int fd_;
  std::string buffer_;
  Clock::time_point until_;
  bool closed_ = false;
};

inline std::string Response(int status, const std::string& body, const std::string& headers = "") {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// ---- servers ------------------------------------------------------------------------------------------
// One thread for each connection. The handler writes the answer, and returns whether the connection goes on.
class Server {
 public:
  using Handler = std::function<bool(const Message&, int fd)>;

  explicit Server(Handler handler)
      : handler_(std::make_shared<Handler>(std::move(handler))), fd_(Bound(SOCK_STREAM)), port_(PortOf(fd_)) {
    std::thread([fd = fd_, handler = handler_] { AcceptAll(fd, handler); }).detach();
  }
  int port() const { return port_; }

 private:
  static void AcceptAll(int listener, const std::shared_ptr<Handler>& handler) {
    for (int fd; (fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC)) >= 0;) {
      const int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([fd, handler] {
        MessageReader reader(fd);
        Message request;
        while (reader.Read(&request, false, 120000) && (*handler)(request, fd)) {
        }
        ::close(fd);
      }).detach();
    }
  }

  const std::shared_ptr<Handler> handler_;
  const int fd_, port_;
};

struct Entry {
  std::string id;
  int port = 0;
  std::string phase = "in_service";
};

inline std::string ListOf(int revision, bool complete, const std::vector<Entry>& entries) {
  std::string text = "{\"revision\":" + std::to_string(revision) +
                     ",\"complete\":" + (complete ? "true" : "false") + ",\"members\":[";
  for (const Entry& e : entries)
    text += (&e == &entries.front() ? "" : ",") + std::string("{\"id\":\"") + e.id +
            "\",\"host_port\":\"127.0.0.1:" + std::to_string(e.port) +
            "\",\"locality\":\"muc-nord\",\"flavor\":\"gen2\",\"cell\":1,\"phase\":\"" + e.phase +
            "\",\"size\":1.0,\"up_since_ms\":0}";
  return text + "]}";
}

// Discovery of a list that does not change: whole lists, and watches with an empty line every 2 s.
class Discovery {
 public:
  explicit Discovery(std::vector<Entry> entries)
      : server_([list = ListOf(1, true, entries)](const Message& request, int fd) {
          if (request.Target().find("stream=1") == std::string::npos) return SendAll(fd, Response(200, list));
          const auto chunk = [](const std::string& bytes) {
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
            return size + bytes + "\r\n";
          };
          bool open =
              SendAll(fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(list + "\n"));
          while (open) {
            Pause(2000);
            open = SendAll(fd, chunk("\n"));
          }
          return false;
        }) {}
  int port() const { return server_.port(); }

 private:
  Server server_;
};

// ---- the project's programs -------------------------------------------------------------------------------
// A process that is started as the deploy file says, from the repository's root. It ends with the case.
class Program {
 public:
  Program(const std::string& name, const std::string& config, const std::string& folder)
      : name_(name), log_(folder + "/" + name + ".log") {
    const std::string command = FromEnv("RUN", "exec build/load_balancer_proxy");
    const std::string own = folder + "/" + name + ".tmp";
    config_ = folder + "/" + name + ".json";
    Configure(config);
    pid_ = ::fork();
    if (pid_ != 0) return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    std::system(("mkdir -p " + own).c_str());
    const int log = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(log, 1);
    ::dup2(log, 2);
    ::setenv("ROUTER_CONFIG", config_.c_str(), 1);
    ::setenv("TMPDIR", own.c_str(), 1);
    ::execl("/bin/sh", "sh", "-c", command.c_str(), nullptr);
    ::_exit(127);
  }
  Program(const Program&) = delete;
  ~Program() {
    Signal(SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    std::ifstream log(log_);
    for (std::string line; std::getline(log, line);) Note("log of " + name_ + ": " + line);
  }

  void Configure(const std::string& text) const {
    std::ofstream(config_ + ".new") << text;
    std::rename((config_ + ".new").c_str(), config_.c_str());
  }
  void Signal(int signal) const { ::kill(pid_, signal); }
  bool Runs() const { return ::waitpid(pid_, nullptr, WNOHANG) == 0; }
  bool Logged(const std::string& text) const {
    std::ifstream log(log_);
    for (std::string line; std::getline(log, line);)
      if (line.find(text) != std::string::npos) return true;
    return false;
  }

 private:
  const std::string name_, log_;
  std::string config_;
  pid_t pid_ = -1;
};

// Waits until `holds`, for at most `most_ms`.
inline bool Wait(int most_ms, const std::function<bool()>& holds) {
  for (const auto until = Clock::now() + Ms(most_ms); Clock::now() < until; Pause(10))
    if (holds()) return true;
  return holds();
}

// ---- clients ------------------------------------------------------------------------------------------
class Client {
 public:
  explicit Client(int port) : fd_(Connect(port)), reader_(fd_) {}
  Client(const Client&) = delete;
  ~Client() {
    if (fd_ >= 0) ::close(fd_);
  }
  bool Send(const std::string& bytes) const { return fd_ >= 0 && SendAll(fd_, bytes); }
  bool Read(Message* answer, int most_ms, bool* closed = nullptr) {
    return fd_ >= 0 && reader_.Read(answer, true, most_ms, closed);
  }

 private:
  const int fd_;
  MessageReader reader_;
};

inline std::string Request(const std::string& kind, const std::string& id, int deadline_ms,
                           const std::string& body, bool unsafe, const std::string& headers = "") {
  return (unsafe ? "POST /" : "GET /") + kind + " HTTP/1.1\r\nHost: service.internal\r\nReq-Id: " + id +
         "\r\nReq-Kind: " + kind + "\r\nReq-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n" + headers +
         (unsafe ? "Content-Length: " + std::to_string(body.size()) + "\r\n" : "") + "\r\n" + body;
}

inline bool Ready(int port) {
  Client client(port);
  Message answer;
  return client.Send("GET /ready HTTP/1.1\r\nHost: service.internal\r\n\r\n") && client.Read(&answer, 1000) &&
         answer.Status() == 200;
}

}  // namespace stage

#endif  // LOAD_BALANCER_REVIEW_COMMON_STAGE_H_
