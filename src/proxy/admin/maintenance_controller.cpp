// SPDX-License-Identifier: Apache-2.0
#include "admin/maintenance_controller.h"

#include <chrono>
#include <cstddef>
#include <utility>

#include "backends.h"
#include "core/module_driver.h"
#include "core/server_directory.h"
#include "hot_restart.h"
#include "proxy/failures.h"

namespace load_balancer::proxy {
namespace {

// How long the other processes of this proxy may take to apply a command.
constexpr std::chrono::milliseconds kApplyTimeout{700};

}  // namespace

MaintenanceController::MaintenanceController(const std::string& path, HotRestart& hot_restart,
                                             ServerDirectory& servers, ModuleDriver& module,
                                             Backends& backends)
    : hot_restart_(hot_restart),
      servers_(servers),
      module_(module),
      backends_(backends),
      maintenance_(path, hot_restart) {}

void MaintenanceController::Apply() {
  const std::set<std::string> before = std::exchange(applied_, maintenance_.out());
  servers_.Learn(std::vector<std::string>(before.begin(), before.end()));
  servers_.Learn(std::vector<std::string>(applied_.begin(), applied_.end()));
  const ServerNumbers& numbers = servers_.numbers();
  for (const std::string& id : applied_) {
    if (before.contains(id)) continue;
    module_.Feed(StartMaintenance{numbers.Of(id)});
    backends_.Detach(numbers.Of(id));
  }
  for (const std::string& id : before) {
    if (applied_.contains(id)) continue;
    backends_.Attach(numbers.Of(id));
    module_.Feed(EndMaintenance{numbers.Of(id)});
  }
}

void MaintenanceController::Poll() {
  if (maintenance_.Refresh()) Apply();
  hot_restart_.AcknowledgeMaintenance(maintenance_.version());
  SendDueReplies();
}

void MaintenanceController::Replace(std::set<std::string> detached) {
  if (detached != maintenance_.out() && maintenance_.Replace(std::move(detached))) Apply();
}

void MaintenanceController::Change(const std::string& id, bool detach, const Publish& publish,
                                   OnReply reply) {
  if (maintenance_.Refresh()) Apply();
  if (!servers_.numbers().Has(id)) return reply(OperatorReply::No(Failure(kUnknownServer, "unknown ID")));
  const std::set<std::string> before = maintenance_.out();
  if (!maintenance_.Change(id, detach)) return reply(OperatorReply::No(Failure(kNotKept, "cannot be kept")));
  if (publish) {
    if (const auto published = publish(); !published) {
      maintenance_.Replace(before);
      return reply(OperatorReply::No(published.error()));
    }
  }
  Apply();
  pending_replies_.push_back({maintenance_.version(), Steady::now() + kApplyTimeout,
                              OperatorReply::Yes(detach ? "detached" : "attached"), std::move(reply)});
  SendDueReplies();
}

void MaintenanceController::SendDueReplies() {
  for (std::size_t i = 0; i < pending_replies_.size();) {
    const bool applied_by_all = hot_restart_.MaintenanceAcknowledgedByAll(pending_replies_[i].version);
    if (!applied_by_all && Steady::now() < pending_replies_[i].deadline) {
      ++i;
      continue;
    }
    const PendingReply pending = std::move(pending_replies_[i]);
    pending_replies_.erase(pending_replies_.begin() + static_cast<std::ptrdiff_t>(i));
    pending.on_reply(applied_by_all ? pending.reply
                                    : OperatorReply::No(Failure(kNotSeen, "not seen by the other process")));
  }
}

}  // namespace load_balancer::proxy
