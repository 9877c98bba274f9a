// SPDX-License-Identifier: Apache-2.0
//
// Tests the time between polls of the endpoint list, if discovery does not push the list.
#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "harness.h"

namespace load_balancer {
namespace {

using testing::DefaultSettings;
using testing::Entry;
using testing::Rig;

// A list is valid for max_poll_interval after the last poll. A poll may get no response, fail, or open a
// watch that breaks later, in any order.
TEST(ListPolling, PollsWithinThePollIntervalWhateverTheResultOfEachPoll) {
  constexpr double kMaxInterval = 8000, kStep = 10;
  Settings settings = DefaultSettings();
  settings.must_poll_for_list = true;
  settings.max_poll_interval = Duration(kMaxInterval);
  Rig rig(settings);
  rig.List({Entry(1)}, ListKind::kCached);
  ASSERT_EQ(rig.Count<Subscribe>(), 1) << "it polls at once";
  for (int poll = 0; poll < 200; ++poll) {
    const int result = poll * 7 % 5 % 3;  // 0: no response, 1: failure, 2: a watch that breaks
    if (result == 2) rig.List({Entry(1)}, ListKind::kFull);
    if (result != 0) rig.List({}, ListKind::kFailed);
    double waited = 0;
    do {
      rig.Tick(kStep);
      waited += kStep;
    } while (rig.Count<Subscribe>() == 0 && waited <= kMaxInterval);
    ASSERT_LE(waited, result == 0 ? kMaxInterval / 2 + kStep : kMaxInterval / 4 + kStep) << poll;
  }
}

// PollResult is the result of a poll, or of the watch that it opened.
enum class PollResult { kRejectedAtOnce, kRejectedLate, kTimedOut, kWatchBecameSilent };
// Times in ms: the time-out of a poll or a silent watch (proxy::Discovery::Options::silence), the longest
// time until a response, the time within which a change must be applied, and the step of the
// simulation.
constexpr double kPollTimeout = 3250, kSlowResponse = 2000, kMaxTimeToApply = 5500, kStep = 5;

class PolledDiscovery {
 public:
  PolledDiscovery(double max_interval, std::uint64_t seed) : rig_(PollingSettings(max_interval), seed) {
    rig_.List({Entry(1)}, ListKind::kCached);
    EXPECT_EQ(rig_.Count<Subscribe>(), 1);
  }

  // Returns the time from a poll with this result, or from the beginning of the silence of a watch, to the
  // next poll.
  double TimeToNextPoll(PollResult result) {
    const double began = rig_.now;
    if (result == PollResult::kWatchBecameSilent) rig_.List({Entry(1)}, ListKind::kFull);
    const double duration = result == PollResult::kRejectedAtOnce ? 0
                            : result == PollResult::kRejectedLate ? kSlowResponse
                                                                  : kPollTimeout;
    while (rig_.now - began < duration) {
      rig_.Tick(kStep);
      EXPECT_EQ(rig_.Count<Subscribe>(), 0) << "a poll is in progress";
    }
    rig_.List({}, ListKind::kFailed);
    while (rig_.Count<Subscribe>() == 0 && rig_.now - began < 60000) rig_.Tick(kStep);
    return rig_.now - began;
  }

 private:
  static Settings PollingSettings(double max_interval) {
    Settings settings = DefaultSettings();
    settings.must_poll_for_list = true;
    settings.max_poll_interval = Duration(max_interval);
    return settings;
  }

  Rig rig_;
};

// Tries every sequence of four results. Even if the response to the next poll is slow, the change must be
// applied in time.
TEST(ListPolling, AChangeIsAppliedInTimeAfterEverySequenceOfFailures) {
  const PollResult results[] = {PollResult::kRejectedAtOnce, PollResult::kRejectedLate, PollResult::kTimedOut,
                                PollResult::kWatchBecameSilent};
  for (const double max_interval : {4000.0, 5000.0, 6500.0, 8000.0, 10000.0, 13000.0}) {
    for (int sequence = 0; sequence < 4 * 4 * 4 * 4; ++sequence) {
      PolledDiscovery discovery(max_interval, 1 + sequence);
      for (int i = 0, rest = sequence; i < 4; ++i, rest /= 4)
        ASSERT_LE(discovery.TimeToNextPoll(results[rest % 4]) + kSlowResponse, kMaxTimeToApply + kStep)
            << "max_poll_interval " << max_interval << ", sequence " << sequence << ", poll " << i;
    }
  }
}

// If an overloaded discovery service rejects all polls, they must become rare and be spread over time for
// many proxies.
TEST(ListPolling, RejectedPollsBackOffWithJitter) {
  constexpr double kMaxInterval = 8000;
  std::set<double> times;
  for (std::uint64_t proxy = 1; proxy <= 100; ++proxy) {
    PolledDiscovery discovery(kMaxInterval, proxy);
    double pause = 0, backoff = kMaxInterval / 20;
    for (int poll = 0; poll < 6; ++poll, backoff = std::min(2 * backoff, kMaxInterval / 4)) {
      pause = discovery.TimeToNextPoll(PollResult::kRejectedAtOnce);
      EXPECT_GE(pause, backoff / 2) << poll;
      EXPECT_LE(pause, backoff + kStep) << poll;
    }
    times.insert(pause);
  }
  EXPECT_GE(times.size(), 50u);
}

}  // namespace
}  // namespace load_balancer
