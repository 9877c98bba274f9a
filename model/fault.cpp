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

Moment Between(Moment least, Moment most, std::mt19937_64& random) {
  if (most <= least) return least;
  return Moment(std::uniform_int_distribution<Moment::rep>(least.count(), most.count())(random));
}

std::size_t HowMany(Kind kind, std::size_t machines, std::mt19937_64& random) {
  const auto up_to = [&](std::size_t most) {
    return std::uniform_int_distribution<std::size_t>(1, std::max<std::size_t>(1, most))(random);
  };
  if (kind == Kind::kPartition) return up_to(machines / 2);
  if (kind == Kind::kCutOneWay) return std::min<std::size_t>(machines, 1 + up_to(machines - 1));
  if (kind == Kind::kCrash || kind == Kind::kCrashNoDisk || kind == Kind::kStall) return up_to(machines / 3);
  return up_to(machines);
}

double Figure(Kind kind, const FaultOptions& options, std::mt19937_64& random) {
  const double share = std::generate_canonical<double, 53>(random);
  switch (kind) {
    case Kind::kLoss:
    case Kind::kDuplicate:
    case Kind::kReorder:
      return share * options.most_loss;
    case Kind::kDelay:
      return share * options.most_delay_ms;
    case Kind::kWallJump:
      return std::round((2 * share - 1) * options.most_jump_ms);
    default:
      return 0;
  }
}

Fault Draw(const FaultOptions& options, std::mt19937_64& random) {
  Fault fault;
  fault.kind = options.kinds.empty() ? static_cast<Kind>(random() % kFaultKinds)
                                     : options.kinds[random() % options.kinds.size()];
  fault.lasts = Between(options.least, std::min(options.most, options.to - options.from), random);
  if (fault.kind == Kind::kWallJump) fault.lasts = Moment(0);
  fault.at = Between(options.from, options.to - fault.lasts, random);
  std::vector<std::size_t> all(options.machines);
  std::iota(all.begin(), all.end(), std::size_t{0});
  std::shuffle(all.begin(), all.end(), random);
  all.resize(std::min(all.size(), HowMany(fault.kind, options.machines, random)));
  fault.who = std::move(all);
  fault.figure = Figure(fault.kind, options, random);
  return fault;
}

Link More(const Fault& fault) {
  Link more{0, 0, 0, Moment(0), Moment(0), kReorderHold};
  if (fault.kind == Kind::kLoss) more.loss = fault.figure;
  if (fault.kind == Kind::kDuplicate) more.duplicate = fault.figure;
  if (fault.kind == Kind::kReorder) more.reorder = fault.figure;
  if (fault.kind == Kind::kDelay) more.most = Moment(static_cast<Moment::rep>(fault.figure * 1e6));
  return more;
}

void BeginNetwork(World& world, const Fault& fault, const std::vector<std::size_t>& who) {
  Network& network = world.network();
  Network::Id id = 0;
  if (fault.kind == Kind::kCutOneWay) {
    if (who.size() < 2) return;
    id = network.Cut({who.front()}, {who.begin() + 1, who.end()});
  } else if (fault.kind == Kind::kPartition) {
    id = network.Partition({who});
  } else {
    if (who.empty() && !fault.who.empty()) return;
    id = network.Disturb(who, More(fault));
  }
  world.At(fault.at + fault.lasts, [&network, id] { network.End(id); });
}

void Begin(World& world, const Fault& fault) {
  std::vector<std::size_t> who;
  for (const std::size_t machine : fault.who)
    if (machine < world.size()) who.push_back(machine);
  switch (fault.kind) {
    case Kind::kCrash:
    case Kind::kCrashNoDisk:
      for (const std::size_t machine : who) {
        world.Crash(machine);
        const bool with_disk = fault.kind == Kind::kCrash;
        world.At(fault.at + fault.lasts, [&world, machine, with_disk] { world.Restart(machine, with_disk); });
      }
      return;
    case Kind::kStall:
      for (const std::size_t machine : who) world.Stall(machine, fault.lasts);
      return;
    case Kind::kWallJump:
      for (const std::size_t machine : who) world.JumpWall(machine, static_cast<std::int64_t>(fault.figure));
      return;
    default:
      return BeginNetwork(world, fault, who);
  }
}

}  // namespace

std::string_view Name(FaultKind kind) { return kNames.at(static_cast<std::size_t>(kind)); }

std::vector<Fault> DrawFaults(std::uint64_t seed, const FaultOptions& options) {
  std::mt19937_64 random(seed);
  std::vector<Fault> faults;
  for (std::size_t i = 0; i < options.count && options.machines > 0; ++i)
    faults.push_back(Draw(options, random));
  std::stable_sort(faults.begin(), faults.end(), [](const Fault& a, const Fault& b) { return a.at < b.at; });
  return faults;
}

void Inject(World& world, const Fault& fault) {
  world.At(fault.at, [&world, fault] { Begin(world, fault); });
}

}  // namespace load_balancer::model
