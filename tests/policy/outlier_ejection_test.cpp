// SPDX-License-Identifier: Apache-2.0
//
// Tests outlier detection with traffic: when a server is ejected and when it returns.
#include <gtest/gtest.h>

#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>

#include "policy/scripted_traffic.h"

namespace load_balancer {
namespace {

using testing::At;
using testing::DefaultSettings;
using testing::Entry;
using testing::IsInService;
using testing::next_id;
using testing::RespondFromEachServer;
using testing::Rig;
using testing::SendAndRespond;
using testing::SendBusyTraffic;

TEST(OutlierDetection, EjectsAtTheRequestVolumeAndNotBelow) {
  Rig rig;
  rig.Servers(3);
  RespondFromEachServer(rig, 2, 2);
  EXPECT_TRUE(IsInService(rig, 1)) << "two attempts are below the request volume";
  RespondFromEachServer(rig, 1, 1);
  EXPECT_FALSE(IsInService(rig, 1));
}

TEST(OutlierDetection, TheRequestVolumeIsCountedForEachServer) {
  Rig rig;
  rig.Servers(3);
  // The other servers reach the request volume. The attempts at server 1 do not count, as they are cancelled.
  RespondFromEachServer(rig, 3, 3, Outcome::kCancelled);
  RespondFromEachServer(rig, 2, 2);
  EXPECT_TRUE(IsInService(rig, 1));
  RespondFromEachServer(rig, 1, 1);
  EXPECT_FALSE(IsInService(rig, 1));
}

TEST(OutlierDetection, EjectsNoMoreThanHalfOfTheServers) {
  Settings settings = DefaultSettings();
  settings.max_attempts = 1;
  Rig rig(settings);
  rig.Servers(6);
  std::set<ServerId> used_late;
  for (int i = 0; i < 120; ++i) {
    const RequestId id = next_id++;
    const auto s = rig.Send(id, 2, 10, 5000);
    ASSERT_TRUE(s.has_value());
    if (i >= 80) used_late.insert(*s);
    rig.EndAttempt(id, 0, *s, *s <= 4 ? Outcome::kReset : Outcome::kOk);
  }
  EXPECT_EQ(used_late.size(), 3u) << "four of six always fail, and three are ejected";
}

TEST(OutlierDetection, AFailureShareEqualToTheThresholdDoesNotEject) {
  Rig at;
  at.Servers(3);
  // 2 failures of 5 attempts are exactly the threshold of 0.4. The successes come first, so that the share is
  // not above the threshold earlier.
  for (int i = 0; i < 5; ++i) RespondFromEachServer(at, 1, i >= 3 ? 1 : 0);
  EXPECT_TRUE(IsInService(at, 1));
  Rig over;
  over.Servers(3);
  for (int i = 0; i < 4; ++i) RespondFromEachServer(over, 1, i >= 2 ? 1 : 0);
  EXPECT_FALSE(IsInService(over, 1));
}

TEST(OutlierDetection, TheOnlyServerIsNotEjected) {
  Rig rig;
  rig.Servers(1);
  for (int i = 0; i < 10; ++i) SendAndRespond(rig, Outcome::kError, {1});
  EXPECT_TRUE(IsInService(rig, 1)) << "there is no other server to compare it with";
}

TEST(OutlierDetection, CancelledAndUnsentAttemptsDoNotCount) {
  for (Outcome outcome : {Outcome::kCancelled, Outcome::kNotSent, Outcome::kUnknown}) {
    Settings settings = DefaultSettings();
    settings.max_attempts = 1;
    Rig rig(settings);
    rig.Servers(3);
    RespondFromEachServer(rig, 6, 6, outcome);
    EXPECT_TRUE(IsInService(rig, 1));
  }
}

TEST(OutlierDetection, EveryKindOfFailureCounts) {
  for (Outcome outcome :
       {Outcome::kError, Outcome::kOverloaded, Outcome::kTimeout, Outcome::kConnectFailed, Outcome::kReset}) {
    Settings s = DefaultSettings();
    s.max_attempts = 1;
    Rig rig(s);
    rig.Servers(3);
    RespondFromEachServer(rig, 3, 3, outcome);
    EXPECT_FALSE(IsInService(rig, 1)) << static_cast<int>(outcome);
  }
}

TEST(OutlierDetection, AServerReturnsByTimerAfterTheBaseEjectionTime) {
  Rig rig;
  rig.Servers(3);
  RespondFromEachServer(rig, 3, 3);
  EXPECT_FALSE(IsInService(rig, 1));
  rig.Tick(1999);
  EXPECT_FALSE(IsInService(rig, 1));
  rig.Tick(1);
  EXPECT_TRUE(IsInService(rig, 1)) << "the base ejection time has passed";
}

TEST(OutlierDetection, TheMultiplierFallsAtReturnAndAtEachInterval) {
  Rig rig;
  rig.Servers(3);
  SendBusyTraffic(rig);
  rig.Tick(1500);
  // The multiplier is 1 at the ejection, 0 at the return and 1 at the next ejection, which therefore lasts as
  // long as the first (gRFC A50, step 6b).
  for (int round = 0; round < 3; ++round) {
    RespondFromEachServer(rig, 3, 3);
    EXPECT_FALSE(IsInService(rig, 1));
    rig.Tick(2000);
    EXPECT_TRUE(IsInService(rig, 1));
    rig.Tick(2000);
  }
}

TEST(OutlierDetection, TheMultiplierFallsAtReturnBeforeAnyInterval) {
  Rig rig;
  rig.Servers(3);
  SendBusyTraffic(rig);
  rig.Tick(1500);
  rig.Tick(1000);  // half of an interval has passed
  RespondFromEachServer(rig, 3, 3);
  rig.Tick(1500);  // the interval ends while the server is ejected
  rig.Tick(500);
  EXPECT_TRUE(IsInService(rig, 1));
  RespondFromEachServer(rig, 3, 3);
  EXPECT_FALSE(IsInService(rig, 1));
  rig.Tick(2000);
  EXPECT_TRUE(IsInService(rig, 1))
      << "the ejection would last twice as long if the multiplier had not fallen";
}

// In a large fleet, a proxy never reaches the request volume of three attempts at a server within an
// interval.
TEST(OutlierDetection, WithSparseTrafficFailuresThatAreUnlikelyByChanceEject) {
  for (const bool failing_elsewhere : {false, true}) {
    Rig rig;
    rig.Servers(8);
    int sent = 0, after_two = 0;
    for (int i = 0; i < 120; ++i) {
      rig.Tick(250);
      const RequestId id = next_id++;
      const auto s = rig.Send(id, 2, 10);
      ASSERT_TRUE(s.has_value());
      const bool fails = *s == 1 || (failing_elsewhere && i % 3 == 0);
      rig.EndAttempt(id, 0, *s, fails ? Outcome::kError : Outcome::kOk);
      if (*s == 1 && ++sent > 2) ++after_two;
    }
    if (!failing_elsewhere) {
      EXPECT_LE(sent, 7)
          << "one or two failures eject; without ejections it would get an eighth of 120, which is 15";
    } else {
      EXPECT_GT(after_two, 2)
          << "a third of the attempts fail at all servers, so two failures are not significant";
    }
  }
}

TEST(OutlierDetection, TheMaximumEjectionPercentLeavesServersInService) {
  Rig rig;
  rig.Servers(4);
  for (int i = 0; i < 60; ++i) {
    const RequestId id = next_id++;
    const auto s = rig.Send(id, 2, 10, 5000);
    ASSERT_TRUE(s.has_value());
    rig.EndAttempt(id, 0, *s, Outcome::kError);
  }
  std::set<ServerId> in_service;
  for (ServerId s = 1; s <= 4; ++s) {
    if (IsInService(rig, s)) in_service.insert(s);
  }
  EXPECT_GE(in_service.size(), 2u) << "no more than half of the servers are ejected";
}

// Simulates six servers for 20 s. `worse` percent of the attempts at server 1 fail, and `usual` percent at
// the others. Returns the number of ejections of server 1 and of the others.
std::pair<int, int> Ejections(int usual, int worse) {
  Rig rig;
  rig.Servers(6);
  std::mt19937 chance(7);
  int first = 0, others = 0;
  for (int i = 0; i < 10000; ++i) {
    const RequestId id = next_id++;
    const auto s = rig.Send(id, 2, 10, 5000);
    if (!s) ADD_FAILURE() << "the request was queued";
    if (!s) break;
    const bool fails = static_cast<int>(chance() % 100) < (*s == 1 ? worse : usual);
    rig.EndAttempt(id, 0, *s, fails ? Outcome::kReset : Outcome::kOk);
    for (const Action& a : rig.actions) {
      const auto* log = std::get_if<Log>(&a);
      if (!log || log->text.find("ejected:") == std::string::npos) continue;
      ++(log->text.find("server 1 ") != std::string::npos ? first : others);
    }
    rig.Tick(2);
  }
  return {first, others};
}

// If connections to all servers break at random, two of three attempts fail at some server in each interval.
TEST(OutlierDetection, FailuresAtAllServersEjectNoneByChance) {
  const auto [first, others] = Ejections(10, 10);
  EXPECT_LE(first + others, 1);
}

TEST(OutlierDetection, AWorseServerIsEjectedWhereAllFailSometimes) {
  for (const int worse : {60, 90}) {
    const auto [first, others] = Ejections(10, worse);
    EXPECT_GE(first, 1) << worse;
    EXPECT_LE(others, 1) << worse;
  }
}

TEST(OutlierDetection, AFleetThatAlwaysFailsEjectsNoServer) {
  Rig rig;
  rig.Servers(3);
  for (int i = 0; i < 40; ++i) SendAndRespond(rig, Outcome::kError, {1, 2, 3});
  int in_service = 0;
  for (ServerId s = 1; s <= 3; ++s) in_service += IsInService(rig, s);
  EXPECT_EQ(in_service, 3);
}

// If half of the other attempts fail, twice their failure share is 1 or more. A server that always fails
// could not exceed such a threshold.
TEST(OutlierDetection, AServerThatAlwaysFailsIsEjectedEvenIfOthersFailHalfOfTheTime) {
  Settings settings = DefaultSettings();
  settings.max_attempts = 1;
  Rig rig(settings);
  rig.Servers(4);
  // Each server gets 16 attempts, since six attempts may all fail by chance at a failure rate of one half.
  for (int i = 0; i < 64; ++i) {
    const RequestId id = next_id++;
    const auto s = rig.Send(id, 2, 10, 5000);
    ASSERT_TRUE(s.has_value());
    rig.EndAttempt(id, 0, *s, *s == 1 || i % 2 ? Outcome::kError : Outcome::kOk);
  }
  EXPECT_FALSE(IsInService(rig, 1));
}

TEST(OutlierDetection, AnEjectionOutlastsARemovalFromTheList) {
  Rig rig;
  rig.Servers(3);
  RespondFromEachServer(rig, 3, 3);
  rig.List({Entry(1, 0, 0, ServerState::kGone)}, ListKind::kDelta);
  rig.List({Entry(1)}, ListKind::kDelta);
  EXPECT_FALSE(IsInService(rig, 1));
}

}  // namespace
}  // namespace load_balancer
