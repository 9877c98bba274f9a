// SPDX-License-Identifier: Apache-2.0
#include "overflow/overflow_router.h"

#include <gtest/gtest.h>

#include <functional>

#include "fixture.h"
#include "overflow/failures.h"

namespace load_balancer::overflow {
namespace {

const std::vector<Estimate> kBothSitesHaveSpare{SpareEstimate("b", 8000), SpareEstimate("c", 8000)};

// ReadyFixture has two other sites with spare capacity, and its token buckets are full.
struct ReadyFixture : RouterFixture {
  explicit ReadyFixture(Options settings = {}, int gateways = 1) : RouterFixture(3, settings, gateways) {
    Pass(Milliseconds(500), kBothSitesHaveSpare);
  }
};

TEST(Rules, EachRejectsTheRequestsThatItConcerns) {
  struct Case {
    const char* name;
    std::optional<RejectReason> reason;
    std::function<void(RejectedRequest&)> change;
  };
  const Case kTable[] = {
      {"idempotent", {}, [](RejectedRequest&) {}},
      {"not idempotent", {}, [](RejectedRequest& r) { r.idempotency = Idempotency::kNotIdempotent; }},
      {"may have run", RejectReason::kMayHaveRun, [](RejectedRequest& r) { r.may_have_run = true; }},
      {"idempotency key", RejectReason::kIdempotencyKey,
       [](RejectedRequest& r) { r.idempotency = Idempotency::kIdempotencyKey; }},
      {"forwarded already", RejectReason::kAlreadyForwarded, [](RejectedRequest& r) { r.forwarded = true; }},
      {"over its budget", RejectReason::kOverBudget, [](RejectedRequest& r) { r.within_budget = false; }},
      {"unknown work", RejectReason::kUnknownWork, [](RejectedRequest& r) { r.work_ms = 0; }},
      {"weight below the minimum", RejectReason::kBelowThreshold,
       [](RejectedRequest& r) { r.priority_weight = 0.49; }},
      {"weight at the minimum", {}, [](RejectedRequest& r) { r.priority_weight = 0.5; }},
      {"just in time", {}, [](RejectedRequest& r) { r.latency_objective_left = Milliseconds(50); }},
      {"past its latency objective", RejectReason::kTooLate,
       [](RejectedRequest& r) { r.latency_objective_left = Milliseconds(49); }},
      {"past its deadline", RejectReason::kTooLate,
       [](RejectedRequest& r) { r.deadline_left = Milliseconds(49); }}};
  Options options;
  options.min_weight_per_work = 0.05;
  for (const Case& each : kTable) {
    ReadyFixture fixture(options);
    RejectedRequest request = IdempotentRequest(1);
    request.retry_after = Milliseconds(70);
    each.change(request);
    const auto sent = fixture.Offer(request);
    EXPECT_EQ(sent.has_value(), !each.reason) << each.name;
    EXPECT_EQ(fixture.router.open(), each.reason ? 0u : 1u) << each.name;
    if (!each.reason) {
      EXPECT_EQ(fixture.Find<ForwardTo>()->timeout, request.deadline_left);
      continue;
    }
    const GiveUp give_up = *fixture.Find<GiveUp>();
    EXPECT_EQ(Name(give_up.reason), Name(*each.reason)) << each.name;
    EXPECT_EQ(give_up.may_have_run, request.may_have_run) << each.name;
    EXPECT_EQ(give_up.retry_after, request.retry_after) << each.name;
  }
}

TEST(Rules, TheWaitAtTheOtherSiteCountsTowardsTheResponseTime) {
  RouterFixture fixture(2);
  Estimate busy = SpareEstimate("b", 8000);
  busy.wait_ms = 951;
  fixture.Pass(Milliseconds(500), {busy});
  EXPECT_FALSE(fixture.Offer(IdempotentRequest(1)));
  EXPECT_EQ(fixture.Find<GiveUp>()->reason, RejectReason::kTooLate);
}

TEST(Rules, OnlyASiteThatHasBeenOverCapacityForLongEnoughForwards) {
  Estimate unsettled = OverEstimate("a");
  unsettled.for_ms = 1999;
  Estimate not_over = SpareEstimate("a", 0);
  for (const Estimate& own : {unsettled, not_over}) {
    ReadyFixture fixture;
    fixture.Receive(own);
    fixture.passed += Milliseconds(1);
    fixture.Receive(own);
    EXPECT_FALSE(fixture.Offer(IdempotentRequest(1)));
    EXPECT_EQ(fixture.Find<GiveUp>()->reason, RejectReason::kNotOverCapacity);
  }
  RouterFixture two_sites(2);
  two_sites.Receive(unsettled);
  two_sites.Pass(Milliseconds(500), {SpareEstimate("b", 8000)});
  EXPECT_TRUE(two_sites.Offer(IdempotentRequest(1)))
      << "with two sites there is no third one whose gateways have to learn of the state first";
  ReadyFixture stale;
  stale.passed += Milliseconds(3000);
  for (const Estimate& estimate : kBothSitesHaveSpare) stale.Receive(estimate);
  EXPECT_FALSE(stale.Offer(IdempotentRequest(1))) << "the estimate of its own site is stale";
}

TEST(Rules, ASiteWithoutSpareCapacityReceivesNothing) {
  RouterFixture fixture(3);
  fixture.Pass(Milliseconds(500), {OverEstimate("b"), SpareEstimate("c", 8000)});
  for (RequestId id = 1; id <= 100; ++id) {
    fixture.Pass(Milliseconds(100), {OverEstimate("b"), SpareEstimate("c", 8000)});
    const auto sent = fixture.Offer(IdempotentRequest(id));
    ASSERT_TRUE(sent);
    EXPECT_EQ(sent->site, "c");
  }
}

TEST(OverflowRouter, GivesUpIfNoOtherSiteIsKnownOrPresent) {
  RouterFixture unknown(2);
  EXPECT_FALSE(unknown.Offer(IdempotentRequest(1)));
  ReadyFixture fixture;
  for (const char* site : {"b", "c"}) fixture.Handle(PresenceChanged{{site, "1"}, false});
  EXPECT_FALSE(fixture.Offer(IdempotentRequest(1)));
  EXPECT_EQ(fixture.Find<GiveUp>()->reason, RejectReason::kNoGateway);
}

TEST(OverflowRouter, RetriesOnlyIdempotentRequestsThatWereNotServed) {
  struct Case {
    Idempotency idempotency;
    ForwardOutcome outcome;
    bool is_retried;  // sent once more, to another site
    // `may_have_run` of the GiveUp; nothing if there is no GiveUp, as the other site's response goes to the
    // client.
    std::optional<bool> may_have_run;
  };
  const Case kTable[] = {{Idempotency::kIdempotent, ForwardOutcome::kOk, false, {}},
                         {Idempotency::kIdempotent, ForwardOutcome::kRejected, true, false},
                         {Idempotency::kIdempotent, ForwardOutcome::kNotRun, true, false},
                         {Idempotency::kIdempotent, ForwardOutcome::kMayHaveRun, true, true},
                         {Idempotency::kNotIdempotent, ForwardOutcome::kOk, false, {}},
                         {Idempotency::kNotIdempotent, ForwardOutcome::kRejected, false, false},
                         {Idempotency::kNotIdempotent, ForwardOutcome::kNotRun, false, false},
                         {Idempotency::kNotIdempotent, ForwardOutcome::kMayHaveRun, false, true}};
  for (const Case& each : kTable) {
    ReadyFixture fixture;
    RejectedRequest request = IdempotentRequest(1);
    request.idempotency = each.idempotency;
    const auto first = fixture.Offer(request);
    ASSERT_TRUE(first);
    fixture.Handle(ForwardEnded{1, *first, each.outcome, {}, {}});
    const auto second = fixture.Find<ForwardTo>();
    ASSERT_EQ(second.has_value(), each.is_retried);
    if (second) {
      EXPECT_NE(second->destination.site, first->site);
      EXPECT_TRUE(fixture.Handle(ForwardEnded{1, *first, ForwardOutcome::kOk, {}, {}}).empty())
          << "the request has been answered already";
      fixture.Handle(ForwardEnded{1, second->destination, ForwardOutcome::kRejected, {}, {}});
      EXPECT_FALSE(fixture.Find<ForwardTo>());
    }
    const auto given = fixture.Find<GiveUp>();
    EXPECT_EQ(given ? std::optional(given->may_have_run) : std::nullopt, each.may_have_run);
    EXPECT_EQ(fixture.router.open(), 0u);
  }
}

TEST(OverflowRouter, SendsNoSecondAttemptTooLateOrOnceTheSiteHasSpareCapacity) {
  for (const bool is_late : {true, false}) {
    ReadyFixture fixture;
    const auto first = fixture.Offer(IdempotentRequest(1));
    fixture.passed += Milliseconds(is_late ? 960 : 10);
    if (!is_late) fixture.Receive(SpareEstimate("a", 10));
    fixture.Handle(ForwardEnded{1, *first, ForwardOutcome::kNotRun, {}, {}});
    EXPECT_EQ(fixture.Find<GiveUp>()->reason,
              is_late ? RejectReason::kTooLate : RejectReason::kNotOverCapacity);
  }
}

TEST(OverflowRouter, TheEstimateInAResponseLowersTheCapacityAtOnce) {
  ReadyFixture fixture;
  fixture.Handle(PresenceChanged{{"c", "1"}, false});
  const auto first = fixture.Offer(IdempotentRequest(1));
  ASSERT_TRUE(first);
  Estimate none = OverEstimate("b");
  none.made_at = kWall + static_cast<UnixMs>(fixture.passed.count()) + 1;
  fixture.Handle(
      ForwardEnded{1, *first, ForwardOutcome::kRejected, {}, EstimateReceived{none, none.made_at}});
  EXPECT_FALSE(fixture.Offer(IdempotentRequest(2)));
  EXPECT_EQ(fixture.Find<GiveUp>()->reason, RejectReason::kNoCapacity);
}

TEST(OverflowRouter, ForgetsARequestWhoseClientIsGone) {
  ReadyFixture fixture;
  const auto sent = fixture.Offer(IdempotentRequest(1));
  fixture.Handle(ClientGone{1});
  EXPECT_EQ(fixture.router.open(), 0u);
  EXPECT_TRUE(fixture.Handle(ForwardEnded{1, *sent, ForwardOutcome::kNotRun, {}, {}}).empty());
}

TEST(OverflowRouter, ForwardsAKeyToTheSameGatewayWhileThatIsInService) {
  ReadyFixture fixture(Options{}, 3);
  RejectedRequest request = IdempotentRequest(1);
  request.key = 77;
  const auto first = fixture.Offer(request);
  fixture.Handle(ForwardEnded{1, *first, ForwardOutcome::kOk, {}, {}});
  for (RequestId id = 2; id < 30; ++id) {
    fixture.Pass(Milliseconds(200), kBothSitesHaveSpare);
    request.request = id;
    ASSERT_EQ(fixture.Offer(request), first);
    fixture.Handle(ForwardEnded{id, *first, ForwardOutcome::kOk, {}, {}});
  }
  fixture.Handle(PresenceChanged{*first, false});
  request.request = 30;
  EXPECT_NE(fixture.Offer(request), first);
}

TEST(OverflowRouter, ChoosesTheSiteWithTheFullerBucket) {
  ReadyFixture fixture;
  std::map<std::string, int> sent;
  const std::vector<Estimate> uneven{SpareEstimate("b", 8000), SpareEstimate("c", 24000)};
  for (RequestId id = 1; id <= 400; ++id) {
    fixture.Pass(Milliseconds(100), uneven);
    if (const auto to = fixture.Offer(IdempotentRequest(id))) ++sent[to->site];
  }
  EXPECT_EQ(sent["c"], 400) << "of two sites, always the one whose bucket is fuller";
  const std::vector<Estimate> even{SpareEstimate("b", 8000), SpareEstimate("c", 8000)};
  for (RequestId id = 401; id <= 800; ++id) {
    fixture.Pass(Milliseconds(100), even);
    if (const auto to = fixture.Offer(IdempotentRequest(id))) ++sent[to->site];
  }
  EXPECT_GT(sent["b"], 100);
  EXPECT_GT(sent["c"], 500);
}

// The demand is twice the offered capacity. Half of the requests have ten times the weight of the others.
TEST(OverflowRouter, PrefersRequestsOfHigherWeightWhenCapacityIsScarce) {
  RouterFixture fixture(2);
  std::map<double, int> sent;
  for (RequestId id = 1; id <= 4000; ++id) {
    if (id % 40 == 0) fixture.Pass(Milliseconds(100), {SpareEstimate("b", 4000)});
    RejectedRequest request = IdempotentRequest(id);
    request.priority_weight = id % 2 == 0 ? 10 : 1;
    if (fixture.Offer(request)) ++sent[request.priority_weight];
    fixture.Handle(ClientGone{id});
  }
  EXPECT_GT(sent[10], 1300) << "of 2000; without an admission threshold it would be 1000";
  EXPECT_LT(sent[1], 600);
}

// While requests of high weight demand all of the offered capacity, part of the bucket is reserved for them.
TEST(OverflowRouter, ReservesPartOfTheBucketForRequestsOfHigherWeight) {
  RouterFixture fixture(2);
  fixture.Pass(Milliseconds(500), {SpareEstimate("b", 4000)});
  const auto send = [&](RequestId id, double priority_weight) {
    RejectedRequest request = IdempotentRequest(id);
    request.priority_weight = priority_weight;
    return fixture.Offer(request).has_value();
  };
  RequestId id = 0;
  for (int i = 0; i < 80; ++i) {
    fixture.Pass(Milliseconds(100), {SpareEstimate("b", 4000)});
    for (int n = 0; n < 18; ++n) send(++id, 10);  // 18 x 10 ms of work per 100 ms: 90 % of 2000 ms/s
  }
  for (int i = 0; i < 100 && send(++id, 10); ++i) {
  }
  // 100 ms is half of the slack of 200 ms, so half of the bucket is refilled.
  fixture.Pass(Milliseconds(100), {SpareEstimate("b", 4000)});
  for (int i = 0; i < 10; ++i) {
    EXPECT_FALSE(send(++id, 1));
    ASSERT_TRUE(fixture.Find<GiveUp>());
    EXPECT_EQ(fixture.Find<GiveUp>()->reason, RejectReason::kNoCapacity);
  }
  EXPECT_TRUE(send(++id, 10));
}

TEST(OverflowRouter, EjectsAGatewayThatFailsAndLogsIt) {
  RouterFixture fixture(2, Options{}, 2);
  const std::vector<Estimate> estimates{SpareEstimate("b", 8000)};
  const RemoteGateway failing{"b", "1"};
  fixture.Pass(Milliseconds(500), estimates);
  bool is_ejected = false;
  for (RequestId id = 1; id <= 60; ++id) {
    fixture.Pass(Milliseconds(100), estimates);
    RejectedRequest request = IdempotentRequest(id);
    request.idempotency = Idempotency::kNotIdempotent;
    const auto to = fixture.Offer(request);
    ASSERT_TRUE(to);
    const bool is_failing = *to == failing;
    EXPECT_FALSE(is_ejected && is_failing);
    fixture.Handle(ForwardEnded{id, *to, is_failing ? ForwardOutcome::kNotRun : ForwardOutcome::kOk, {}, {}});
    if (const auto log = fixture.Find<Log>()) is_ejected = is_ejected || log->kind == &kGatewayEjected;
    if (is_ejected) break;
  }
  EXPECT_TRUE(is_ejected);
}

TEST(OverflowRouter, LogsWhenForwardingBeginsAndEndsAndLimitsTheRateOfFailureLogs) {
  RouterFixture fixture(2);
  fixture.passed += Milliseconds(10);
  fixture.Receive(SpareEstimate("a", 100));
  ASSERT_TRUE(fixture.Find<Log>());
  EXPECT_EQ(fixture.Find<Log>()->kind, nullptr);
  fixture.passed += Milliseconds(10);
  fixture.Receive(OverEstimate("a"));
  EXPECT_TRUE(fixture.Find<Log>());
  fixture.Handle(EstimateReceived{OverEstimate("z"), kWall});
  EXPECT_EQ(fixture.Find<Log>()->kind, &kUnknownSite);
  EXPECT_TRUE(fixture.Handle(EstimateReceived{OverEstimate("z"), kWall}).empty());
  EXPECT_NE(fixture.router.Describe(fixture.now()).find("spilling; a over"), std::string::npos);
}

}  // namespace
}  // namespace load_balancer::overflow
