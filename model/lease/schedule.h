// SPDX-License-Identifier: Apache-2.0
//
// Leases among five or seven members of a World, under faults drawn from a seed: crashes with and without
// disks, stalls, cuts, loss, delay, doubled and overtaken messages, wall clocks that jump, monotonic clocks
// at any rate within the bound, give-backs, time between an act's check and its reaching the resource, acts
// with effects that last, and voters that are changed.
#ifndef LOAD_BALANCER_MODEL_LEASE_SCHEDULE_H_
#define LOAD_BALANCER_MODEL_LEASE_SCHEDULE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "model/fault.h"
#include "model/lease/operator.h"

namespace load_balancer::model {

struct ScheduleOptions {
  std::size_t members = 5;
  Moment length = std::chrono::seconds(60), faults_until = std::chrono::seconds(45);
  std::size_t faults = 14;
  VoterChange change = VoterChange::kNone;
  bool files = false;  // no disk is lost, and every voter begins with a file of votes
};

struct ScheduleResult {
  std::optional<std::string> broken;
  std::uint64_t leases = 0, acts = 0, refused = 0;  // hand-offs; at the resource: taken, refused
  Moment quiet{0};                                  // from the last fault's end until somebody held for good
};

// The seed's faults. Of odd seeds none loses a disk, so that tokens must grow without exception.
std::vector<Fault> FaultsOf(std::uint64_t seed, const ScheduleOptions& options);
ScheduleResult RunSchedule(std::uint64_t seed, const ScheduleOptions& options,
                           const std::vector<Fault>& faults);

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_LEASE_SCHEDULE_H_
