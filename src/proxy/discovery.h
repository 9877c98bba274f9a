// SPDX-License-Identifier: Apache-2.0
//
// Watches discovery for changes of the list of backends.
#ifndef LOAD_BALANCER_PROXY_DISCOVERY_H_
#define LOAD_BALANCER_PROXY_DISCOVERY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "members.h"

namespace load_balancer::proxy {

class Discovery {
 public:
  // A list that makes the owner call Pause counts as not taken.
  using OnList = std::function<void(const MemberList&)>;
  using OnFailure = std::function<void()>;
  enum class Reconnect { kByItself, kWhenAsked };

  struct Options {
    boost::asio::ip::tcp::endpoint address;
    std::uint64_t revision = 0;  // of the list that is known already
    Reconnect reconnect = Reconnect::kByItself;
    // How long a call may go on without a header, and then a watch without a whole object or a heartbeat: a
    // heartbeat is owed every 2 s, an answer within 2 s. What a silent watch or a call that is given up
    // misses counts as told 6 s later; of these a pause takes up to 0.25 s, and a new call that is answered
    // slowly 2 s.
    std::chrono::milliseconds silence{3250};
    std::uint64_t seed = 0;
    std::uint64_t token = 0;  // of the lease under which discovery is watched
    std::size_t max_list_bytes = 8 * 1024 * 1024;
    std::size_t max_list_entries = 100'000;
    // Returns whether so many bytes more may be held.
    std::function<bool(std::size_t)> has_room = [](std::size_t) { return true; };
  };

  Discovery(boost::asio::io_context& io, Options options, OnList on_list, OnFailure on_failure);
  ~Discovery();
  Discovery(const Discovery&) = delete;
  Discovery& operator=(const Discovery&) = delete;

  // Ends the watch, if there is one, and opens none by itself until Watch.
  void Pause();
  // Goes with each watch from now on, as Fencing-Token; 0: none.
  void SetToken(std::uint64_t token) { options_.token = token; }
  bool watching() const { return stream_ != nullptr; }

  // Begins a watch from the last revision applied, in place of one that is open.
  void Watch();

  // Discovery has moved: the watch goes on at the new address.
  void MoveTo(const boost::asio::ip::tcp::endpoint& address);

 private:
  class Stream;
  friend class Stream;

  bool HasRoomForList(std::size_t bytes) const;
  bool OnText(std::string_view text);
  void OnEnd(const std::string& why, std::chrono::milliseconds most_pause);
  std::chrono::milliseconds Jittered(std::chrono::milliseconds pause);

  boost::asio::io_context& io_;
  Options options_;
  OnList on_list_;
  OnFailure on_failure_;
  boost::asio::steady_timer again_;
  std::shared_ptr<Stream> stream_;
  const std::shared_ptr<const bool> alive_ = std::make_shared<const bool>(true);
  std::chrono::milliseconds backoff_{0};
  std::uint64_t jitter_;
  bool paused_ = false;
  bool told_ = false;  // that discovery is away
};

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_DISCOVERY_H_
