// SPDX-License-Identifier: Apache-2.0
//
// The backends that operators have taken out of service (DETACH): persists them, applies them to the decision
// module and to the backend connections, and replies to a command once every process of this proxy has
// applied it.
#ifndef LOAD_BALANCER_PROXY_ADMIN_MAINTENANCE_CONTROLLER_H_
#define LOAD_BALANCER_PROXY_ADMIN_MAINTENANCE_CONTROLLER_H_

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "base/error/failure.h"
#include "clock.h"
#include "maintenance.h"
#include "operators.h"

namespace load_balancer::proxy {

class Backends;
class ModuleDriver;
class HotRestart;
class ServerDirectory;

// Applies the set of detached backends. Not thread-safe; used on the event loop alone.
class MaintenanceController {
 public:
  // Announces a change to the fleet before it takes effect; a failure reverts the change.
  using Publish = std::function<Result<void>()>;

  // `path` is the file of `Maintenance`, which throws std::system_error if it cannot be read. All references
  // must outlive this object; only `hot_restart` must be constructed before it.
  MaintenanceController(const std::string& path, HotRestart& hot_restart, ServerDirectory& servers,
                        ModuleDriver& module, Backends& backends);

  // Ids of the backends that are detached.
  const std::set<std::string>& detached() const { return maintenance_.out(); }
  // Tells the decision module and the connections what has changed since the last call.
  void Apply();
  // Applies what another process of this proxy has changed, and replies to the commands that all processes
  // have applied. Call it periodically.
  void Poll();
  // Replaces the whole set, as the holder of the fleet's maintenance lease announces it.
  void Replace(std::set<std::string> detached);

  // Detaches or attaches the backend `id`. Replies once every process has applied the change, or with
  // kNotSeen after a timeout; with kUnknownServer or kNotKept at once. `publish` may be empty.
  void Change(const std::string& id, bool detach, const Publish& publish, OnReply reply);

 private:
  // A command whose change is persisted, but not yet applied by every process.
  struct PendingReply {
    std::uint64_t version = 0;
    Steady::time_point deadline{};
    OperatorReply reply;
    OnReply on_reply;
  };

  void SendDueReplies();

  HotRestart& hot_restart_;
  ServerDirectory& servers_;
  ModuleDriver& module_;
  Backends& backends_;
  Maintenance maintenance_;
  std::set<std::string> applied_;  // the set as of the last Apply
  std::vector<PendingReply> pending_replies_;
};

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_ADMIN_MAINTENANCE_CONTROLLER_H_
