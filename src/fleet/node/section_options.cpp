// SPDX-License-Identifier: Apache-2.0
#include "fleet/node/section_options.h"

namespace load_balancer::fleet {

MembershipOptions MembershipOptionsOf(const FleetSection& section, const std::string& name,
                                      std::uint64_t incarnation, std::uint64_t seed) {
  MembershipOptions options;
  options.fleet = section.name;
  options.name = name;
  options.address = section.advertise;
  options.seeds = section.seeds;
  options.probe_interval = section.probe_interval;
  options.suspicion_multiplier = section.suspicion_multiplier;
  options.indirect_probes = section.indirect_probes;
  options.retransmit_multiplier = section.retransmit_multiplier;
  options.sync_interval = section.sync_interval;
  options.forget_after = section.forget_after;
  options.incarnation = incarnation;
  options.seed = seed;
  return options;
}

LeaseOptions LeaseOptionsOf(const FleetSection& section, const std::vector<LeasedRole>& duties,
                            std::uint64_t seed) {
  LeaseOptions options;
  options.address = section.advertise;
  options.voters = section.seeds;
  options.term = section.lease_term;
  options.drift = section.lease_drift;
  options.leased_roles = duties;
  options.seed = seed;
  return options;
}

}  // namespace load_balancer::fleet
