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
constexpr char kId[] = "id";
constexpr char kIsDetached[] = "out";
constexpr char kToken[] = "token";

// Returns the key of a member's change. Members have keys of their own, so that a change that is published
// again takes the place of no other member's later one.
std::string KeyOf(const std::string& member, const std::string& id) {
  return kChangeKeyPrefix + id + '/' + member;
}

// PublishedChange is a change as another member has published it.
struct PublishedChange {
  std::string id;
  MaintenanceChange change;
};

std::optional<PublishedChange> ReadChange(const fleet::FencedValue& value) {
  if (!value.value.is_object()) return std::nullopt;
  const auto id = value.value.find(kId);
  const auto is_detached = value.value.find(kIsDetached);
  const auto token = value.value.find(kToken);
  const auto end = value.value.end();
  if (id == end || !id->is_string() || id->get_ref<const std::string&>().empty()) return std::nullopt;
  if (is_detached == end || !is_detached->is_boolean()) return std::nullopt;
  if (token == end || !token->is_number_unsigned()) return std::nullopt;
  return PublishedChange{id->get<std::string>(),
                         {is_detached->get<bool>(), token->get<fleet::FencingToken>(), value.until}};
}

fleet::UnixMs EndOfLifeFromNow() {
  const auto lifetime = std::chrono::duration_cast<std::chrono::milliseconds>(kFactLasts);
  return UnixMilliseconds() + static_cast<fleet::UnixMs>(lifetime.count());
}

}  // namespace

// Called again for each value of another member: a process that this one replaces in a hot restart, and that
// was in the fleet until then, may have kept changes after this one was started.
void MaintenanceDuty::LoadChanges() { changes_.Load(UnixMilliseconds()); }

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
                                  KeyOf(member_, id),
                                  fleet::kUnfencedToken,
                                  change.until,
                                  {{kId, id}, {kIsDetached, change.is_detached}, {kToken, change.token}}});
}

void MaintenanceDuty::OnLeaseStatus() { PublishIfHolder(); }

void MaintenanceDuty::OnFact(const fleet::FencedValue& fact) {
  if (!fact.value.is_array()) return;
  std::set<std::string> out;
  for (const nlohmann::json& id : fact.value)
    if (id.is_string() && !id.get<std::string>().empty()) out.insert(id.get<std::string>());
  LoadChanges();
  changes_.Settle(out, fact.token, UnixMilliseconds());
  // The holder has not heard of the changes of this member that are still left, or has been restarted since.
  for (const auto& [id, change] : changes_.UnsettledOwn())
    if (change.token < fact.token) Announce(id, change);
  controller_.Replace(changes_.ApplyTo(std::move(out)));
}

void MaintenanceDuty::OnChange(const fleet::FencedValue& value) {
  const auto published = ReadChange(value);
  if (!published || !fleet_.node()->has_leases()) return;
  LoadChanges();
  changes_.Merge(published->id, published->change);
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
