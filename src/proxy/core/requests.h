// SPDX-License-Identifier: Apache-2.0
//
// Requests passes requests to the decision module, and carries out the module's actions on them.
#ifndef LOAD_BALANCER_PROXY_CORE_REQUESTS_H_
#define LOAD_BALANCER_PROXY_CORE_REQUESTS_H_

#include <memory>

#include "backends.h"
#include "clients.h"
#include "core/pending.h"
#include "event_counts.h"
#include "load_balancer/balancer.h"
#include "request.h"

namespace load_balancer::proxy {

class FederationLink;
class FleetLink;
class ModuleDriver;
class ServerDirectory;

class Requests {
 public:
  // The arguments must outlive this object. They may be constructed after it.
  Requests(ModuleDriver& module, PendingRequests& pending, RequestIds& ids, const ServerDirectory& servers,
           Backends& backends, FleetLink& fleet, FederationLink& federation, EventCounts& events)
      : module_(module),
        pending_(pending),
        ids_(ids),
        servers_(servers),
        backends_(backends),
        fleet_(fleet),
        federation_(federation),
        events_(events) {}
  Requests(const Requests&) = delete;
  Requests& operator=(const Requests&) = delete;

  // Events of client connections; see RequestHandler. `current` is the configuration whose settings the
  // module has.
  RequestId OnRequest(ClientRequest&& request, const Config& current, std::shared_ptr<Responder>&& responder);
  void OnUploaded(RequestId request, Steady::time_point due);
  void OnClientGone(RequestId request);
  void OnClientUnknown(RequestId request);
  void OnResponseUnread(RequestIds::Key request);

  // Carry out actions of the module.
  void Do(const Dispatch& action);
  void Do(const Reject& action);
  void Do(const FailRequest& action);

 private:
  void Note(EventKind kind, RequestId id);
  void RefuseRepeated(const ClientRequest& request, Responder& responder);
  void AnnounceAffinity(std::uint64_t key, ServerId server);
  void ReportNotSent(const Dispatch& action, int attempt);
  AttemptEvents EventsFor(const Dispatch& action, int attempt);
  void OnStreamStarted(RequestId request, int attempt, ResponseHead head);
  void OnAttemptDone(RequestId request, int attempt, ServerId server, AttemptResult result);

  ModuleDriver& module_;
  PendingRequests& pending_;
  RequestIds& ids_;
  const ServerDirectory& servers_;
  Backends& backends_;
  FleetLink& fleet_;
  FederationLink& federation_;
  EventCounts& events_;
};

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_CORE_REQUESTS_H_
