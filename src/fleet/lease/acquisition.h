// SPDX-License-Identifier: Apache-2.0
//
// One token that is asked for, or held and renewed: its requests, and what each voter has answered.
#ifndef LOAD_BALANCER_FLEET_LEASE_ACQUISITION_H_
#define LOAD_BALANCER_FLEET_LEASE_ACQUISITION_H_

#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/time.h"
#include "fleet/lease/message.h"

namespace load_balancer::fleet {

class Bid {
 public:
  using Endpoint = boost::asio::ip::udp::endpoint;

  Bid() = default;  // for nothing
  explicit Bid(Token token) : token_(token) {}

  Token token() const { return token_; }  // 0: nothing is asked for

  // A request that is sent now, and repeated `every` so long until a majority has granted it, or it has ended
  // after `lasts`. Requests older than `term` are forgotten.
  void Open(Time now, std::uint64_t number, Span term, Span lasts, Span every);
  void Close() { open_ = false; }
  bool open() const { return open_; }
  std::uint64_t number() const { return sent_.rbegin()->first; }  // of the newest request
  Time sent() const { return sent_.rbegin()->second; }
  Time ends() const { return ends_; }
  Time next_repeat() const { return next_repeat_; }
  // Of the newest request again, to those that have not answered; its moment stays that of the first sending.
  void Repeated(Time now, Span every);
  bool Answered(const Endpoint& voter) const;

  // False, and nothing changes, if the grant answers no request of this bid.
  bool Grant(const Endpoint& voter, std::uint64_t request);
  // The voter may grant from `from` on.
  void Deny(const Endpoint& voter, std::uint64_t request, Time from);

  // The newest moment of a request since which so many voters are bound; nothing if there is none.
  std::optional<Time> Since(std::size_t majority) const;
  // Of so many voters, when a majority of them may grant by what those that denied the newest request say.
  Time Opens(Time now, std::size_t voters, std::size_t majority) const;

  // As Leases::Fingerprint.
  void Fingerprint(Time now, Span term, std::vector<std::uint64_t>* words) const;

 private:
  Token token_ = 0;
  std::map<std::uint64_t, Time> sent_;  // when each request was sent
  std::map<Endpoint, Time> granted_;    // of each voter the newest of these moments that it has granted
  std::map<Endpoint, Time> denied_;     // of those that denied the newest request, when they may grant
  bool open_ = false;                   // the newest request is not answered by a majority yet
  Time ends_{}, next_repeat_{};
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_LEASE_ACQUISITION_H_
