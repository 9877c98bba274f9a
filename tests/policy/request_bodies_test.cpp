// SPDX-License-Identifier: Apache-2.0
//
// Tests requests whose bodies the proxy relays: what counts as in flight, and what may be retried.
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

// There is one server, and the proxy is new, so its limit is two attempts in flight.
TEST(RequestBodies, AnUploadIsNotInFlightBeforeItsLastByte) {
  Rig rig;
  rig.Servers(1);
  for (RequestId id = 1; id <= 5; ++id) {
    rig.Handle(Upload(rig, id));
    EXPECT_TRUE(rig.SentTo(id)) << id;
  }
  EXPECT_TRUE(rig.Send(6));
  rig.Handle(BodyReceived{1, At(rig.now + 1000)});
  EXPECT_FALSE(rig.Send(7)) << "two are in flight";
  rig.EndAttempt(1, 0, 1, Outcome::kOk);
  EXPECT_TRUE(rig.SentTo(7));
}

TEST(RequestBodies, AResponseThatHasBegunIsNotInFlight) {
  Rig rig;
  rig.Servers(1);
  EXPECT_TRUE(rig.Send(1));
  EXPECT_TRUE(rig.Send(2));
  EXPECT_FALSE(rig.Send(3));
  rig.Handle(StreamStarted{1, 0});
  EXPECT_TRUE(rig.SentTo(3));
}

TEST(RequestBodies, TheLatencyOfARequestCountsFromItsLastByte) {
  Rig rig;
  rig.Servers(2);
  rig.Handle(Upload(rig, 1, 100));
  const auto first = rig.SentTo(1);
  ASSERT_TRUE(first);
  rig.now += 5000;
  rig.Handle(BodyReceived{1, At(rig.now + 1000)});
  rig.EndAttempt(1, 0, *first, Outcome::kOverloaded);
  EXPECT_TRUE(rig.SentTo(1)) << "there is time for another attempt";
}

// The queue is ordered by arrival, and the end of an upload changes the time of arrival.
TEST(RequestBodies, AQueuedRequestWhoseUploadEndsIsSentInOrderUnlessItIsCancelled) {
  Rig rig;
  rig.Servers(1);
  EXPECT_TRUE(rig.Send(1));
  EXPECT_TRUE(rig.Send(2));
  for (const RequestId id : {3, 4}) {
    rig.Handle(Upload(rig, id));
    EXPECT_FALSE(rig.SentTo(id));
    rig.now += 10;
    rig.Handle(BodyReceived{id, At(rig.now + 1000)});
  }
  rig.Handle(ClientGone{3});
  rig.EndAttempt(1, 0, 1, Outcome::kOk);
  EXPECT_TRUE(rig.SentTo(4));
  EXPECT_EQ(rig.Count<Dispatch>(), 1);
}

TEST(RequestBodies, ABodyThatCannotBeReplayedIsNotRetried) {
  Rig rig;
  rig.Servers(2);
  rig.Handle(Upload(rig, 1));
  AttemptEnded end;
  end.request = 1;
  end.server = rig.SentTo(1).value_or(0);
  end.outcome = Outcome::kConnectFailed;
  end.is_replayable = false;
  rig.Handle(end);
  EXPECT_FALSE(rig.SentTo(1));
  EXPECT_EQ(rig.Count<Reject>(), 1) << "it never ran";
}

}  // namespace
}  // namespace load_balancer::testing
