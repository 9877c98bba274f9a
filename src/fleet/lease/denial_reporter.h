// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Converts denials that an operator has to resolve into failures and reports each failure once.
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

/// Remembers which denial reasons have been reported for each voter.
class DenialReporter {
 public:
  using Endpoint = boost::asio::ip::udp::endpoint;

  /// Returns the failure to report for a voter's denial. Returns nothing if the denial is part of normal
  /// operation or was already reported since the voter's last grant. `terms` are the requester's terms.
  std::optional<Failure> Report(const Endpoint& voter, const LeaseMessage& denial, const LeaseTerms& terms);
  /// Clears the reported reasons of a voter. Must be called when the voter grants.
  void Forget(const Endpoint& voter) { reported_.erase(voter); }

 private:
  std::map<Endpoint, std::set<LeaseMessage::DenialReason>> reported_;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_LEASE_DENIAL_REPORTER_H_
