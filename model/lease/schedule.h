// SPDX-License-Identifier: Apache-2.0
//
// Random schedules of leases among five or seven members of a World. The faults are drawn from a seed:
// crashes with and without loss of the disk, stalls, network cuts, and lost, delayed, duplicated and
// reordered messages. Wall clocks jump, and monotonic clocks run at any rate within the drift bound. Members
// also release leases, and their actions may reach the resource late or have lasting effects. Voters may be
// changed during the run.
#ifndef LOAD_BALANCER_MODEL_LEASE_SCHEDULE_H_
#define LOAD_BALANCER_MODEL_LEASE_SCHEDULE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "model/fault.h"
#include "model/lease/operator.h"

namespace load_balancer::model {

// The extent of a schedule and the kinds of faults in it.
struct ScheduleOptions {
  std::size_t member_count = 5;
  Moment duration = std::chrono::seconds(60), faults_end = std::chrono::seconds(45);
  std::size_t fault_count = 14;
  VoterChange change = VoterChange::kNone;
  bool has_vote_files = false;  // whether no disk is lost and every voter starts with a file of votes
};

// The outcome of a schedule.
struct ScheduleResult {
  std::optional<std::string> violation;      // the violated property, if any
  std::uint64_t handovers = 0;               // number of times that a new holder or token appeared
  std::uint64_t admitted = 0, rejected = 0;  // number of actions that the resource admitted and rejected
  Moment time_to_holder{0};  // from the end of the last fault until some member keeps the lease to the end
};

// Draws random faults from the seed. Odd seeds have no fault that loses a disk, so tokens must increase
// without exception.
std::vector<Fault> DrawScheduleFaults(std::uint64_t seed, const ScheduleOptions& options);
// Runs the schedule of the seed with the given faults.
ScheduleResult RunSchedule(std::uint64_t seed, const ScheduleOptions& options,
                           const std::vector<Fault>& faults);

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_LEASE_SCHEDULE_H_
