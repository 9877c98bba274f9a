// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The UDP socket of a member. Sends messages within a bandwidth limit, receives messages, and counts dropped
/// datagrams.
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

/// Options of a Transport.
struct TransportOptions {
  std::string component;  ///< component name in log lines
  std::string fleet;      ///< name of the fleet; messages of other fleets are dropped
  Udp::endpoint bind;
  std::chrono::milliseconds retry_interval{1000};  ///< time between attempts to bind the address
  double max_bytes_per_second = 65536;             ///< maximum rate; a burst may have the bytes of one second
};

/// Sends and receives the messages of one member.
class Transport {
 public:
  /// Handles received messages. Its functions are called from the event loop; OnOpen may also be called from
  /// within Open.
  class Host {
   public:
    virtual ~Host() = default;
    /// Called when the socket is bound. Messages are received after this call.
    virtual void OnOpen() = 0;
    virtual void OnMessage(const Message& message) = 0;
  };

  /// `host` must outlive the transport.
  Transport(boost::asio::io_context& io, TransportOptions options, Host& host);

  /// Binds the address. Retries while another process uses it.
  void Open();
  void Close();
  bool is_open() const { return socket_.is_open(); }

  /// Sends the message unless the bandwidth limit is reached. The message may be lost like any datagram. The
  /// message is sent without its replicated state if only the bandwidth reserved for urgent messages is left.
  void Send(const Udp::endpoint& to, const Message& message);
  /// Sends a message that can be delayed, and leaves the reserved share of the bandwidth to urgent messages.
  /// Returns false, sends nothing and counts nothing if not enough bandwidth is left.
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
