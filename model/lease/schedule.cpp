// SPDX-License-Identifier: Apache-2.0
#include "model/lease/schedule.h"

#include <algorithm>
#include <memory>

#include "fleet/lease/failures.h"
#include "model/lease/member.h"
#include "model/world.h"

namespace load_balancer::model {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kLook(100);
constexpr int kMostTerms = 3;      // from the last fault to a holder, as docs/leases.md states
constexpr double kWithin = 0.999;  // of the bound that clocks keep

bool DisksLast(std::uint64_t seed, const ScheduleOptions& options) { return options.files || seed % 2 == 1; }

Endpoint AddressOf(std::size_t index) {
  return {boost::asio::ip::address_v4::loopback(), static_cast<unsigned short>(index + 1)};
}

// At the bound, either way, as often as within.
double RateOf(std::mt19937_64& random, double bound) {
  const double at = std::uniform_real_distribution<>(-2, 2)(random);
  return 1 + std::clamp(at, -1.0, 1.0) * bound * kWithin;
}

class Schedule {
 public:
  Schedule(std::uint64_t seed, const ScheduleOptions& options)
      : options_(options),
        arena_(ArenaOf(seed, options)),
        world_(seed),
        operator_(world_, arena_, seed, options.change) {
    Link link;
    link.max_delay = milliseconds(5);
    world_.network().SetDefault(link);
    std::mt19937_64 random(seed);
    const double bound = static_cast<double>(arena_.drift.count()) / static_cast<double>(arena_.term.count());
    for (std::size_t i = 0; i < options.members; ++i) {
      MachineClock clock;
      clock.rate = RateOf(random, bound);
      clock.offset = seconds(1 + random() % 1000000);
      clock.wall_ahead_ms = static_cast<std::int64_t>(random() % 2000) - 1000;
      world_.Add(
          std::string(1, static_cast<char>('A' + i)), AddressOf(i),
          [this, i](Host& host) {
            // None but the first lives begin with a file that no life before has written.
            if (options_.files && arena_.lives < static_cast<int>(options_.members)) WriteFile(host, i);
            return std::make_unique<LeaseMember>(host, world_, arena_, i);
          },
          clock);
    }
    operator_.Begin(options.faults_until - seconds(15));
    for (int i = 0; i < 4; ++i)
      GiveBackAt(Moment(seconds(random() % 45)), Moment(milliseconds(random() % 8000)));
  }

  ScheduleResult Run(const std::vector<Fault>& faults) {
    for (const Fault& fault : faults) Inject(world_, fault);
    Moment held_since(-1), disturbed_until = options_.faults_until;
    for (Moment at(0); at <= options_.length && !arena_.broken; at += kLook) {
      world_.RunUntil(at);
      if (!operator_.done()) disturbed_until = std::max(disturbed_until, at);
      if (!Held())
        held_since = Moment(-1);
      else if (held_since < Moment(0))
        held_since = at;
    }
    ScheduleResult result{arena_.broken, arena_.leases, arena_.acts, arena_.refused, {}};
    if (held_since < Moment(0))
      result.quiet = options_.length;
    else
      result.quiet = std::max(Moment(0), held_since - disturbed_until);
    // Voters that were changed two at once may not vote for good.
    const bool must_hold = options_.change != VoterChange::kTwoAtOnce;
    if (!result.broken && must_hold && result.quiet > kMostTerms * arena_.term)
      result.broken = "nobody holds, three terms after the last fault";
    return result;
  }

 private:
  static Arena ArenaOf(std::uint64_t seed, const ScheduleOptions& options) {
    Arena arena;
    arena.disks_last = DisksLast(seed, options);
    arena.told = seed % 3 != 0;
    arena.drift = milliseconds(seed % 4 < 2 ? 100 : 500);
    arena.present.resize(options.members);
    for (std::size_t i = 0; i < options.members; ++i) arena.members.push_back(AddressOf(i));
    if (options.change != VoterChange::kNone) arena.expected.insert(&fleet::kVoterSetMismatch);
    if (options.change == VoterChange::kTwoAtOnce) arena.expected.insert(&fleet::kVoterSetLeap);
    return arena;
  }
  void WriteFile(Host& host, std::size_t member) {
    const auto& voters = arena_.voters[member];
    if (std::find(voters.begin(), voters.end(), host.Address()) != voters.end())
      DiskVotes(host.Disk(), 0, voters).Save({});
  }
  bool Held() const {
    return std::any_of(arena_.present.begin(), arena_.present.end(),
                       [](const LeaseMember* member) { return member && member->Acts(); });
  }
  // Whoever acts then; it asks again later.
  void GiveBackAt(Moment at, Moment lasts) {
    world_.At(at, [this, at, lasts] {
      for (std::size_t i = 0; i < arena_.present.size(); ++i) {
        if (!arena_.present[i] || !arena_.present[i]->Acts()) continue;
        arena_.present[i]->GiveBack();
        world_.At(std::min(at + lasts, options_.faults_until), [this, i] {
          if (arena_.present[i]) arena_.present[i]->Resume();
        });
      }
    });
  }

  const ScheduleOptions options_;
  Arena arena_;
  World world_;  // its programs end before the arena does
  Operator operator_;
};

}  // namespace

std::vector<Fault> FaultsOf(std::uint64_t seed, const ScheduleOptions& options) {
  FaultOptions drawn;
  drawn.machines = options.members;
  drawn.count = options.faults;
  drawn.to = options.faults_until;
  drawn.kinds = {FaultKind::kCrash,     FaultKind::kStall,   FaultKind::kCutOneWay,
                 FaultKind::kPartition, FaultKind::kLoss,    FaultKind::kDelay,
                 FaultKind::kDuplicate, FaultKind::kReorder, FaultKind::kWallJump};
  if (!DisksLast(seed, options)) drawn.kinds.push_back(FaultKind::kCrashNoDisk);
  std::vector<Fault> faults = DrawFaults(seed, drawn);
  // All at once, with clocks that have gone back, in one seed of eight.
  if (seed % 8 == 1) {
    std::vector<std::size_t> all(options.members);
    for (std::size_t i = 0; i < all.size(); ++i) all[i] = i;
    faults.push_back({seconds(20), Moment(0), FaultKind::kWallJump, all, -50000});
    faults.push_back({seconds(20), milliseconds(50), FaultKind::kCrash, all, 0});
  }
  return faults;
}

ScheduleResult RunSchedule(std::uint64_t seed, const ScheduleOptions& options,
                           const std::vector<Fault>& faults) {
  return Schedule(seed, options).Run(faults);
}

}  // namespace load_balancer::model
