// SPDX-License-Identifier: Apache-2.0
//
// The process harness of the fleet tests. The harness runs real processes of the proxy and of the fault
// relay, each with its own ports and $TMPDIR, reads their log lines and waits for lines with a time limit,
// and sends signals by process id. At the end of a test it kills and reaps every process and removes every
// folder, also if the test fails.
#ifndef LOAD_BALANCER_TESTS_FLEET_HARNESS_H_
#define LOAD_BALANCER_TESTS_FLEET_HARNESS_H_

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <condition_variable>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "leased_port.h"

extern char** environ;

namespace load_balancer::testing::fleet {

using Tcp = boost::asio::ip::tcp;
using std::chrono::milliseconds;

// The default limit of each wait in a fleet test.
inline constexpr milliseconds kMaxWait{20000};

// A child process, started with posix_spawn, and the lines that it writes to standard output and standard
// error. Its environment is that of this process; variables in `env` replace variables of the same name.
class Process {
 public:
  Process(const std::string& path, const std::vector<std::string>& args,
          const std::map<std::string, std::string>& env) {
    int pipe_ends[2];
    if (::pipe2(pipe_ends, O_CLOEXEC) != 0) throw std::runtime_error("cannot create a pipe");
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, pipe_ends[1], STDOUT_FILENO);
    posix_spawn_file_actions_adddup2(&actions, pipe_ends[1], STDERR_FILENO);
    std::vector<std::string> arguments{path}, variables;
    arguments.insert(arguments.end(), args.begin(), args.end());
    for (const auto& [name, value] : env) variables.push_back(name + "=" + value);
    for (char** entry = environ; *entry; ++entry) {
      const std::string variable(*entry);
      if (!env.contains(variable.substr(0, variable.find('=')))) variables.push_back(variable);
    }
    const auto argv = Pointers(arguments), envp = Pointers(variables);
    const int failed = posix_spawn(&pid_, path.c_str(), &actions, nullptr, argv.data(), envp.data());
    posix_spawn_file_actions_destroy(&actions);
    ::close(pipe_ends[1]);
    if (failed != 0) {
      ::close(pipe_ends[0]);
      throw std::runtime_error("cannot start " + path);
    }
    reader_ = std::thread([this, from = pipe_ends[0]] { Read(from); });
  }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  ~Process() {
    Kill();
    reader_.join();
  }

  pid_t pid() const { return pid_; }
  void Signal(int signal) const {
    if (running()) ::kill(pid_, signal);
  }
  bool running() const { return !status_; }

  // Sends SIGKILL and reaps the process, so that its id is free afterwards.
  void Kill() {
    if (!running()) return;
    ::kill(pid_, SIGKILL);
    Reap();
  }
  // Waits for the process to end. Returns its exit status, or 1000 plus the number of the signal that ended
  // it.
  int Reap() {
    if (!status_) {
      int status = 0;
      ::waitpid(pid_, &status, 0);
      status_ = WIFEXITED(status) ? WEXITSTATUS(status) : 1000 + WTERMSIG(status);
    }
    return *status_;
  }

  // Waits until a line at index `from` or later contains `text`. Returns the index and text of the first such
  // line, or nothing after `max_wait` or when the output has ended.
  std::optional<std::pair<std::size_t, std::string>> WaitFor(const std::string& text, std::size_t from = 0,
                                                             milliseconds max_wait = kMaxWait) {
    std::unique_lock lock(mutex_);
    std::optional<std::pair<std::size_t, std::string>> found;
    changed_.wait_for(lock, max_wait, [&] {
      for (; from < lines_.size(); ++from)
        if (lines_[from].find(text) != std::string::npos) return found.emplace(from, lines_[from]), true;
      return ended_;
    });
    return found;
  }
  // Returns the lines read so far.
  std::vector<std::string> Lines() {
    const std::lock_guard lock(mutex_);
    return lines_;
  }
  // Waits until the process has closed its output, or for kMaxWait, and returns all lines.
  std::vector<std::string> LinesAtEnd() {
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, kMaxWait, [&] { return ended_; });
    return lines_;
  }
  // Returns the number of lines read so far; pass it as `from` to wait for later lines only.
  std::size_t LineCount() { return Lines().size(); }
  // Returns the time at which line `index` was read.
  std::chrono::steady_clock::time_point LineReadAt(std::size_t index) {
    const std::lock_guard lock(mutex_);
    return read_at_.at(index);
  }

 private:
  static std::vector<char*> Pointers(std::vector<std::string>& strings) {
    std::vector<char*> pointers;
    for (std::string& text : strings) pointers.push_back(text.data());
    pointers.push_back(nullptr);
    return pointers;
  }

  void Read(int from) {
    std::string partial_line;
    char buffer[4096];
    for (ssize_t n; (n = ::read(from, buffer, sizeof buffer)) > 0;) {
      partial_line.append(buffer, static_cast<std::size_t>(n));
      const std::lock_guard lock(mutex_);
      for (std::size_t end; (end = partial_line.find('\n')) != std::string::npos;
           partial_line.erase(0, end + 1)) {
        lines_.push_back(partial_line.substr(0, end));
        read_at_.push_back(std::chrono::steady_clock::now());
      }
      changed_.notify_all();
    }
    ::close(from);
    const std::lock_guard lock(mutex_);
    ended_ = true;
    changed_.notify_all();
  }

  pid_t pid_ = -1;
  std::optional<int> status_;
  std::thread reader_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::string> lines_;
  std::vector<std::chrono::steady_clock::time_point> read_at_;
  bool ended_ = false;
};

// Creates a temporary folder, and removes it with its contents on destruction.
class Folder {
 public:
  Folder() {
    std::string pattern = (std::filesystem::temp_directory_path() / "fleet-XXXXXX").string();
    if (!::mkdtemp(pattern.data())) throw std::runtime_error("cannot create a temporary folder");
    path = pattern;
  }
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;
  ~Folder() {
    std::error_code ignored;
    std::filesystem::remove_all(path, ignored);
  }
  std::filesystem::path path;
};

// Sends one line to a server of a line protocol (the operators' listener or the relay's control address) and
// returns its answer.
inline std::string Call(const Tcp::endpoint& address, const std::string& line) {
  boost::asio::io_context io;
  Tcp::socket socket(io);
  socket.connect(address);
  boost::asio::write(socket, boost::asio::buffer(line + "\n"));
  boost::asio::streambuf answer;
  boost::asio::read_until(socket, answer, '\n');
  std::string text;
  std::getline(std::istream(&answer), text);
  return text;
}

// Returns the HOST:PORT that follows `prefix` in `line`. Throws std::runtime_error if there is none.
inline Tcp::endpoint EndpointAfter(const std::string& line, const std::string& prefix) {
  const auto begin = line.find(prefix);
  if (begin == std::string::npos)
    throw std::runtime_error("\"" + prefix + "\" is missing in the line: " + line);
  const std::string rest = line.substr(begin + prefix.size());
  const auto colon = rest.find(':');
  if (colon == std::string::npos) throw std::runtime_error("the port is missing in the line: " + line);
  return {boost::asio::ip::make_address(rest.substr(0, colon)),
          static_cast<unsigned short>(std::stoi(rest.substr(colon + 1)))};
}

// One process of the proxy with its folder, which contains the configuration file, and its addresses.
struct Member {
  std::string name;
  LeasedPort listen;  // reserved: the proxy logs this port at its start but binds it only when discovery has
                      // listed servers
  std::unique_ptr<Folder> folder;
  std::unique_ptr<Process> process;
  Tcp::endpoint clients, operators;
};

// Starts proxies from the program at `path` and owns them. Each proxy has free ports, which it logs at its
// start.
class Fleet {
 public:
  explicit Fleet(std::string path) : path_(std::move(path)) {}

  // Starts one more proxy and waits until it logs that it has started. `config` is the configuration as JSON;
  // this function sets its keys name, listen and ops. Returns the proxy's index. Throws std::runtime_error if
  // it does not start.
  std::size_t Start(nlohmann::json config) {
    Member member;
    member.name = std::to_string(members_.size() + 1);
    member.name.insert(0, 1, 'n');
    member.folder = std::make_unique<Folder>();
    config["name"] = member.name;
    config["ops"] = "127.0.0.1:0";
    config["listen"] = "127.0.0.1:" + std::to_string(member.listen.port());
    std::ofstream(member.folder->path / "config.json") << config.dump();
    if (!Launch(member)) throw std::runtime_error(member.name + " did not start");
    members_.push_back(std::move(member));
    return members_.size() - 1;
  }

  // Kills the process if it is running, and starts it again with the same configuration and folder.
  void Restart(std::size_t index) {
    members_.at(index).process->Kill();
    if (!Launch(members_.at(index))) throw std::runtime_error(members_.at(index).name + " did not start");
  }

  Member& operator[](std::size_t index) { return members_.at(index); }
  std::size_t size() const { return members_.size(); }

  // Kills and reaps all processes and removes their folders.
  void Clear() { members_.clear(); }

  // The beginning of the line that a proxy logs when it has started. The line contains the addresses for
  // clients and operators.
  static constexpr const char* kListening = "process: started: clients at ";

 private:
  bool Launch(Member& member) {
    const std::string file = member.folder->path / "config.json";
    member.process =
        std::make_unique<Process>(path_, std::vector<std::string>{"--config", file},
                                  std::map<std::string, std::string>{{"TMPDIR", member.folder->path}});
    const auto listening = member.process->WaitFor(kListening);
    if (!listening) return false;
    member.clients = EndpointAfter(listening->second, "clients at ");
    member.operators = EndpointAfter(listening->second, "operators at ");
    return true;
  }

  std::string path_;
  std::vector<Member> members_;
};

// Runs a fault relay with the given routes of the form NAME=udp|tcp:LISTEN=TARGET.
class Relay {
 public:
  Relay(const std::string& path, const std::vector<std::string>& routes) : process_(path, Args(routes), {}) {
    const auto line = process_.WaitFor("relay control ");
    if (!line) throw std::runtime_error("the relay did not start");
    control_ = EndpointAfter(line->second, "relay control ");
  }
  // Sends a command to the control address and returns the answer.
  std::string SendCommand(const std::string& line) const { return Call(control_, line); }
  // Returns the port at which a route listens.
  unsigned short Port(const std::string& route) {
    const auto line = process_.WaitFor("relay route " + route + " ");
    if (!line) throw std::runtime_error("the relay has no route " + route);
    return EndpointAfter(line->second, "relay route " + route + " ").port();
  }

 private:
  static std::vector<std::string> Args(const std::vector<std::string>& routes) {
    std::vector<std::string> args{"--seed", "7"};
    for (const std::string& route : routes) args.insert(args.end(), {"--route", route});
    return args;
  }

  Process process_;
  Tcp::endpoint control_;
};

}  // namespace load_balancer::testing::fleet

#endif  // LOAD_BALANCER_TESTS_FLEET_HARNESS_H_
