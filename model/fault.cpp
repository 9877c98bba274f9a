// SPDX-License-Identifier: Apache-2.0
#include "model/fault.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <random>

namespace load_balancer::model {
namespace {

using Kind = FaultKind;

constexpr std::array<std::string_view, kFaultKinds> kNames{
    "crash", "crash-no-disk", "stall",     "cut-one-way", "partition",
    "loss",  "delay",         "duplicate", "reorder",     "wall-jump"};

Moment DrawBetween(Moment min, Moment max, std::mt19937_64& random) {
  if (max <= min) return min;
  return Moment(std::uniform_int_distribution<Moment::rep>(min.count(), max.count())(random));
}

// Draws the number of machines that a fault affects.
std::size_t DrawMachineCount(Kind kind, std::size_t machines, std::mt19937_64& random) {
  const auto draw_up_to = [&](std::size_t max) {
    return std::uniform_int_distribution<std::size_t>(1, std::max<std::size_t>(1, max))(random);
  };
  if (kind == Kind::kPartition) return draw_up_to(machines / 2);
  if (kind == Kind::kCutOneWay) return std::min<std::size_t>(machines, 1 + draw_up_to(machines - 1));
  if (kind == Kind::kCrash || kind == Kind::kCrashNoDisk || kind == Kind::kStall)
    return draw_up_to(machines / 3);
  return draw_up_to(machines);
}

// Draws the magnitude of a fault; 0 for kinds that have none.
double DrawMagnitude(Kind kind, const FaultOptions& options, std::mt19937_64& random) {
  const double share = std::generate_canonical<double, 53>(random);
  switch (kind) {
    case Kind::kLoss:
    case Kind::kDuplicate:
    case Kind::kReorder:
      return share * options.max_loss;
    case Kind::kDelay:
      return share * options.max_delay_ms;
    case Kind::kWallJump:
      return std::round((2 * share - 1) * options.max_jump_ms);
    default:
      return 0;
  }
}

Fault DrawFault(const FaultOptions& options, std::mt19937_64& random) {
  Fault fault;
  fault.kind = options.kinds.empty() ? static_cast<Kind>(random() % kFaultKinds)
                                     : options.kinds[random() % options.kinds.size()];
  fault.duration =
      DrawBetween(options.min_duration, std::min(options.max_duration, options.to - options.from), random);
  if (fault.kind == Kind::kWallJump) fault.duration = Moment(0);
  fault.at = DrawBetween(options.from, options.to - fault.duration, random);
  std::vector<std::size_t> all(options.machines);
  std::iota(all.begin(), all.end(), std::size_t{0});
  std::shuffle(all.begin(), all.end(), random);
  all.resize(std::min(all.size(), DrawMachineCount(fault.kind, options.machines, random)));
  fault.machines = std::move(all);
  fault.magnitude = DrawMagnitude(fault.kind, options, random);
  return fault;
}

// Returns the probabilities and delays that a fault adds to the links of the affected machines.
Link LinkChange(const Fault& fault) {
  Link change{0, 0, 0, Moment(0), Moment(0), kMaxReorderDelay};
  if (fault.kind == Kind::kLoss) change.loss = fault.magnitude;
  if (fault.kind == Kind::kDuplicate) change.duplicate = fault.magnitude;
  if (fault.kind == Kind::kReorder) change.reorder = fault.magnitude;
  if (fault.kind == Kind::kDelay) change.max_delay = Moment(static_cast<Moment::rep>(fault.magnitude * 1e6));
  return change;
}

// Starts a fault of the network and schedules its end.
void BeginNetworkFault(World& world, const Fault& fault, const std::vector<std::size_t>& machines) {
  Network& network = world.network();
  Network::Id id = 0;
  if (fault.kind == Kind::kCutOneWay) {
    if (machines.size() < 2) return;
    id = network.Cut({machines.front()}, {machines.begin() + 1, machines.end()});
  } else if (fault.kind == Kind::kPartition) {
    id = network.Partition({machines});
  } else {
    if (machines.empty() && !fault.machines.empty()) return;
    id = network.Degrade(machines, LinkChange(fault));
  }
  world.At(fault.at + fault.duration, [&network, id] { network.End(id); });
}

void Begin(World& world, const Fault& fault) {
  std::vector<std::size_t> machines;
  for (const std::size_t machine : fault.machines)
    if (machine < world.size()) machines.push_back(machine);
  switch (fault.kind) {
    case Kind::kCrash:
    case Kind::kCrashNoDisk:
      for (const std::size_t machine : machines) {
        world.Crash(machine);
        const bool with_disk = fault.kind == Kind::kCrash;
        world.At(fault.at + fault.duration,
                 [&world, machine, with_disk] { world.Restart(machine, with_disk); });
      }
      return;
    case Kind::kStall:
      for (const std::size_t machine : machines) world.Stall(machine, fault.duration);
      return;
    case Kind::kWallJump:
      for (const std::size_t machine : machines)
        world.JumpWallClock(machine, static_cast<std::int64_t>(fault.magnitude));
      return;
    default:
      return BeginNetworkFault(world, fault, machines);
  }
}

}  // namespace

std::string_view Name(FaultKind kind) { return kNames.at(static_cast<std::size_t>(kind)); }

std::vector<Fault> DrawFaults(std::uint64_t seed, const FaultOptions& options) {
  std::mt19937_64 random(seed);
  std::vector<Fault> faults;
  for (std::size_t i = 0; i < options.count && options.machines > 0; ++i)
    faults.push_back(DrawFault(options, random));
  std::stable_sort(faults.begin(), faults.end(), [](const Fault& a, const Fault& b) { return a.at < b.at; });
  return faults;
}

void Inject(World& world, const Fault& fault) {
  world.At(fault.at, [&world, fault] { Begin(world, fault); });
}

}  // namespace load_balancer::model
