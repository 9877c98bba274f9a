// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The acquisition of one lease under one fencing token, and its renewals: the requests that were sent and
/// what each voter has answered.
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

/// Counts grants and denials of one token. A grant counts from the moment at which the request that it
/// answers was first sent, so that a late grant never makes the lease last longer than the voter is bound by
/// it.
class LeaseAcquisition {
 public:
  using Endpoint = boost::asio::ip::udp::endpoint;

  /// How long a request waits, and how often it is retransmitted meanwhile.
  struct RequestTiming {
    Span term{};                 ///< Requests older than this no longer count.
    Span timeout{};              ///< The request ends so long after it was first sent.
    Span retransmit_interval{};  ///< Between two transmissions to a voter that has not answered.
  };

  /// Requests nothing.
  LeaseAcquisition() = default;
  explicit LeaseAcquisition(FencingToken token) : token_(token) {}

  /// 0 if nothing is requested.
  FencingToken token() const { return token_; }

  /// Begins a request that is sent for the first time at `now`. Forgets the denials of the one before.
  void BeginRequest(Time now, std::uint64_t number, const RequestTiming& timing);
  void EndRequest() { is_request_open_ = false; }
  /// Whether the newest request still waits for a majority.
  bool is_request_open() const { return is_request_open_; }
  /// Number and first sending of the newest request. Requires that there is one.
  std::uint64_t request_number() const { return sent_.rbegin()->first; }
  Time request_sent_at() const { return sent_.rbegin()->second; }
  Time request_deadline() const { return request_deadline_; }
  Time next_retransmit() const { return next_retransmit_; }
  void ScheduleRetransmit(Time at) { next_retransmit_ = at; }
  /// Whether the voter has granted or denied the newest request.
  bool HasAnswered(const Endpoint& voter) const;

  /// Counts a voter's grant. Returns false, and changes nothing, if it answers no request that still counts.
  bool CountGrant(const Endpoint& voter, std::uint64_t request_number);
  /// Records that the voter may grant from `may_grant_at` on. Ignores answers to other than the newest
  /// request.
  void RecordDenial(const Endpoint& voter, std::uint64_t request_number, Time may_grant_at);

  /// The newest moment since which `majority` voters are bound by their grants; nothing if fewer have
  /// granted.
  std::optional<Time> MajorityBoundSince(std::size_t majority) const;
  /// When `majority` of `voters` voters may grant, as far as the denials of the newest request tell.
  Time MajorityMayGrantAt(Time now, std::size_t voters, std::size_t majority) const;

  /// As Leases::AppendFingerprint.
  void AppendFingerprint(Time now, Span term, std::vector<std::uint64_t>* words) const;

 private:
  FencingToken token_ = 0;
  std::map<std::uint64_t, Time> sent_;  // first sending of each request, by its number
  std::map<Endpoint, Time> granted_;    // by voter, the newest first sending of a request that it has granted
  std::map<Endpoint, Time> denied_;     // by voter that denied the newest request, when it may grant
  bool is_request_open_ = false;
  Time request_deadline_{};
  Time next_retransmit_{};
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_LEASE_ACQUISITION_H_
