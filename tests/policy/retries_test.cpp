// SPDX-License-Identifier: Apache-2.0
//
// Tests retries and time-outs of attempts.
#include <gtest/gtest.h>

#include "policy/scripted_traffic.h"

namespace load_balancer {
namespace {

using testing::DefaultSettings;
using testing::Entry;
using testing::next_id;
using testing::Rig;
using testing::SendAndFinish;
using testing::SendAndRespond;

// ExpectedResult states what follows the first attempt of a request of class `request_class` that ended with
// `outcome`: whether it is retried and, if no attempt is left, whether it is rejected rather than failed.
struct ExpectedResult {
  int request_class;
  Outcome outcome;
  bool is_retried, may_reject;
};

TEST(Retries, OnlyPermittedRequestsAreRetriedOrRejected) {
  const ExpectedResult expected_results[] = {
      {0, Outcome::kError, true, true},         {0, Outcome::kTimeout, true, true},
      {0, Outcome::kReset, true, true},         {0, Outcome::kOverloaded, true, true},
      {0, Outcome::kConnectFailed, true, true}, {1, Outcome::kError, true, false},
      {1, Outcome::kTimeout, true, false},      {1, Outcome::kOverloaded, true, true},
      {1, Outcome::kConnectFailed, true, true}, {1, Outcome::kReset, true, false},
      {2, Outcome::kError, false, false},       {2, Outcome::kTimeout, false, false},
      {2, Outcome::kReset, false, false},       {2, Outcome::kUnknown, false, false},
      {2, Outcome::kOverloaded, true, true},    {2, Outcome::kConnectFailed, true, true},
      {2, Outcome::kCancelled, false, false},
  };
  for (const ExpectedResult& expected : expected_results) {
    SCOPED_TRACE(::testing::Message()
                 << "class " << expected.request_class << " outcome " << static_cast<int>(expected.outcome));
    Rig rig;
    rig.Servers(3);
    const auto first = rig.Send(1, expected.request_class);
    ASSERT_TRUE(first.has_value());
    rig.EndAttempt(1, 0, *first, expected.outcome);
    EXPECT_EQ(rig.SentTo(1).has_value(), expected.is_retried);
    if (expected.is_retried) {
      EXPECT_NE(rig.SentTo(1), first) << "the retry goes to another server";
    } else {
      EXPECT_EQ(rig.Count<FailRequest>(), 1);
    }
    // If no attempt is left, the request is rejected if that is permitted, and otherwise failed.
    Settings s = DefaultSettings();
    s.max_attempts = 1;
    Rig last(s);
    last.Servers(3);
    const auto only_server = last.Send(1, expected.request_class);
    last.EndAttempt(1, 0, *only_server, expected.outcome);
    EXPECT_EQ(last.Count<Reject>(), expected.may_reject ? 1 : 0);
    EXPECT_EQ(last.Count<FailRequest>(), expected.may_reject ? 0 : 1);
  }
}

TEST(Retries, WithAnIdempotencyKeyStayInItsScopeAndWindow) {
  for (int gone : {0, 1}) {
    Rig rig;
    rig.List({Entry(1, 0, 1), Entry(2, 0, 1), Entry(3, 0, 2), Entry(4, 1, 1)});
    ServerId first = *rig.Send(next_id, 1);
    while (first > 2) {  // until the first attempt is at server 1 or 2, which share a cell
      rig.EndAttempt(next_id, 0, first, Outcome::kOk);
      first = *rig.Send(++next_id, 1);
    }
    if (gone) rig.List({Entry(3 - first, 0, 1, ServerState::kGone)}, ListKind::kDelta);
    rig.now += 100;
    rig.EndAttempt(next_id, 0, first, Outcome::kError);
    EXPECT_EQ(rig.SentTo(next_id), gone ? first : 3 - first);
    rig.now += 401;  // past the 500 ms window
    rig.EndAttempt(next_id, 1, gone ? first : 3 - first, Outcome::kError);
    EXPECT_FALSE(rig.SentTo(next_id).has_value());
    EXPECT_EQ(rig.Count<FailRequest>(), 1);
    ++next_id;
  }
}

// Guards against a retry that is permitted within the idempotency window but written after its end.
TEST(Retries, WithAnIdempotencyKeyAreWrittenWithinTheWindow) {
  Settings settings = DefaultSettings();
  settings.max_attempts = 3;
  Rig rig(settings);
  rig.Servers(4);
  const double window_ends_at = rig.now + settings.classes[1].idempotency_window.count();
  const auto first = rig.Send(1, 1);
  ASSERT_TRUE(first.has_value());
  EXPECT_EQ(rig.sent.back().write_timeout, Duration(0)) << "the first attempt may run at any time";
  rig.now += 100;
  rig.EndAttempt(1, 0, *first, Outcome::kReset);
  const Duration left(window_ends_at - rig.now);
  const Dispatch second = rig.sent.back();
  EXPECT_GT(second.write_timeout, Duration(0));
  EXPECT_LT(second.write_timeout, left / 2) << "some time is left for another attempt";
  rig.now += second.write_timeout.count();
  rig.EndAttempt(1, 1, second.server, Outcome::kNotSent);
  const Dispatch third = rig.sent.back();
  EXPECT_LT(third.write_timeout, Duration(window_ends_at - rig.now));
  EXPECT_GT(third.write_timeout, left / 4) << "the last attempt has all of the time";
}

// Guards against a retry that is written after a short window, as the process is held up between reading its
// clock and writing.
TEST(Retries, WithAnIdempotencyKeyLeaveTimeForAProcessThatIsHeldUp) {
  constexpr Duration kHeldUp{150};  // the longest time that a process has to be able to bear
  for (const Duration window : {Duration(100), Duration(500), Duration(1000), Duration(5000)}) {
    SCOPED_TRACE(window.count());
    Settings settings = DefaultSettings();
    settings.classes[1].idempotency_window = window;
    settings.classes[1].deadline = Duration(10000);
    for (double share = 0.05; share < 1; share += 0.05) {
      Rig rig(settings);
      rig.Servers(3);
      const double window_ends_at = rig.now + window.count();
      const auto first = rig.Send(1, 1);
      ASSERT_TRUE(first.has_value());
      rig.now += share * window.count();
      rig.EndAttempt(1, 0, *first, Outcome::kReset);
      if (!rig.SentTo(1)) continue;
      EXPECT_GT(rig.sent.back().write_timeout, Duration(0));
      EXPECT_LE(rig.now + (rig.sent.back().write_timeout + kHeldUp).count(), window_ends_at);
    }
  }
}

TEST(Retries, OfAnIdempotentRequestMayBeWrittenAtAnyTime) {
  Rig rig;
  rig.Servers(3);
  const auto first = rig.Send(1, 0);
  rig.EndAttempt(1, 0, *first, Outcome::kReset);
  ASSERT_TRUE(rig.SentTo(1).has_value());
  EXPECT_EQ(rig.sent.back().write_timeout, Duration(0));
}

// Guards against retries that are all spent on a server whose connection comes up late.
TEST(Retries, PreferAServerThatWasReachedToOneThatWasNot) {
  for (int i = 0; i < 20; ++i) {  // ties are broken at random
    Rig rig;
    rig.Servers(2);
    const auto first = rig.Send(1, 0);
    rig.EndAttempt(1, 0, *first, Outcome::kReset);
    rig.EndAttempt(1, 1, 3 - *first, Outcome::kNotSent);
    EXPECT_EQ(rig.SentTo(1), first);
  }
}

// There are no hedged requests, as they would cost others more capacity than they gain.
TEST(Retries, ARequestHasOneAttemptAtATime) {
  Rig rig;
  rig.Servers(3);
  for (int i = 0; i < 30; ++i) SendAndRespond(rig, Outcome::kOk, {});
  for (int i = 0; i < 30; ++i) {
    const RequestId id = next_id++;
    rig.EndAttempt(id, 0, *rig.Send(id, 0), Outcome::kOk);
  }
  const RequestId id = next_id++;
  rig.Send(id, 0);
  rig.sent.clear();
  for (int i = 0; i < 100; ++i) rig.Tick(9);
  EXPECT_TRUE(rig.sent.empty());
}

// Timing out an attempt that is merely late would double its work. Only a silent server must be detected
// before the client's deadline.
TEST(Retries, AnAttemptAtAServerThatIsNotSilentHasNoTimeOut) {
  Rig rig;
  rig.Servers(1);
  for (int i = 0; i < 40; ++i) SendAndFinish(rig);
  rig.Send(next_id++, 0, 10, 900);
  EXPECT_EQ(rig.sent.back().timeout.count(), 0) << "it has no outstanding attempt yet";
  rig.Tick(5);
  rig.Send(next_id++, 0, 10, 900);
  EXPECT_EQ(rig.sent.back().timeout.count(), 0) << "its outstanding attempt is not overdue";
}

TEST(Retries, AnAttemptAtASilentServerHasATimeOutIfARetryIsPermitted) {
  for (int cls : {0, 1, 2}) {
    Rig rig;
    rig.Servers(1);
    for (int i = 0; i < 40; ++i) {
      const RequestId id = next_id++;
      rig.EndAttempt(id, 0, *rig.Send(id, cls), Outcome::kOk);
    }
    rig.Send(next_id++, cls, 10, 2000);
    rig.Tick(300);
    const RequestId id = next_id++;
    ASSERT_TRUE(rig.Send(id, cls, 10, 2000).has_value());
    EXPECT_EQ(rig.sent.back().timeout.count() > 0, cls != 2);
  }
}

TEST(Retries, StopAtTheMaximumNumberOfAttempts) {
  Settings s = DefaultSettings();
  s.max_attempts = 2;
  Rig rig(s);
  rig.Servers(5);
  const auto first = rig.Send(1, 0);
  rig.EndAttempt(1, 0, *first, Outcome::kConnectFailed);
  const auto second = rig.SentTo(1);
  ASSERT_TRUE(second.has_value());
  rig.EndAttempt(1, 1, *second, Outcome::kConnectFailed);
  EXPECT_FALSE(rig.SentTo(1).has_value());
  EXPECT_EQ(rig.Count<Reject>(), 1);
}

TEST(Retries, AFailingFleetGetsNoRetryStorm) {
  Rig rig;
  rig.Servers(5);
  for (int i = 0; i < 300; ++i) {
    const RequestId id = next_id++;
    auto s = rig.Send(id, 0);
    for (int attempt = 0; s; ++attempt) {
      rig.EndAttempt(id, attempt, *s, Outcome::kError);
      s = rig.SentTo(id);
    }
  }
  EXPECT_LE(rig.sent.size(), 300u + 20u + 61u)
      << "a budget of 20 tokens, and at most a fifth of the first attempts";
  EXPECT_GE(rig.sent.size(), 300u + 20u);
}

}  // namespace
}  // namespace load_balancer
