// SPDX-License-Identifier: Apache-2.0
#include "fleet_link/maintenance_duty.h"

#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>

#include "admin/maintenance_controller.h"
#include "base/log.h"
#include "fleet/lease/failures.h"
#include "fleet_link/fact_life.h"
#include "fleet_link/fleet_link.h"

namespace load_balancer::proxy {

void MaintenanceDuty::Change(const OperatorCall& call, OnReply reply) {
  const bool out = call.verb == OperatorCall::Verb::kDetach;
  if (!fleet_.node() || !fleet_.node()->has_leases())
    return controller_.Change(call.id, out, nullptr, std::move(reply));
  const auto proof = fleet_.node()->ProveLease(fleet::kMaintenanceDuty);
  if (!proof) return reply(OperatorReply::No(NotTheHolder()));
  // The disk may take longer than the lease; then the change is another holder's to make.
  controller_.Change(
      call.id, out, [&] { return Publish(*proof); }, std::move(reply));
}

void MaintenanceDuty::OnLeaseStatus() {
  if (const auto proof = fleet_.node()->ProveLease(fleet::kMaintenanceDuty))
    if (const auto published = Publish(*proof); !published) log::Warn("fleet", published.error());
}

void MaintenanceDuty::OnFact(const fleet::FencedValue& fact) {
  if (!fact.value.is_array()) return;
  std::set<std::string> out;
  for (const nlohmann::json& id : fact.value)
    if (id.is_string() && !id.get<std::string>().empty()) out.insert(id.get<std::string>());
  controller_.Replace(std::move(out));
}

Result<void> MaintenanceDuty::Publish(const fleet::LeaseProof& proof) {
  return fleet_.node()->Publish(proof, "maintenance", controller_.detached(), kFactLasts);
}

Failure MaintenanceDuty::NotTheHolder() const {
  const fleet::Node& node = *std::as_const(fleet_).node();
  if (node.IsFollowerOf(fleet::kMaintenanceDuty))
    return Failure(fleet::kHeldByOtherMember, node.HolderOf(fleet::kMaintenanceDuty));
  return Failure(fleet::kNoLeaseHolder, fleet::kMaintenanceDuty);
}

}  // namespace load_balancer::proxy
