// SPDX-License-Identifier: Apache-2.0
//
// The UDP socket of a member: datagrams in and out, at most so many bytes a second out, and the counts of
// what was dropped.
#ifndef LOAD_BALANCER_FLEET_NODE_TRANSPORT_H_
#define LOAD_BALANCER_FLEET_NODE_TRANSPORT_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <string>

#include "base/time.h"
#include "fleet/node/traffic_counters.h"
#include "fleet/wire/codec.h"

namespace load_balancer::fleet {

struct TransportOptions {
  std::string component;  // that speaks in the log
  std::string fleet;      // whose messages are taken
  Udp::endpoint bind;
  std::chrono::milliseconds retry{1000};  // while another process holds the address
  double max_bytes_per_second = 65536;    // sent, in bursts of up to one second's worth
};

class Transport {
 public:
  // Called from the event loop, OnOpen also from within Open.
  class Host {
   public:
    virtual ~Host() = default;
    // The address is had; messages come from now on.
    virtual void OnOpen() = 0;
    virtual void OnMessage(const Message& message) = 0;
  };

  Transport(boost::asio::io_context& io, TransportOptions options, Host& host);

  // Takes the address, or waits until another process leaves it.
  void Open();
  void Close();
  bool open() const { return socket_.is_open(); }

  // The message may be lost, as any datagram may.
  void Send(const Udp::endpoint& to, const Message& message);
  // A message that came was of no use.
  void Count(DropReason drop);
  const TrafficCounters& counts() const { return counts_; }

 private:
  void Receive();
  void OnDatagram(std::size_t size);
  void ReportDrops();
  bool MaySend(std::size_t size);

  const TransportOptions options_;
  Host& host_;
  Udp::socket socket_;
  boost::asio::steady_timer again_;
  std::array<std::uint8_t, kMaxDatagramBytes + 1> in_{};
  Udp::endpoint from_;
  TrafficCounters counts_;
  Time report_at_{};
  double allowance_;  // bytes that may be sent now
  Time allowed_at_;
  bool closed_ = false, waits_ = false;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_NODE_TRANSPORT_H_
