// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The UDP socket of a member: sends and receives messages within a bandwidth limit and counts what it drops.
#ifndef LOAD_BALANCER_FLEET_NODE_TRANSPORT_H_
#define LOAD_BALANCER_FLEET_NODE_TRANSPORT_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>

#include "base/time.h"
#include "fleet/node/send_budget.h"
#include "fleet/node/traffic_counters.h"
#include "fleet/wire/codec.h"

namespace load_balancer::fleet {

struct TransportOptions {
  std::string component;  ///< the name in log lines
  std::string fleet;      ///< messages of other fleets are dropped
  Udp::endpoint bind;
  std::chrono::milliseconds retry_interval{1000};  ///< while another process has the address
  double max_bytes_per_second = 65536;             ///< sent, in bursts of up to one second's worth
};

class Transport {
 public:
  /// Called from the event loop, OnOpen also from within Open.
  class Host {
   public:
    virtual ~Host() = default;
    /// The socket is bound; messages are received from now on.
    virtual void OnOpen() = 0;
    virtual void OnMessage(const Message& message) = 0;
  };

  /// `host` outlives this.
  Transport(boost::asio::io_context& io, TransportOptions options, Host& host);

  /// Binds the address, as soon as no other process has it.
  void Open();
  void Close();
  bool is_open() const { return socket_.is_open(); }

  /// Sends the message, which may be lost as any datagram, unless the bandwidth limit is reached.
  void Send(const Udp::endpoint& to, const Message& message);
  /// The same for a message that can wait: it leaves a part of the bandwidth to the others. False, and
  /// nothing is sent or counted, if no more is left.
  [[nodiscard]] bool TrySend(const Udp::endpoint& to, const Message& message);
  /// Counts a received message that was dropped.
  void CountDrop(DropReason reason);
  const TrafficCounters& counters() const { return counters_; }

 private:
  boost::system::error_code Bind();
  void RetryOpen(const boost::system::error_code& failure);
  void Receive();
  void OnDatagram(std::size_t size);
  void Deliver(const Udp::endpoint& to, const Message& message, std::span<const std::uint8_t> datagram);
  void LogDrops();
  void LogThrottled();

  const TransportOptions options_;
  Host& host_;
  Udp::socket socket_;
  boost::asio::steady_timer retry_timer_;
  std::array<std::uint8_t, kMaxDatagramBytes + 1> receive_buffer_{};
  Udp::endpoint sender_;
  TrafficCounters counters_;
  SendBudget budget_;
  Time next_drop_log_{};
  Time next_throttle_log_{};
  bool is_closed_ = false;
  bool has_logged_failure_ = false;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_NODE_TRANSPORT_H_
