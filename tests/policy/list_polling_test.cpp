// SPDX-License-Identifier: Apache-2.0
//
// Where the list must be polled: how long the module goes without polling.
#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "harness.h"

namespace load_balancer {
namespace {

using testing::DefaultSettings;
using testing::Entry;
using testing::Rig;

// The list is valid for the poll interval from the last poll. Each call may stay unanswered, fail, or be
// followed by silence, in any order.
TEST(ListPolling, PollsWithinThePollIntervalWhateverBecomesOfThePolls) {
  constexpr double kWithin = 8000, kStep = 10;
  Settings settings = DefaultSettings();
  settings.must_poll_for_list = true;
  settings.max_poll_interval = Duration(kWithin);
  Rig rig(settings);
  rig.List({Entry(1)}, ListKind::kCached);
  ASSERT_EQ(rig.Count<Subscribe>(), 1) << "at once";
  for (int call = 0; call < 200; ++call) {
    const int becomes = call * 7 % 5 % 3;  // of the call: 0 unanswered, 1 failed, 2 watched and then broken
    if (becomes == 2) rig.List({Entry(1)}, ListKind::kFull);
    if (becomes != 0) rig.List({}, ListKind::kFailed);
    double waited = 0;
    do {
      rig.Tick(kStep);
      waited += kStep;
    } while (rig.Count<Subscribe>() == 0 && waited <= kWithin);
    ASSERT_LE(waited, becomes == 0 ? kWithin / 2 + kStep : kWithin / 4 + kStep) << call;
  }
}

// What becomes of a call, or of the watch that it opened, and how long discovery's side and the sockets take
// for it at most (proxy::Discovery::Options::silence).
enum class Fate { kRefusedAtOnce, kRefusedLate, kGivenUp, kWatchFellSilent };
constexpr double kGivenUpAfter = 3250, kSlowAnswer = 2000, kInForce = 5500, kStep = 5;

class AskedDiscovery {
 public:
  AskedDiscovery(double within, std::uint64_t seed) : rig_(With(within), seed) {
    rig_.List({Entry(1)}, ListKind::kCached);
    EXPECT_EQ(rig_.Count<Subscribe>(), 1);
  }

  // From the moment before a call that comes to this end, or in which a watch falls silent, to the next call.
  double TimeToNextCall(Fate fate) {
    const double began = rig_.now;
    if (fate == Fate::kWatchFellSilent) rig_.List({Entry(1)}, ListKind::kFull);
    const double lasts = fate == Fate::kRefusedAtOnce ? 0
                         : fate == Fate::kRefusedLate ? kSlowAnswer
                                                      : kGivenUpAfter;
    while (rig_.now - began < lasts) {
      rig_.Tick(kStep);
      EXPECT_EQ(rig_.Count<Subscribe>(), 0) << "a call is under way";
    }
    rig_.List({}, ListKind::kFailed);
    while (rig_.Count<Subscribe>() == 0 && rig_.now - began < 60000) rig_.Tick(kStep);
    return rig_.now - began;
  }

 private:
  static Settings With(double within) {
    Settings settings = DefaultSettings();
    settings.must_poll_for_list = true;
    settings.max_poll_interval = Duration(within);
    return settings;
  }

  Rig rig_;
};

// Every sequence of four ends: whichever is the last, the next call is answered slowly and in time.
TEST(ListPolling, AChangeIsInForceInTimeAfterEverySequenceOfFailures) {
  const Fate fates[] = {Fate::kRefusedAtOnce, Fate::kRefusedLate, Fate::kGivenUp, Fate::kWatchFellSilent};
  for (const double within : {4000.0, 5000.0, 6500.0, 8000.0, 10000.0, 13000.0}) {
    for (int sequence = 0; sequence < 4 * 4 * 4 * 4; ++sequence) {
      AskedDiscovery discovery(within, 1 + sequence);
      for (int i = 0, rest = sequence; i < 4; ++i, rest /= 4)
        ASSERT_LE(discovery.TimeToNextCall(fates[rest % 4]) + kSlowAnswer, kInForce + kStep)
            << "asked within " << within << ", sequence " << sequence << ", call " << i;
    }
  }
}

// An overloaded discovery service rejects all polls: they become rare, and those of many proxies are spread.
TEST(ListPolling, RejectedPollsBackOffWithJitter) {
  constexpr double kWithin = 8000;
  std::set<double> times;
  for (std::uint64_t proxy = 1; proxy <= 100; ++proxy) {
    AskedDiscovery discovery(kWithin, proxy);
    double pause = 0, least = kWithin / 20;
    for (int call = 0; call < 6; ++call, least = std::min(2 * least, kWithin / 4)) {
      pause = discovery.TimeToNextCall(Fate::kRefusedAtOnce);
      EXPECT_GE(pause, least / 2) << call;
      EXPECT_LE(pause, least + kStep) << call;
    }
    times.insert(pause);
  }
  EXPECT_GE(times.size(), 50u);
}

}  // namespace
}  // namespace load_balancer
