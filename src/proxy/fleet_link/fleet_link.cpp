// SPDX-License-Identifier: Apache-2.0
#include "fleet_link/fleet_link.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "base/log.h"
#include "core/module_driver.h"
#include "core/server_directory.h"
#include "federation/spill_service.h"
#include "fleet_link/discovery_duty.h"
#include "fleet_link/maintenance_duty.h"
#include "members.h"
#include "recovery/recovery.h"

namespace load_balancer::proxy {
namespace {

// A stored affinity, with its places in the indices of the store.
constexpr std::size_t kAffinityBytes = 512;

// Those of the site's fleet.
std::vector<fleet::LeasedRole> LeasedRolesOf(const Config& config) {
  auto duties = fleet::SiteLeasedRoles();
  if (config.spill.on)
    duties.push_back({SpillService::DutyOf(config.sites.site), fleet::LeasedRoleKind::kExclusive});
  return duties;
}

}  // namespace

void FleetLink::Begin(boost::asio::io_context& io, const Config& config, const std::string& votes,
                      std::size_t affinity_bytes) {
  if (!config.fleet.on) return;
  fleet::FleetSection section = config.fleet;
  const int most_affinities = static_cast<int>(affinity_bytes / kAffinityBytes);
  if (section.affinity_entries > most_affinities) {
    section.affinity_entries = most_affinities;
    log::Info("fleet", "affinity_entries limited by memory_mb to " + std::to_string(most_affinities));
  }
  const std::uint64_t seed = config.seed ^ StableHash(config.name);
  discovery_.Know(config.known.members);
  maintenance_.LoadChanges();
  fleet::NodeOptions options;
  options.duties = LeasedRolesOf(config);
  options.votes = votes;
  node_ = std::make_unique<fleet::Node>(io, section, config.name, seed,
                                        static_cast<fleet::FleetListener&>(*this), std::move(options));
}

bool FleetLink::IsListed(const std::string& server) const { return servers_.Listed(server); }

// Advice: the module weighs it like any event.
void FleetLink::OnEjection(const fleet::Ejection& ejection) {
  module_.Feed(PeerEjection{servers_.numbers().Of(ejection.server),
                            module_.clock().FromUnix(static_cast<double>(ejection.until)), ejection.failures,
                            ejection.attempts});
}

void FleetLink::OnKeyAffinity(const fleet::KeyAffinity& affinity, fleet::UnixMs written) {
  module_.Feed(PeerAffinity{servers_.numbers().Of(affinity.server), affinity.key,
                            module_.clock().FromUnix(static_cast<double>(written))});
}

void FleetLink::OnLimitShare(int max_in_flight) { module_.Feed(ServerConcurrencyLimit{max_in_flight}); }

void FleetLink::OnJoined() {
  log::Info("fleet", "joined: has the state of a peer");
  recovery_.OnJoined();
}

// A new holder says everything anew, under its own token.
void FleetLink::OnLeaseStatus(const std::string& duty, fleet::LeaseStatus status) {
  const bool holds = status == fleet::LeaseStatus::kHolder;
  const bool renewed = holds && std::exchange(held_[duty], holds);
  held_[duty] = holds;
  if (renewed) return;
  duty == fleet::kMaintenanceDuty ? maintenance_.OnLeaseStatus() : discovery_.OnLeaseStatus();
}

void FleetLink::OnFencedValue(const fleet::FencedValue& fenced) {
  if (fenced.role == fleet::kDiscoveryDuty) return discovery_.OnFact(fenced);
  if (fenced.role == fleet::kMaintenanceDuty) return maintenance_.OnFact(fenced);
  if (fenced.role == fleet::kMaintenanceChanges) maintenance_.OnChange(fenced);
}

}  // namespace load_balancer::proxy
