// SPDX-License-Identifier: Apache-2.0
//
// Tests the events that operators' commands cause: maintenance of servers, hot restart and changed settings.
#include <gtest/gtest.h>

#include "harness.h"

namespace load_balancer::testing {
namespace {

TEST(Maintenance, NoRequestIsSentToAServerInMaintenanceThatIsListedAsReady) {
  Rig rig;
  rig.Handle(StartMaintenance{2});  // before a list contains the server
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

TEST(Maintenance, ARetryIsNotSentToAServerInMaintenance) {
  Rig rig;
  rig.Servers(2);
  const auto first = rig.Send(1);
  ASSERT_TRUE(first);
  rig.Handle(StartMaintenance{3 - *first});
  rig.EndAttempt(1, 0, *first, Outcome::kConnectFailed);
  EXPECT_NE(rig.SentTo(1), 3 - *first);
}

TEST(Maintenance, EndsWithTheFirstEndEvenIfStartedTwice) {
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

// Sends requests for `ms` and returns the number of successful attempts at each server.
std::map<ServerId, int> Serve(Rig& rig, RequestId& id, double ms) {
  std::map<ServerId, int> responses;
  for (double end = rig.now + ms; rig.now < end; rig.now += 10) {
    const auto server = rig.Send(++id, 0, 20);
    if (!server) continue;
    ++responses[*server];
    rig.EndAttempt(id, 0, *server, Outcome::kOk, 5);
  }
  return responses;
}

TEST(Maintenance, AServerThatReturnsIsInSlowStartAndIsUsedSoon) {
  Rig rig;
  rig.Servers(2);
  RequestId id = 0;
  EXPECT_GT(Serve(rig, id, 3000)[1], 50);
  rig.Handle(StartMaintenance{1});
  EXPECT_EQ(Serve(rig, id, 3000)[1], 0);
  rig.Handle(EndMaintenance{1});
  auto responses = Serve(rig, id, 1000);
  EXPECT_GT(responses[1], 0);
  EXPECT_LT(responses[1], responses[2]);
}

TEST(Maintenance, TheEndOfMaintenanceEndsAnEjection) {
  Rig rig;
  rig.Servers(4);
  RequestId id = 0;
  for (int i = 0; i < 40; ++i, rig.now += 5) {
    const auto server = rig.Send(++id, 2);
    if (server) rig.EndAttempt(id, 0, *server, *server == 1 ? Outcome::kError : Outcome::kOk);
  }
  const auto count_picks = [&] {
    int picked = 0;
    for (int i = 0; i < 20; ++i) {
      const auto server = rig.Send(++id, 2);
      picked += server == 1u;
      if (server) rig.EndAttempt(id, 0, *server, Outcome::kOk);
    }
    return picked;
  };
  ASSERT_EQ(count_picks(), 0) << "it is ejected";
  rig.Handle(StartMaintenance{1});
  rig.Handle(EndMaintenance{1});
  rig.Tick(1200);
  EXPECT_GT(count_picks(), 0);
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

// ---- changed settings ---------------------------------------------------------------------------------
// Returns new settings with the classes `previous_indices` of DefaultSettings(): 0 is idempotent, 1 has an
// idempotency key, 2 is not idempotent. -1 stands for a new idempotent class.
NewSettings Change(std::vector<int> previous_indices, int max_attempts = 4) {
  Settings settings = DefaultSettings();
  std::vector<ClassSettings> classes;
  for (const int previous_index : previous_indices)
    classes.push_back(previous_index < 0 ? Class(Idempotency::kIdempotent)
                                         : settings.classes[static_cast<std::size_t>(previous_index)]);
  settings.classes = classes;
  settings.max_attempts = max_attempts;
  NewSettings change;
  change.settings = std::make_shared<const Settings>(settings);
  change.previous_class_indices = std::move(previous_indices);
  return change;
}

TEST(SettingsChange, OpenRequestsKeepTheRulesOfTheirClass) {
  Rig rig;
  rig.Servers(3);
  const auto not_idempotent = rig.Send(1, 2);
  const auto idempotent = rig.Send(2, 0);
  ASSERT_TRUE(not_idempotent && idempotent);
  rig.Handle(Change({2, 0}));  // class 1 is removed, class 2 becomes 0, and class 0 becomes 1
  rig.EndAttempt(1, 0, *not_idempotent, Outcome::kReset);
  EXPECT_FALSE(rig.SentTo(1)) << "it is still not idempotent, though an idempotent class has its index now";
  EXPECT_EQ(rig.Count<FailRequest>(), 1);
  rig.EndAttempt(2, 0, *idempotent, Outcome::kReset);
  EXPECT_TRUE(rig.SentTo(2));
  const auto later = rig.Send(3, 0);
  ASSERT_TRUE(later);
  rig.EndAttempt(3, 0, *later, Outcome::kReset);
  EXPECT_EQ(rig.Count<FailRequest>(), 1) << "the class that is not idempotent has index 0 now";
}

// Returns a request that began under DefaultSettings() in the class `previous_class`, and has the index
// `class_now` in the settings under which it arrives.
RequestReceived BegunBefore(RequestId id, int previous_class, int class_now, TimePoint due) {
  const Settings previous = DefaultSettings();
  RequestReceived received;
  received.request = id;
  received.request_class = class_now;
  received.due = due;
  received.previous_rules =
      RequestRules{previous.classes[static_cast<std::size_t>(previous_class)], previous.max_attempts};
  return received;
}

// Guards against a request that began under previous settings and runs twice by the rules of the current
// ones.
TEST(SettingsChange, ARequestThatBeganBeforeKeepsTheRulesOfItsClass) {
  for (const int class_now : {-1, 0, 1, 7}) {
    Rig rig;
    rig.Servers(3);
    rig.Handle(Change({-1, -1}));
    rig.Handle(BegunBefore(1, 2, class_now, At(rig.now + 1000)));
    const auto first = rig.SentTo(1);
    ASSERT_TRUE(first) << class_now;
    rig.EndAttempt(1, 0, *first, Outcome::kReset);
    EXPECT_FALSE(rig.SentTo(1)) << class_now;
    EXPECT_EQ(rig.Count<FailRequest>(), 1) << class_now;
  }
}

TEST(SettingsChange, ARequestThatBeganBeforeIsRepeatedAsItsClassAllows) {
  Rig rig;
  rig.Servers(3);
  rig.Handle(Change({2, 2}, 1));
  rig.Handle(BegunBefore(1, 0, 0, At(rig.now + 1000)));
  const auto first = rig.SentTo(1);
  ASSERT_TRUE(first);
  rig.EndAttempt(1, 0, *first, Outcome::kReset);
  EXPECT_TRUE(rig.SentTo(1)) << "its class was idempotent, with four attempts";
}

TEST(SettingsChange, ARequestThatBeganBeforeKeepsItsRulesOverAFurtherChange) {
  Rig rig;
  rig.Servers(3);
  rig.Handle(Change({0, 1}));
  rig.Handle(BegunBefore(1, 2, -1, At(rig.now + 1000)));
  const auto first = rig.SentTo(1);
  ASSERT_TRUE(first);
  rig.Handle(Change({0}));
  rig.EndAttempt(1, 0, *first, Outcome::kReset);
  EXPECT_FALSE(rig.SentTo(1));
  EXPECT_EQ(rig.Count<FailRequest>(), 1);
}

// A request in the admission queue waits for capacity while the settings change.
TEST(SettingsChange, AQueuedRequestKeepsTheRulesOfItsClass) {
  Rig rig;
  ASSERT_FALSE(rig.Send(1, 2)) << "no server is listed yet";
  rig.Handle(Change({0, 0, 0}));
  rig.Servers(3);
  const auto first = rig.SentTo(1);
  ASSERT_TRUE(first);
  rig.EndAttempt(1, 0, *first, Outcome::kReset);
  EXPECT_FALSE(rig.SentTo(1));
  EXPECT_EQ(rig.Count<FailRequest>(), 1);
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
  EXPECT_FALSE(rig.Send(2, 2)) << "the class has been removed";
  EXPECT_EQ(rig.Count<Reject>(), 1);
}

TEST(SettingsChange, ANewMaximumNumberOfAttemptsAppliesToNewRequestsOnly) {
  Rig rig;
  rig.Servers(3);
  const auto earlier = rig.Send(1);
  rig.Handle(Change({0, 1, 2}, 1));
  const auto later = rig.Send(2);
  ASSERT_TRUE(earlier && later);
  rig.EndAttempt(2, 0, *later, Outcome::kOverloaded);
  EXPECT_FALSE(rig.SentTo(2));
  rig.EndAttempt(1, 0, *earlier, Outcome::kOverloaded);
  EXPECT_TRUE(rig.SentTo(1));
}

}  // namespace
}  // namespace load_balancer::testing
