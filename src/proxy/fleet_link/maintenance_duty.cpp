// SPDX-License-Identifier: Apache-2.0
#include "fleet_link/maintenance_duty.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "admin/maintenance_controller.h"
#include "base/log.h"
#include "base/wall_clock.h"
#include "fleet/lease/failures.h"
#include "fleet_link/fact_life.h"
#include "fleet_link/fleet_link.h"
#include "proxy/failures.h"

namespace load_balancer::proxy {
namespace {

constexpr char kChangeKeyPrefix[] = "maintenance/";
// The fields of a published change.
constexpr char kIsDetached[] = "out";
constexpr char kToken[] = "token";

std::string KeyOf(const std::string& id) { return kChangeKeyPrefix + id; }

// Returns the id of the backend of a published change, or an empty string if the key is not that of a change.
std::string IdOf(const std::string& key) {
  const std::string prefix = kChangeKeyPrefix;
  return key.starts_with(prefix) ? key.substr(prefix.size()) : "";
}

std::optional<MaintenanceChange> ReadChange(const fleet::FencedValue& value) {
  if (!value.value.is_object()) return std::nullopt;
  const auto is_detached = value.value.find(kIsDetached);
  const auto token = value.value.find(kToken);
  if (is_detached == value.value.end() || !is_detached->is_boolean()) return std::nullopt;
  if (token == value.value.end() || !token->is_number_unsigned()) return std::nullopt;
  return MaintenanceChange{is_detached->get<bool>(), token->get<fleet::FencingToken>(), value.until};
}

fleet::UnixMs EndOfLifeFromNow() {
  const auto lifetime = std::chrono::duration_cast<std::chrono::milliseconds>(kFactLasts);
  return UnixMilliseconds() + static_cast<fleet::UnixMs>(lifetime.count());
}

}  // namespace

void MaintenanceDuty::Begin() { changes_.Load(UnixMilliseconds()); }

void MaintenanceDuty::Change(const OperatorCall& call, OnReply reply) {
  const bool out = call.verb == OperatorCall::Verb::kDetach;
  if (!fleet_.node() || !fleet_.node()->has_leases())
    return controller_.Change(call.id, out, nullptr, std::move(reply));
  const auto proof = fleet_.node()->ProveLease(fleet::kMaintenanceDuty);
  if (!proof) return reply(OperatorReply::No(NotTheHolder()));
  // The disk may take longer than the lease; then the change is another holder's to make.
  controller_.Change(
      call.id, out, [&] { return PublishChange(*proof, call.id, out); }, std::move(reply));
}

Result<void> MaintenanceDuty::PublishChange(const fleet::LeaseProof& proof, const std::string& id, bool out) {
  MaintenanceChanges before = changes_;
  const auto change = changes_.RecordOwn(id, {out, proof.token(), EndOfLifeFromNow()});
  if (!change) return tl::unexpected(Failure(kNotKept, "cannot be kept"));
  if (const auto published = Publish(proof); !published) {
    changes_.Restore(std::move(before));
    return published;
  }
  Announce(id, *change);
  return {};
}

void MaintenanceDuty::Announce(const std::string& id, const MaintenanceChange& change) {
  fleet_.node()->PublishUnfenced({fleet::kMaintenanceChanges,
                                  KeyOf(id),
                                  fleet::kUnfencedToken,
                                  change.until,
                                  {{kIsDetached, change.is_detached}, {kToken, change.token}}});
}

// A former process of this proxy may have acknowledged changes that no other member has heard of.
void MaintenanceDuty::OnJoined() {
  if (!fleet_.node()->has_leases()) return;
  changes_.Load(UnixMilliseconds());
  for (const auto& [id, change] : changes_.UnsettledOwn()) Announce(id, change);
  ApplyChanges();
}

void MaintenanceDuty::OnLeaseStatus() { PublishIfHolder(); }

void MaintenanceDuty::OnFact(const fleet::FencedValue& fact) {
  if (!fact.value.is_array()) return;
  std::set<std::string> out;
  for (const nlohmann::json& id : fact.value)
    if (id.is_string() && !id.get<std::string>().empty()) out.insert(id.get<std::string>());
  changes_.Settle(out, fact.token, UnixMilliseconds());
  // The holder has not heard of the changes of this process that are still left.
  for (const auto& [id, change] : changes_.UnsettledOwn())
    if (change.token < fact.token) fleet_.node()->PushAgain(KeyOf(id));
  controller_.Replace(changes_.ApplyTo(std::move(out)));
}

void MaintenanceDuty::OnChange(const fleet::FencedValue& value) {
  const std::string id = IdOf(value.key);
  const auto change = ReadChange(value);
  if (id.empty() || !change || !fleet_.node()->has_leases()) return;
  changes_.Merge(id, *change);
  ApplyChanges();
}

void MaintenanceDuty::ApplyChanges() {
  const std::set<std::string> before = controller_.detached();
  controller_.Replace(changes_.ApplyTo(before));
  if (controller_.detached() != before) PublishIfHolder();
}

void MaintenanceDuty::PublishIfHolder() {
  if (const auto proof = fleet_.node()->ProveLease(fleet::kMaintenanceDuty))
    if (const auto published = Publish(*proof); !published) log::Warn("fleet", published.error());
}

Result<void> MaintenanceDuty::Publish(const fleet::LeaseProof& proof) {
  const std::set<std::string>& detached = controller_.detached();
  const auto published = fleet_.node()->Publish(proof, "maintenance", detached, kFactLasts);
  if (published) changes_.Settle(detached, proof.token(), UnixMilliseconds());
  return published;
}

Failure MaintenanceDuty::NotTheHolder() const {
  const fleet::Node& node = *std::as_const(fleet_).node();
  if (node.IsFollowerOf(fleet::kMaintenanceDuty))
    return Failure(fleet::kHeldByOtherMember, node.HolderOf(fleet::kMaintenanceDuty));
  return Failure(fleet::kNoLeaseHolder, fleet::kMaintenanceDuty);
}

}  // namespace load_balancer::proxy
