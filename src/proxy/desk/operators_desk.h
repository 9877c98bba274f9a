// SPDX-License-Identifier: Apache-2.0
//
// What operators' calls do (docs/operations.md).
#ifndef BRACKENSPOKE_PROXY_DESK_OPERATORS_DESK_H_
#define BRACKENSPOKE_PROXY_DESK_OPERATORS_DESK_H_

#include "operators.h"

namespace brackenspoke::proxy {

class Door;
class FederationLink;
class FleetLink;
class MaintenanceDuty;

class OperatorsDesk : public OperatorHandler {
 public:
  // All that is given outlives this.
  OperatorsDesk(Door& door, MaintenanceDuty& maintenance, FleetLink& fleet, FederationLink& federation)
      : door_(door), maintenance_(maintenance), fleet_(fleet), federation_(federation) {}

  void OnCall(const OperatorCall& call, OnReply reply) override;

 private:
  OperatorReply Ping();
  OperatorReply Lameduck();
  OperatorReply Rejoin();
  OperatorReply AskFleet(OperatorCall::Verb verb);

  Door& door_;
  MaintenanceDuty& maintenance_;
  FleetLink& fleet_;
  FederationLink& federation_;
};

}  // namespace brackenspoke::proxy

#endif  // BRACKENSPOKE_PROXY_DESK_OPERATORS_DESK_H_
