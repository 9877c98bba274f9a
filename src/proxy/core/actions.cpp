// SPDX-License-Identifier: Apache-2.0
#include "core/actions.h"

#include <utility>
#include <variant>

#include "backends.h"
#include "base/log.h"
#include "core/module_driver.h"
#include "core/requests.h"
#include "core/server_directory.h"
#include "fleet_link/discovery_duty.h"
#include "fleet_link/fleet_link.h"
#include "recovery/own_verdicts.h"

namespace load_balancer::proxy {

void Actions::CarryOut(const Action& action) {
  std::visit([this](const auto& a) { Do(a); }, action);
}

void Actions::Do(const Dispatch& action) { requests_.Do(action); }

void Actions::Do(const Reject& action) { requests_.Do(action); }

void Actions::Do(const FailRequest& action) { requests_.Do(action); }

void Actions::Do(const Subscribe&) { discovery_.Subscribe(); }

void Actions::Do(const struct CloseIdle& action) { backends_.CloseIdle(action.server); }

void Actions::Do(const Log& action) { log::Info("module", action.text); }

void Actions::Do(const Ejected& action) {
  const std::string& id = servers_.numbers().IdOf(action.server);
  if (id.empty()) return;
  const double until = module_.clock().ToUnix(action.until);
  verdicts_.Note(id, until, action.multiplier);
  if (!fleet_.node()) return;
  fleet::Ejection ejection;
  ejection.server = id;
  ejection.until = static_cast<fleet::UnixMs>(until);
  ejection.failures = action.failures;
  ejection.attempts = action.attempts;
  fleet_.node()->Announce(std::move(ejection));
}

}  // namespace load_balancer::proxy
