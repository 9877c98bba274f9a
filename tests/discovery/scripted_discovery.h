// SPDX-License-Identifier: Apache-2.0
//
// A discovery that serves each call as a test says, and what follows it.
#ifndef LOAD_BALANCER_TESTS_DISCOVERY_SCRIPTED_DISCOVERY_H_
#define LOAD_BALANCER_TESTS_DISCOVERY_SCRIPTED_DISCOVERY_H_

#include <sys/socket.h>

#include <boost/beast/core/flat_buffer.hpp>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "loopback.h"

namespace load_balancer::testing {

// Serves the nth call, from 0, as the test says; each connection then stays open and silent.
class ScriptedDiscovery {
 public:
  using Serve = std::function<void(std::size_t call, Tcp::socket&)>;
  explicit ScriptedDiscovery(Serve serve)
      : serve_(std::move(serve)), listener_([this](Tcp::socket& socket) { Call(socket); }) {}

  Tcp::endpoint address() const { return listener_.address; }
  std::vector<std::string> targets() { return targets_.Get(); }
  // Connections, also those that closed without a call.
  int accepted() { return accepted_.Get(); }
  bool WaitForCalls(std::size_t n) {
    return targets_.WaitFor([n](const auto& targets) { return targets.size() >= n; });
  }

 private:
  void Call(Tcp::socket& socket) {
    accepted_.Do([](int& n) { ++n; });
    error_code failed;
    socket.set_option(Tcp::no_delay(true), failed);
    boost::beast::flat_buffer buffer;
    HttpRequest request;
    http::read(socket, buffer, request, failed);
    if (failed) return;
    std::size_t call = 0;
    targets_.Do([&](auto& targets) {
      call = targets.size();
      targets.emplace_back(request.target());
    });
    serve_(call, socket);
    char byte;
    asio::read(socket, asio::buffer(&byte, 1), failed);  // until the caller gives it up
  }

  Serve serve_;
  Watched<std::vector<std::string>> targets_;
  Watched<int> accepted_;
  Listener listener_;
};

inline std::string ChunkOf(const std::string& text, const std::string& extension = "") {
  char size[24];
  std::snprintf(size, sizeof size, "%zx", text.size());
  return size + extension + "\r\n" + text + "\r\n";
}
inline void BeginWatch(Tcp::socket& socket) {
  SendRaw(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
}
inline void Say(Tcp::socket& socket, const std::string& text) { SendRaw(socket, ChunkOf(text)); }
inline std::string List(int revision) { return ListJson(revision, true, {}).dump() + "\n"; }
inline void Refuse(Tcp::socket& socket) { SendRaw(socket, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"); }
// Sends a reset; the descriptor stays, for what else holds it.
inline void Reset(Tcp::socket& socket) {
  sockaddr nobody{};
  nobody.sa_family = AF_UNSPEC;
  ::connect(socket.native_handle(), &nobody, sizeof nobody);
}

// Discovery followed by this program's code alone, on a thread of its own.
class Follower {
 public:
  Follower(const Tcp::endpoint& address, std::chrono::milliseconds silence)
      : Follower(OptionsOf(address, silence)) {}
  explicit Follower(const proxy::Discovery::Options& options) : io_(1) {
    discovery_ = std::make_unique<proxy::Discovery>(
        io_, options,
        [this](const proxy::MemberList& list) {
          revisions_.Do([&](auto& all) { all.push_back(list.revision); });
        },
        [] {});
    discovery_->Watch();
    thread_ = std::thread([this] { io_.run(); });
  }
  ~Follower() {
    io_.stop();
    thread_.join();
  }
  static proxy::Discovery::Options OptionsOf(const Tcp::endpoint& address) {
    proxy::Discovery::Options options;
    options.address = address;
    options.revision = 41;
    return options;
  }
  static proxy::Discovery::Options OptionsOf(const Tcp::endpoint& address,
                                             std::chrono::milliseconds silence) {
    proxy::Discovery::Options options = OptionsOf(address);
    options.silence = silence;
    return options;
  }

  // Carried out on its thread.
  void Do(std::function<void(proxy::Discovery&)> what) {
    std::promise<void> done;
    asio::post(io_, [&] {
      what(*discovery_);
      done.set_value();
    });
    done.get_future().wait();
  }
  // Of the last list that was applied.
  bool WaitForRevision(std::uint64_t revision) {
    return revisions_.WaitFor([revision](const auto& all) { return !all.empty() && all.back() == revision; });
  }
  // Of all lists that were applied.
  std::vector<std::uint64_t> revisions() { return revisions_.Get(); }

 private:
  asio::io_context io_;
  Watched<std::vector<std::uint64_t>> revisions_;
  std::unique_ptr<proxy::Discovery> discovery_;
  std::thread thread_;
};

}  // namespace load_balancer::testing

#endif  // LOAD_BALANCER_TESTS_DISCOVERY_SCRIPTED_DISCOVERY_H_
