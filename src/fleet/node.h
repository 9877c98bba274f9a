// SPDX-License-Identifier: Apache-2.0
//
// This process as a member of its fleet: the UDP socket, the timer, the counts of what was dropped, and the
// log lines of every change. Membership itself is in membership.h; nothing here bears on where a request
// goes.
#ifndef BRACKENSPOKE_FLEET_NODE_H_
#define BRACKENSPOKE_FLEET_NODE_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "membership.h"
#include "schema.h"

namespace brackenspoke::fleet {

struct Counts {
  std::uint64_t received = 0, sent = 0;              // datagrams
  std::uint64_t bytes_received = 0, bytes_sent = 0;  // of datagrams
  std::array<std::uint64_t, kDrops> dropped{};       // received, by Drop
  std::uint64_t throttled = 0;                       // not sent, for the sake of most_bytes_per_second
};

class Node : private Membership::Outlet {
 public:
  // Joins at once, or, while another process holds the address (one that this one replaces), as soon as that
  // one leaves it. `name` is the member's, `seed` for random numbers.
  Node(boost::asio::io_context& io, const proxy::FleetSection& section, const std::string& name,
       std::uint64_t seed);

  void Leave();
  void Rejoin();
  // Leaves, and leaves the address to another process.
  void Stop();

  // One line: every member as "name state incarnation age", this one first, and the counts.
  std::string Describe() const;
  const Counts& counts() const { return counts_; }

 private:
  void Send(const Udp::endpoint& to, const Message& message) override;
  void Changed(const Member& member, std::optional<MemberState> before, std::string_view why) override;
  void Stalled(Span late) override;
  void Displaced(const Udp::endpoint& by) override;

  void Open();
  void Receive();
  void OnDatagram(std::size_t size);
  void Count(Drop drop);
  void ReportDrops();
  void Arm();
  bool MaySend(std::size_t size);

  const proxy::FleetSection section_;
  Udp::socket socket_;
  boost::asio::steady_timer timer_, again_;
  std::array<std::uint8_t, kMostDatagram + 1> in_{};
  Udp::endpoint from_;
  Counts counts_, reported_;
  Time report_at_{};
  double allowance_;  // bytes that may be sent now
  Time allowed_at_;
  const std::string name_;
  const std::uint64_t seed_;
  bool stopped_ = false, waits_ = false;
  bool away_ = false;                     // told to leave while the address was not to be had
  std::optional<Membership> membership_;  // once the address is had
  Time armed_{};
};

}  // namespace brackenspoke::fleet

#endif  // BRACKENSPOKE_FLEET_NODE_H_
