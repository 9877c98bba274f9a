// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Tracks the acquisition of one lease under one fencing token, including renewals: the requests that were
/// sent and the answer of each voter.
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

/// Counts the grants and denials of one token. The lease time of a grant starts when its request was first
/// sent. A late grant therefore never makes the lease outlast the voter's vote.
class LeaseAcquisition {
 public:
  using Endpoint = boost::asio::ip::udp::endpoint;

  /// The timeouts and intervals of one request.
  struct RequestTiming {
    Span term{};                 ///< Time from the first transmission until the request's grants are ignored.
    Span timeout{};              ///< Time from the first transmission until the request fails.
    Span retransmit_interval{};  ///< Time between two transmissions to a voter that has not answered.
  };

  /// Creates an acquisition without a token.
  LeaseAcquisition() = default;
  explicit LeaseAcquisition(FencingToken token) : token_(token) {}

  /// Returns the requested token; 0 if there is none.
  FencingToken token() const { return token_; }

  /// Begins a request that is first sent at `now`. Clears the denials of the previous request.
  void BeginRequest(Time now, std::uint64_t number, const RequestTiming& timing);
  /// Ends the newest request, for example because a majority has granted it.
  void EndRequest() { is_request_open_ = false; }
  /// Returns whether the newest request still waits for a majority.
  bool is_request_open() const { return is_request_open_; }
  /// Returns the number of the newest request. Requires that a request was sent.
  std::uint64_t request_number() const { return sent_.rbegin()->first; }
  /// Returns when the newest request was first sent. Requires that a request was sent.
  Time request_sent_at() const { return sent_.rbegin()->second; }
  /// Returns when the newest request times out.
  Time request_deadline() const { return request_deadline_; }
  /// Returns when the newest request is transmitted again.
  Time next_retransmit() const { return next_retransmit_; }
  /// Sets the time of the next retransmission.
  void ScheduleRetransmit(Time at) { next_retransmit_ = at; }
  /// Returns whether the voter has granted or denied the newest request.
  bool HasAnswered(const Endpoint& voter) const;

  /// Counts a voter's grant. Returns false and changes nothing if it answers an unknown or expired request.
  bool CountGrant(const Endpoint& voter, std::uint64_t request_number);
  /// Records that the voter may grant from `may_grant_at` on. Ignores denials of earlier requests.
  void RecordDenial(const Endpoint& voter, std::uint64_t request_number, Time may_grant_at);

  /// Returns the start of the lease time: the latest time since which `majority` voters have been bound by
  /// their grants. Returns nothing if fewer voters have granted.
  std::optional<Time> MajorityBoundSince(std::size_t majority) const;
  /// Returns the earliest time at which `majority` of `voters` voters may grant, according to the denials of
  /// the newest request.
  Time MajorityMayGrantAt(Time now, std::size_t voters, std::size_t majority) const;

  /// Appends all state of this acquisition that determines future behaviour, with times relative to `now`.
  /// The model checker uses it through Leases::AppendFingerprint.
  void AppendFingerprint(Time now, Span term, std::vector<std::uint64_t>* words) const;

 private:
  FencingToken token_ = 0;
  std::map<std::uint64_t, Time> sent_;  // time of the first transmission, by request number
  std::map<Endpoint, Time> granted_;    // by voter: first transmission of the newest granted request
  std::map<Endpoint, Time> denied_;     // by voter that denied the newest request: time when it may grant
  bool is_request_open_ = false;
  Time request_deadline_{};
  Time next_retransmit_{};
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_LEASE_ACQUISITION_H_
