// SPDX-License-Identifier: Apache-2.0
//
// The module's part in bodies that are passed on: what is in flight, and what may be sent again.
#include <gtest/gtest.h>

#include "harness.h"

namespace load_balancer::testing {
namespace {

RequestReceived Upload(const Rig& rig, RequestId id, double patience = 1000) {
  RequestReceived s;
  s.request = id;
  s.request_class = 2;
  s.is_body_pending = true;
  s.has_hint = true;
  s.work_ms = 10;
  s.due = At(rig.now + patience);
  return s;
}

// One server, and a proxy so young that it has two requests in flight at most.
TEST(Bodies, AnUploadIsNoWorkInFlightBeforeItsLastByte) {
  Rig rig;
  rig.Servers(1);
  for (RequestId id = 1; id <= 5; ++id) {
    rig.Do(Upload(rig, id));
    EXPECT_TRUE(rig.SentTo(id)) << id;
  }
  EXPECT_TRUE(rig.Ask(6));
  rig.Do(BodyReceived{1, At(rig.now + 1000)});
  EXPECT_FALSE(rig.Ask(7)) << "two are in flight";
  rig.End(1, 0, 1, Outcome::kOk);
  EXPECT_TRUE(rig.SentTo(7));
}

TEST(Bodies, AnAnswerThatHasBegunLeavesItsPlace) {
  Rig rig;
  rig.Servers(1);
  EXPECT_TRUE(rig.Ask(1));
  EXPECT_TRUE(rig.Ask(2));
  EXPECT_FALSE(rig.Ask(3));
  rig.Do(StreamStarted{1, 0});
  EXPECT_TRUE(rig.SentTo(3));
}

TEST(Bodies, ARequestsTimeCountsFromItsLastByte) {
  Rig rig;
  rig.Servers(2);
  rig.Do(Upload(rig, 1, 100));
  const auto first = rig.SentTo(1);
  ASSERT_TRUE(first);
  rig.now += 5000;
  rig.Do(BodyReceived{1, At(rig.now + 1000)});
  rig.End(1, 0, *first, Outcome::kOverloaded);
  EXPECT_TRUE(rig.SentTo(1)) << "there is time for another";
}

// The held are kept by their time, which the end of an upload changes: one that had gone was looked up.
TEST(Bodies, AHeldRequestWhoseUploadEndsGoesInItsTurnOrIsForgotten) {
  Rig rig;
  rig.Servers(1);
  EXPECT_TRUE(rig.Ask(1));
  EXPECT_TRUE(rig.Ask(2));
  for (const RequestId id : {3, 4}) {
    rig.Do(Upload(rig, id));
    EXPECT_FALSE(rig.SentTo(id));
    rig.now += 10;
    rig.Do(BodyReceived{id, At(rig.now + 1000)});
  }
  rig.Do(ClientGone{3});
  rig.End(1, 0, 1, Outcome::kOk);
  EXPECT_TRUE(rig.SentTo(4));
  EXPECT_EQ(rig.Count<Dispatch>(), 1);
}

TEST(Bodies, WhatIsNotToBeHadAgainIsNotSentAgain) {
  Rig rig;
  rig.Servers(2);
  rig.Do(Upload(rig, 1));
  AttemptEnded end;
  end.request = 1;
  end.server = rig.SentTo(1).value_or(0);
  end.outcome = Outcome::kConnectFailed;
  end.is_replayable = false;
  rig.Do(end);
  EXPECT_FALSE(rig.SentTo(1));
  EXPECT_EQ(rig.Count<Reject>(), 1) << "it never ran";
}

}  // namespace
}  // namespace load_balancer::testing
