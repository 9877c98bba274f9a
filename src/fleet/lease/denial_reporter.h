// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Turns denials that an operator has to resolve into failures, each reported once.
#ifndef LOAD_BALANCER_FLEET_LEASE_DENIAL_REPORTER_H_
#define LOAD_BALANCER_FLEET_LEASE_DENIAL_REPORTER_H_

#include <boost/asio/ip/udp.hpp>
#include <map>
#include <optional>
#include <set>

#include "base/error/failure.h"
#include "fleet/lease/message.h"
#include "fleet/lease/voter.h"

namespace load_balancer::fleet {

/// Remembers which reasons of which voters have been reported.
class DenialReporter {
 public:
  using Endpoint = boost::asio::ip::udp::endpoint;

  /// The failure to report for a voter's denial. Nothing if the denial is part of normal operation, or has
  /// been reported since the voter last granted. `terms` are those of the requester.
  std::optional<Failure> Report(const Endpoint& voter, const LeaseMessage& denial, const LeaseTerms& terms);
  /// Forgets what was reported of the voter. To be called when it grants.
  void Forget(const Endpoint& voter) { reported_.erase(voter); }

 private:
  std::map<Endpoint, std::set<LeaseMessage::DenialReason>> reported_;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_LEASE_DENIAL_REPORTER_H_
