// SPDX-License-Identifier: Apache-2.0
//
// Executes the operators' admin commands (docs/operations.md).
#ifndef LOAD_BALANCER_PROXY_ADMIN_ADMIN_HANDLER_H_
#define LOAD_BALANCER_PROXY_ADMIN_ADMIN_HANDLER_H_

#include <functional>
#include <string>
#include <utility>

#include "operators.h"

namespace load_balancer::proxy {

class Door;
class FederationLink;
class FleetLink;
class MaintenanceDuty;

// Handles the commands that the operators' listener receives: readiness, draining, maintenance, and status of
// the fleet.
class AdminHandler : public OperatorHandler {
 public:
  // All references must outlive this object. `describe_usage` returns the reply to USAGE.
  AdminHandler(Door& door, MaintenanceDuty& maintenance, FleetLink& fleet, FederationLink& federation,
               std::function<std::string()> describe_usage)
      : door_(door),
        maintenance_(maintenance),
        fleet_(fleet),
        federation_(federation),
        describe_usage_(std::move(describe_usage)) {}

  void OnCall(const OperatorCall& call, OnReply reply) override;

 private:
  OperatorReply Ping();
  OperatorReply Lameduck();
  OperatorReply Rejoin();
  // Answers MEMBERS, STATE or LEASES for the site's fleet, followed by the federation's part.
  OperatorReply DescribeFleet(OperatorCall::Verb verb);

  Door& door_;
  MaintenanceDuty& maintenance_;
  FleetLink& fleet_;
  FederationLink& federation_;
  std::function<std::string()> describe_usage_;
};

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_ADMIN_ADMIN_HANDLER_H_
