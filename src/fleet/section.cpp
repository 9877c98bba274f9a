// SPDX-License-Identifier: Apache-2.0
#include "fleet/section.h"

#include "base/config/section.h"

namespace load_balancer::fleet {

// 6 times the shortest, which grows with the logarithm of the members.
Milliseconds LongestSuspicion(const FleetSection& fleet) {
  return fleet.probe_interval * (fleet.suspicion_multiplier * 6 * 4);
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
  section.Text("name", &fleet.name);
  section.Address("bind", fleet.on, &fleet.bind);
  section.Addresses("seeds", &fleet.seeds);
  section.Time("probe_interval_ms", 10, 60000, &fleet.probe_interval);
  section.Whole("suspicion_multiplier", 1, 100, &fleet.suspicion_multiplier);
  section.Whole("indirect_probes", 0, 16, &fleet.indirect_probes);
  fleet.advertise = fleet.bind;
  section.Address("advertise", false, &fleet.advertise);
  section.Whole("retransmit_multiplier", 1, 16, &fleet.retransmit_multiplier);
  section.Time("sync_interval_ms", 100, 600000, &fleet.sync_interval);
  section.Time("forget_ms", 1000, 86400000, &fleet.forget_after);
  section.Whole("most_bytes_per_second", 4096, 1 << 30, &fleet.max_bytes_per_second);
  section.Flag("share_verdicts", &fleet.share_ejections);
  section.Whole("server_limit", 0, 1000000, &fleet.server_limit);
  section.Whole("affinity_entries", 0, 65536, &fleet.affinity_entries);
  section.Time("affinity_ttl_ms", 100, 600000, &fleet.affinity_ttl);
  section.Time("most_skew_ms", 1, 60000, &fleet.max_clock_skew);
  section.Time("lease_term_ms", 0, 600000, &fleet.lease_term);
  section.Time("lease_drift_ms", 1, 60000, &fleet.lease_drift);
  if (!fleet.on) return fleet;
  if (fleet.lease_term.count() > 0 && fleet.lease_term < fleet.lease_drift * 6)
    faults->push_back("fleet.lease_term_ms is under 6 times lease_drift_ms");
  if (fleet.lease_term.count() > 0 && fleet.seeds.empty())
    faults->push_back("fleet.seeds is missing, as leases need voters");
  if (fleet.name.empty()) faults->push_back("fleet.name is empty");
  const Milliseconds longest = LongestSuspicion(fleet);
  if (fleet.forget_after < longest)
    faults->push_back("fleet.forget_ms is under " + std::to_string(longest.count()) +
                      ", the longest suspicion");
  return fleet;
}

}  // namespace load_balancer::fleet
