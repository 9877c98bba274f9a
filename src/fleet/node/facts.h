// SPDX-License-Identifier: Apache-2.0
//
// What a fleet tells the process that is a member of it.
#ifndef LOAD_BALANCER_FLEET_NODE_FACTS_H_
#define LOAD_BALANCER_FLEET_NODE_FACTS_H_

#include <string>

#include "fleet/lease/leases.h"
#include "fleet/state/state.h"

namespace load_balancer::fleet {

class Facts {
 public:
  virtual ~Facts() = default;
  // Whether discovery's list has the server now.
  virtual bool Listed(const std::string& server) const = 0;
  virtual void OnVerdict(const Verdict& verdict) = 0;
  virtual void OnKey(const KeySite& site, UnixMs met) = 0;
  // Of the fleet's limit of requests in flight at one server, what is this process's.
  virtual void OnShare(int most_in_flight) = 0;
  // A peer's whole table and state have come for the first time.
  virtual void OnJoined() = 0;
  // What this process is to a duty from now on.
  virtual void OnLeaseStatus(const std::string& duty, LeaseStatus status) = 0;
  // The holder of a duty has made this known.
  virtual void OnDutyFact(const DutyFact& fact) = 0;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_NODE_FACTS_H_
