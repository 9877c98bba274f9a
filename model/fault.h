// SPDX-License-Identifier: Apache-2.0
//
// Faults of a run: drawn from a seed, written down, played again.
#ifndef LOAD_BALANCER_MODEL_FAULT_H_
#define LOAD_BALANCER_MODEL_FAULT_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "model/program.h"
#include "model/world.h"

namespace load_balancer::model {

enum class FaultKind {
  kCrash,        // of each of `who`; restarts after `lasts`
  kCrashNoDisk,  // the same, and the disk is lost
  kStall,        // of each of `who`
  kCutOneWay,    // from the first of `who` to the others of it
  kPartition,    // `who` from all others
  kLoss,         // probability `figure`, on what goes from or to `who` (empty: everywhere)
  kDelay,        // of up to `figure` ms more, likewise
  kDuplicate,    // probability `figure`, likewise
  kReorder,      // probability `figure`, likewise; held for up to kReorderHold
  kWallJump      // of each of `who` by `figure` ms, at once and for good
};
inline constexpr int kFaultKinds = 10;
inline constexpr Moment kReorderHold = std::chrono::milliseconds(500);
std::string_view Name(FaultKind kind);

struct Fault {
  Moment at{0}, lasts{0};
  FaultKind kind = FaultKind::kCrash;
  std::vector<std::size_t> who;
  double figure = 0;
  bool operator==(const Fault&) const = default;
};

struct FaultOptions {
  std::size_t machines = 0;                                                    // 0 to machines - 1 may be hit
  std::size_t count = 10;                                                      // faults
  Moment from{0}, to{std::chrono::seconds(60)};                                // all begin and end within
  Moment least{std::chrono::milliseconds(50)}, most{std::chrono::seconds(5)};  // that one lasts
  std::vector<FaultKind> kinds;                                                // to draw from; empty: all
  double most_loss = 0.5, most_delay_ms = 1500, most_jump_ms = 60000;
};

// A function of the seed and the options, in the order of their beginnings.
std::vector<Fault> DrawFaults(std::uint64_t seed, const FaultOptions& options);

// To happen at its moment. Machines that the world does not have are passed over.
void Inject(World& world, const Fault& fault);

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_FAULT_H_
