// SPDX-License-Identifier: Apache-2.0
//
// Actions passes each action of the decision module to the component that carries it out.
#ifndef LOAD_BALANCER_PROXY_CORE_ACTIONS_H_
#define LOAD_BALANCER_PROXY_CORE_ACTIONS_H_

#include "load_balancer/balancer.h"

namespace load_balancer::proxy {

class Backends;
class DiscoveryDuty;
class FleetLink;
class ModuleDriver;
class OwnVerdicts;
class Requests;
class ServerDirectory;

class Actions {
 public:
  // The arguments must outlive this object. They may be constructed after it.
  Actions(const ModuleDriver& module, const ServerDirectory& servers, Requests& requests, Backends& backends,
          OwnVerdicts& verdicts, DiscoveryDuty& discovery, FleetLink& fleet)
      : module_(module),
        servers_(servers),
        requests_(requests),
        backends_(backends),
        verdicts_(verdicts),
        discovery_(discovery),
        fleet_(fleet) {}
  Actions(const Actions&) = delete;
  Actions& operator=(const Actions&) = delete;

  // Carries out any action but SetTimer, which ModuleDriver handles. May feed events to the driver.
  void CarryOut(const Action& action);

 private:
  void Do(const Dispatch& action);
  void Do(const Reject& action);
  void Do(const FailRequest& action);
  void Do(const SetTimer&) {}
  void Do(const Subscribe& action);
  void Do(const struct CloseIdle& action);
  void Do(const Log& action);
  void Do(const Ejected& action);

  const ModuleDriver& module_;
  const ServerDirectory& servers_;
  Requests& requests_;
  Backends& backends_;
  OwnVerdicts& verdicts_;
  DiscoveryDuty& discovery_;
  FleetLink& fleet_;
};

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_CORE_ACTIONS_H_
