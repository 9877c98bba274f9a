// SPDX-License-Identifier: Apache-2.0
//
// Faults that are injected into a run. They are drawn from a seed and can be written to a trace.
#ifndef LOAD_BALANCER_MODEL_FAULT_H_
#define LOAD_BALANCER_MODEL_FAULT_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "model/program.h"
#include "model/world.h"

namespace load_balancer::model {

// The kinds of faults. Names in backquotes are fields of Fault.
enum class FaultKind {
  kCrash,        // `machines` crash and restart after `duration`
  kCrashNoDisk,  // like kCrash, and the machines lose their disks
  kStall,        // `machines` stall, as World::Stall describes
  kCutOneWay,    // no packets from the first of `machines` to the others
  kPartition,    // no packets between `machines` and all other machines
  kLoss,       // packets from or to `machines` (if empty: all packets) are lost with probability `magnitude`
  kDelay,      // packets chosen as for kLoss are delayed by up to `magnitude` ms
  kDuplicate,  // packets chosen as for kLoss are duplicated with probability `magnitude`
  kReorder,    // packets from or to `machines` are delayed by up to kMaxReorderDelay, with probability
               // `magnitude`
  kWallJump    // the wall clocks of `machines` jump by `magnitude` ms and keep that offset
};
inline constexpr int kFaultKinds = 10;
inline constexpr Moment kMaxReorderDelay = std::chrono::milliseconds(500);
// Returns the name of the kind as it appears in traces.
std::string_view Name(FaultKind kind);

// Describes one fault.
struct Fault {
  Moment at{0}, duration{0};
  FaultKind kind = FaultKind::kCrash;
  std::vector<std::size_t> machines;
  double magnitude = 0;  // the unit depends on the kind
  bool operator==(const Fault&) const = default;
};

// Limits the faults that DrawFaults draws.
struct FaultOptions {
  std::size_t machines = 0;                      // faults affect machines 0 to machines - 1
  std::size_t count = 10;                        // number of faults
  Moment from{0}, to{std::chrono::seconds(60)};  // all faults begin and end in this interval
  Moment min_duration{std::chrono::milliseconds(50)}, max_duration{std::chrono::seconds(5)};
  std::vector<FaultKind> kinds;  // kinds to draw from; if empty, all
  double max_loss = 0.5, max_delay_ms = 1500, max_jump_ms = 60000;
};

// Draws faults from the seed and returns them ordered by the time at which they begin.
std::vector<Fault> DrawFaults(std::uint64_t seed, const FaultOptions& options);

// Schedules a fault in a world. Ignores machines that the world does not have.
void Inject(World& world, const Fault& fault);

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_FAULT_H_
