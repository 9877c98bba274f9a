// SPDX-License-Identifier: Apache-2.0
//
// Denials that an operator has to mend: each told once for each voter and reason, until the voter grants.
#ifndef LOAD_BALANCER_FLEET_LEASE_DENIAL_REPORTER_H_
#define LOAD_BALANCER_FLEET_LEASE_DENIAL_REPORTER_H_

#include <boost/asio/ip/udp.hpp>
#include <optional>
#include <set>
#include <utility>

#include "base/error/failure.h"
#include "fleet/lease/message.h"
#include "fleet/lease/voter.h"

namespace load_balancer::fleet {

class Complaints {
 public:
  using Endpoint = boost::asio::ip::udp::endpoint;

  // Nothing if the denial is no fault, or is told already. `terms` are the asker's.
  std::optional<Failure> Of(const Endpoint& voter, const LeaseMessage& denial, const LeaseTerms& terms);
  void Forget(const Endpoint& voter);

 private:
  std::set<std::pair<Endpoint, LeaseMessage::Why>> told_;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_LEASE_DENIAL_REPORTER_H_
