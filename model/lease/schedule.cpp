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

constexpr milliseconds kPollInterval(100);
constexpr int kMaxTermsToHolder =
    3;  // maximum time from the last fault to a holder, in lease terms; docs/leases.md states this bound
// Maximum offset of a clock rate from 1, as a fraction of the drift bound.
constexpr double kUsedDriftFraction = 0.999;

bool DoDisksSurvive(std::uint64_t seed, const ScheduleOptions& options) {
  return options.has_vote_files || seed % 2 == 1;
}

Endpoint AddressOf(std::size_t index) {
  return {boost::asio::ip::address_v4::loopback(), static_cast<unsigned short>(index + 1)};
}

// Returns a random clock rate. Half of the rates are at the drift bound, above or below 1; the others are
// within it.
double DrawClockRate(std::mt19937_64& random, double bound) {
  const double rate_offset = std::uniform_real_distribution<>(-2, 2)(random);
  return 1 + std::clamp(rate_offset, -1.0, 1.0) * bound * kUsedDriftFraction;
}

class Schedule {
 public:
  Schedule(std::uint64_t seed, const ScheduleOptions& options)
      : options_(options),
        run_(MakeRun(seed, options)),
        world_(seed),
        operator_(world_, run_, seed, options.change) {
    Link link;
    link.max_delay = milliseconds(5);
    world_.network().SetDefault(link);
    std::mt19937_64 random(seed);
    const double bound = static_cast<double>(run_.drift.count()) / static_cast<double>(run_.term.count());
    for (std::size_t i = 0; i < options.member_count; ++i) {
      MachineClock clock;
      clock.rate = DrawClockRate(random, bound);
      clock.offset = seconds(1 + random() % 1000000);
      clock.wall_ahead_ms = static_cast<std::int64_t>(random() % 2000) - 1000;
      world_.Add(
          std::string(1, static_cast<char>('A' + i)), AddressOf(i),
          [this, i](Host& host) {
            // The first incarnation of each member gets a file of votes, since no earlier incarnation has
            // written one.
            if (options_.has_vote_files && run_.incarnations < static_cast<int>(options_.member_count))
              WriteVoteFile(host, i);
            return std::make_unique<LeaseMember>(host, world_, run_, i);
          },
          clock);
    }
    operator_.Start(options.faults_end - seconds(15));
    for (int i = 0; i < 4; ++i)
      ReleaseAt(Moment(seconds(random() % 45)), Moment(milliseconds(random() % 8000)));
  }

  ScheduleResult Run(const std::vector<Fault>& faults) {
    for (const Fault& fault : faults) Inject(world_, fault);
    Moment holder_since(-1), disturbed_until = options_.faults_end;
    for (Moment at(0); at <= options_.duration && !run_.violation; at += kPollInterval) {
      world_.RunUntil(at);
      if (!operator_.is_done()) disturbed_until = std::max(disturbed_until, at);
      if (!HasHolder())
        holder_since = Moment(-1);
      else if (holder_since < Moment(0))
        holder_since = at;
    }
    ScheduleResult result{run_.violation, run_.handovers, run_.admitted, run_.rejected, {}};
    if (holder_since < Moment(0))
      result.time_to_holder = options_.duration;
    else
      result.time_to_holder = std::max(Moment(0), holder_since - disturbed_until);
    // Voters that were changed two at a time may be unable to vote until the end.
    const bool must_have_holder = options_.change != VoterChange::kTwoAtOnce;
    if (!result.violation && must_have_holder && result.time_to_holder > kMaxTermsToHolder * run_.term)
      result.violation = "no member holds the lease three terms after the last fault";
    return result;
  }

 private:
  static LeaseRun MakeRun(std::uint64_t seed, const ScheduleOptions& options) {
    LeaseRun run;
    run.disks_survive = DoDisksSurvive(seed, options);
    run.are_leases_announced = seed % 3 != 0;
    run.drift = milliseconds(seed % 4 < 2 ? 100 : 500);
    run.running_members.resize(options.member_count);
    for (std::size_t i = 0; i < options.member_count; ++i) run.members.push_back(AddressOf(i));
    if (options.change != VoterChange::kNone) run.expected_failures.insert(&fleet::kVoterSetMismatch);
    if (options.change == VoterChange::kTwoAtOnce)
      run.expected_failures.insert(&fleet::kVoterSetChangeTooLarge);
    return run;
  }
  void WriteVoteFile(Host& host, std::size_t member) {
    const auto& voters = run_.voters[member];
    if (std::find(voters.begin(), voters.end(), host.Address()) != voters.end())
      DiskVotes(host.Disk(), 0, voters).Save({});
  }
  bool HasHolder() const {
    return std::any_of(run_.running_members.begin(), run_.running_members.end(),
                       [](const LeaseMember* member) { return member && member->IsActing(); });
  }
  // Makes each acting member release its lease at the time `at`, and request leases again after `pause`.
  void ReleaseAt(Moment at, Moment pause) {
    world_.At(at, [this, at, pause] {
      for (std::size_t i = 0; i < run_.running_members.size(); ++i) {
        if (!run_.running_members[i] || !run_.running_members[i]->IsActing()) continue;
        run_.running_members[i]->Release();
        world_.At(std::min(at + pause, options_.faults_end), [this, i] {
          if (run_.running_members[i]) run_.running_members[i]->Resume();
        });
      }
    });
  }

  const ScheduleOptions options_;
  LeaseRun run_;
  World world_;  // destroyed before run_, which its programs use
  Operator operator_;
};

}  // namespace

std::vector<Fault> DrawScheduleFaults(std::uint64_t seed, const ScheduleOptions& options) {
  FaultOptions fault_options;
  fault_options.machines = options.member_count;
  fault_options.count = options.fault_count;
  fault_options.to = options.faults_end;
  fault_options.kinds = {FaultKind::kCrash,     FaultKind::kStall,   FaultKind::kCutOneWay,
                         FaultKind::kPartition, FaultKind::kLoss,    FaultKind::kDelay,
                         FaultKind::kDuplicate, FaultKind::kReorder, FaultKind::kWallJump};
  if (!DoDisksSurvive(seed, options)) fault_options.kinds.push_back(FaultKind::kCrashNoDisk);
  std::vector<Fault> faults = DrawFaults(seed, fault_options);
  // In one of eight seeds all members crash at once and all wall clocks go back.
  if (seed % 8 == 1) {
    std::vector<std::size_t> all(options.member_count);
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
