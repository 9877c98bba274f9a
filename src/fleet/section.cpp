// SPDX-License-Identifier: Apache-2.0
#include "fleet/section.h"

#include "base/config/section.h"
#include "fleet/section_limits.h"

namespace load_balancer::fleet {
namespace {

// The ratio of the longest suspicion to the shortest one, as in Lifeguard.
constexpr int kLongestToShortestSuspicion = 6;
// The shortest suspicion grows with the decimal logarithm of the number of members. This is the logarithm of
// 10,000 members.
constexpr int kLogarithmOfMembers = 4;

void ReadMembership(Section* section, FleetSection* fleet) {
  section->Text("name", &fleet->name);
  section->Address("bind", fleet->on, &fleet->bind);
  section->Addresses("seeds", &fleet->seeds);
  section->Time("probe_interval_ms", kProbeIntervalMs, &fleet->probe_interval);
  section->Whole("suspicion_multiplier", kSuspicionMultiplier, &fleet->suspicion_multiplier);
  section->Whole("indirect_probes", 0, 16, &fleet->indirect_probes);
  fleet->advertise = fleet->bind;
  section->Address("advertise", false, &fleet->advertise);
  section->Whole("retransmit_multiplier", 1, 16, &fleet->retransmit_multiplier);
  section->Time("sync_interval_ms", kSyncIntervalMs, &fleet->sync_interval);
  section->Time("forget_ms", 1000, 86400000, &fleet->forget_after);
  section->Whole("most_bytes_per_second", kMaxBytesPerSecond, &fleet->max_bytes_per_second);
}

void ReadSharedState(Section* section, FleetSection* fleet) {
  section->Flag("share_verdicts", &fleet->share_ejections);
  section->Whole("server_limit", 0, 1000000, &fleet->server_limit);
  section->Whole("affinity_entries", 0, 65536, &fleet->affinity_entries);
  section->Time("affinity_ttl_ms", 100, 600000, &fleet->affinity_ttl);
  section->Time("most_skew_ms", 1, 60000, &fleet->max_clock_skew);
}

void ReadLeases(Section* section, FleetSection* fleet) {
  section->Time("lease_term_ms", 0, kMaxLeaseTermMs, &fleet->lease_term);
  section->Time("lease_drift_ms", kLeaseDriftMs, &fleet->lease_drift);
}

void CheckConsistency(const FleetSection& fleet, Section* section) {
  const bool has_leases = fleet.lease_term.count() > 0;
  if (has_leases) {
    section->RequireMultiple("lease_term_ms", fleet.lease_term, kLeaseTermsPerDrift, "lease_drift_ms",
                             fleet.lease_drift);
  }
  if (has_leases && fleet.seeds.empty())
    section->Fault("seeds", "is missing; leases need the seeds as voters");
  if (fleet.name.empty()) section->Fault("name", "is empty");
  const Milliseconds longest = LongestSuspicion(fleet);
  if (fleet.forget_after < longest)
    section->Fault("forget_ms", "is under " + std::to_string(longest.count()) + ", the longest suspicion");
}

}  // namespace

Milliseconds LongestSuspicion(const FleetSection& fleet) {
  return fleet.probe_interval *
         (fleet.suspicion_multiplier * kLongestToShortestSuspicion * kLogarithmOfMembers);
}

FleetSection ReadFleet(const nlohmann::json& root, std::vector<std::string>* faults) {
  FleetSection fleet;
  Section section(root, "fleet",
                  {"name", "bind", "advertise", "seeds", "probe_interval_ms", "suspicion_multiplier",
                   "indirect_probes", "retransmit_multiplier", "sync_interval_ms", "forget_ms",
                   "most_bytes_per_second", "share_verdicts", "server_limit", "affinity_entries",
                   "affinity_ttl_ms", "most_skew_ms", "lease_term_ms", "lease_drift_ms"},
                  faults);
  fleet.on = section.present();
  ReadMembership(&section, &fleet);
  ReadSharedState(&section, &fleet);
  ReadLeases(&section, &fleet);
  if (fleet.on) CheckConsistency(fleet, &section);
  return fleet;
}

}  // namespace load_balancer::fleet
