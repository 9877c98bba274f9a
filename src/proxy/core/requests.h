// SPDX-License-Identifier: Apache-2.0
//
// The life of a request, from its client's last word to its one answer, and its attempts between.
#ifndef LOAD_BALANCER_PROXY_CORE_REQUESTS_H_
#define LOAD_BALANCER_PROXY_CORE_REQUESTS_H_

#include <memory>

#include "backends.h"
#include "clients.h"
#include "core/pending.h"
#include "load_balancer/balancer.h"
#include "request.h"

namespace load_balancer::proxy {

class FederationLink;
class FleetLink;
class ModuleDriver;
class ServerDirectory;

class Requests {
 public:
  // All that is given outlives the last call; it need not be made yet.
  Requests(ModuleDriver& module, PendingRequests& pending, const ServerDirectory& servers, Backends& backends,
           FleetLink& fleet, FederationLink& federation)
      : module_(module),
        pending_(pending),
        servers_(servers),
        backends_(backends),
        fleet_(fleet),
        federation_(federation) {}
  Requests(const Requests&) = delete;
  Requests& operator=(const Requests&) = delete;

  // As the clients' side tells (RequestHandler).
  // `current` is the configuration that the module has.
  RequestId OnRequest(ClientRequest&& request, const Config& current, std::shared_ptr<Responder>&& responder);
  void OnUploaded(RequestId request, Steady::time_point due);
  void OnClientGone(RequestId request);

  // What the module has decided.
  void Do(const Dispatch& action);
  void Do(const Reject& action);
  void Do(const FailRequest& action);

 private:
  void OnAttemptBegun(RequestId request, int attempt, ResponseHead head);
  void OnAttemptDone(RequestId request, int attempt, ServerId server, AttemptResult result);

  ModuleDriver& module_;
  PendingRequests& pending_;
  const ServerDirectory& servers_;
  Backends& backends_;
  FleetLink& fleet_;
  FederationLink& federation_;
};

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_CORE_REQUESTS_H_
