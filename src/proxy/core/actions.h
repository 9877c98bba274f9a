// SPDX-License-Identifier: Apache-2.0
//
// What the module has decided goes to the parts that carry it out.
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
  // All that is given outlives the last call; it need not be made yet.
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

  // Anything but a timer, which is the driver's own. May feed the driver at once.
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
