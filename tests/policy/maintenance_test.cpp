// SPDX-License-Identifier: Apache-2.0
//
// The module's part in operators' commands: maintenance of servers, hot restart, and changed settings.
#include <gtest/gtest.h>

#include "harness.h"

namespace load_balancer::testing {
namespace {

TEST(Maintenance, NothingIsDispatchedToItsServerWhateverListsSay) {
  Rig rig;
  rig.Handle(StartMaintenance{2});  // before any list names it
  rig.Servers(2);
  RequestId id = 0;
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(rig.Send(++id), 1u);
    rig.EndAttempt(id, 0, 1, Outcome::kOk);
  }
  rig.List({Entry(1)});
  rig.List({Entry(1), Entry(2, 0, 0, ServerState::kReady, 99000)});
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(rig.Send(++id), 1u);
    rig.EndAttempt(id, 0, 1, Outcome::kOk);
  }
}

TEST(Maintenance, ARetryDoesNotGoToItsServer) {
  Rig rig;
  rig.Servers(2);
  const auto first = rig.Send(1);
  ASSERT_TRUE(first);
  rig.Handle(StartMaintenance{3 - *first});
  rig.EndAttempt(1, 0, *first, Outcome::kConnectFailed);
  EXPECT_NE(rig.SentTo(1), 3 - *first);
}

TEST(Maintenance, StartedTwiceAndEndedOnceIsOver) {
  Rig rig;
  rig.Servers(1);
  rig.Handle(StartMaintenance{1});
  rig.Handle(StartMaintenance{1});
  EXPECT_FALSE(rig.Send(1));
  rig.Handle(EndMaintenance{1});
  rig.Tick(2000);
  rig.Handle(EndMaintenance{1});
  EXPECT_EQ(rig.Send(2), 1u);
}

// Responses of two equally fast servers for `ms`.
std::map<ServerId, int> Serve(Rig& rig, RequestId& id, double ms) {
  std::map<ServerId, int> got;
  for (double end = rig.now + ms; rig.now < end; rig.now += 10) {
    const auto server = rig.Send(++id, 0, 20);
    if (!server) continue;
    ++got[*server];
    rig.EndAttempt(id, 0, *server, Outcome::kOk, 5);
  }
  return got;
}

TEST(Maintenance, AServerThatReturnsIsInSlowStartAndIsUsedSoon) {
  Rig rig;
  rig.Servers(2);
  RequestId id = 0;
  EXPECT_GT(Serve(rig, id, 3000)[1], 50);
  rig.Handle(StartMaintenance{1});
  EXPECT_EQ(Serve(rig, id, 3000)[1], 0);
  rig.Handle(EndMaintenance{1});
  auto got = Serve(rig, id, 1000);
  EXPECT_GT(got[1], 0);
  EXPECT_LT(got[1], got[2]);
}

TEST(Maintenance, EjectionEndsWithTheReturn) {
  Rig rig;
  rig.Servers(4);
  RequestId id = 0;
  for (int i = 0; i < 40; ++i, rig.now += 5) {
    const auto server = rig.Send(++id, 2);
    if (server) rig.EndAttempt(id, 0, *server, *server == 1 ? Outcome::kError : Outcome::kOk);
  }
  const auto of_one = [&] {
    int picked = 0;
    for (int i = 0; i < 20; ++i) {
      const auto server = rig.Send(++id, 2);
      picked += server == 1u;
      if (server) rig.EndAttempt(id, 0, *server, Outcome::kOk);
    }
    return picked;
  };
  ASSERT_EQ(of_one(), 0) << "ejected";
  rig.Handle(StartMaintenance{1});
  rig.Handle(EndMaintenance{1});
  rig.Tick(1200);
  EXPECT_GT(of_one(), 0);
}

TEST(Maintenance, TwoProcessesShareOneSlowStartBudget) {
  const auto sent_to_cold = [](int processes) {
    Rig rig;
    rig.Handle(ProcessCount{processes});
    rig.Servers(2);
    RequestId id = 0;
    Serve(rig, id, 2000);
    rig.List({Entry(1), Entry(2), Entry(3, 0, 0, ServerState::kReady, rig.now)});
    return Serve(rig, id, 1000)[3];
  };
  const int alone = sent_to_cold(1), shared = sent_to_cold(2);
  EXPECT_GT(shared, 0);
  EXPECT_LT(shared, alone);
}

// ---- settings that change -----------------------------------------------------------------------------
// The classes of DefaultSettings(): 0 idempotent, 1 by idempotency key, 2 not idempotent.
NewSettings Change(std::vector<int> kept, int max_attempts = 4) {
  Settings settings = DefaultSettings();
  std::vector<ClassSettings> classes;
  for (const int from : kept)
    classes.push_back(from < 0 ? Class(Idempotency::kIdempotent)
                               : settings.classes[static_cast<std::size_t>(from)]);
  settings.classes = classes;
  settings.max_attempts = max_attempts;
  NewSettings change;
  change.settings = std::make_shared<const Settings>(settings);
  change.previous_class_indices = std::move(kept);
  return change;
}

TEST(SettingsChange, OpenRequestsKeepTheRulesOfTheirClass) {
  Rig rig;
  rig.Servers(3);
  const auto unsafe = rig.Send(1, 2);
  const auto safe = rig.Send(2, 0);
  ASSERT_TRUE(unsafe && safe);
  rig.Handle(Change({2, 0}));  // 1 is dropped, the others change places
  rig.EndAttempt(1, 0, *unsafe, Outcome::kReset);
  EXPECT_FALSE(rig.SentTo(1)) << "unsafe still, though its index is a safe class now";
  EXPECT_EQ(rig.Count<FailRequest>(), 1);
  rig.EndAttempt(2, 0, *safe, Outcome::kReset);
  EXPECT_TRUE(rig.SentTo(2));
  const auto fresh = rig.Send(3, 0);
  ASSERT_TRUE(fresh);
  rig.EndAttempt(3, 0, *fresh, Outcome::kReset);
  EXPECT_EQ(rig.Count<FailRequest>(), 1) << "the unsafe class has index 0 now";
}

TEST(SettingsChange, ARequestOfADroppedClassIsFinished) {
  Rig rig;
  rig.Servers(3);
  const auto first = rig.Send(1, 2);
  ASSERT_TRUE(first);
  rig.Handle(Change({0}));
  rig.Handle(Change({0}));
  rig.EndAttempt(1, 0, *first, Outcome::kOverloaded);
  const auto second = rig.SentTo(1);
  ASSERT_TRUE(second);
  rig.EndAttempt(1, 1, *second, Outcome::kOk);
  EXPECT_FALSE(rig.Send(2, 2)) << "the class is gone";
  EXPECT_EQ(rig.Count<Reject>(), 1);
}

TEST(SettingsChange, TheNumberOfAttemptsBindsForNewRequests) {
  Rig rig;
  rig.Servers(3);
  const auto old = rig.Send(1);
  rig.Handle(Change({0, 1, 2}, 1));
  const auto fresh = rig.Send(2);
  ASSERT_TRUE(old && fresh);
  rig.EndAttempt(2, 0, *fresh, Outcome::kOverloaded);
  EXPECT_FALSE(rig.SentTo(2));
  rig.EndAttempt(1, 0, *old, Outcome::kOverloaded);
  EXPECT_TRUE(rig.SentTo(1));
}

}  // namespace
}  // namespace load_balancer::testing
