// SPDX-License-Identifier: Apache-2.0
#include "overflow/overflow_router.h"

#include <gtest/gtest.h>

#include <functional>

#include "fixture.h"
#include "overflow/failures.h"

namespace load_balancer::overflow {
namespace {

const std::vector<Estimate> kBothHaveSpare{Spare("b", 8000), Spare("c", 8000)};

// Two neighbours with spare, and the shares full.
struct Ready : Bed {
  explicit Ready(Options set = {}, int gateways = 1) : Bed(3, set, gateways) {
    Pass(Milliseconds(500), kBothHaveSpare);
  }
};

TEST(Rules, EachForbidsARequestThatItIsAbout) {
  struct Case {
    const char* name;
    std::optional<Why> why;
    std::function<void(Refused&)> change;
  };
  const Case kTable[] = {
      {"safe", {}, [](Refused&) {}},
      {"unsafe", {}, [](Refused& r) { r.idempotency = Idempotency::kNotIdempotent; }},
      {"may have run", Why::kMayHaveRun, [](Refused& r) { r.may_have_run = true; }},
      {"keyed", Why::kKeyed, [](Refused& r) { r.idempotency = Idempotency::kIdempotencyKey; }},
      {"spilled already", Why::kSpilled, [](Refused& r) { r.spilled = true; }},
      {"over its budget", Why::kOverBudget, [](Refused& r) { r.within_budget = false; }},
      {"no work", Why::kNoWork, [](Refused& r) { r.work_ms = 0; }},
      {"little worth", Why::kLittleWorth, [](Refused& r) { r.priority_weight = 0.49; }},
      {"enough worth", {}, [](Refused& r) { r.priority_weight = 0.5; }},
      {"just in time", {}, [](Refused& r) { r.latency_objective_left = Milliseconds(50); }},
      {"past its aim", Why::kNoTime, [](Refused& r) { r.latency_objective_left = Milliseconds(49); }},
      {"past its deadline", Why::kNoTime, [](Refused& r) { r.deadline_left = Milliseconds(49); }}};
  Options options;
  options.least_worth_per_work = 0.05;
  for (const Case& each : kTable) {
    Ready bed(options);
    Refused request = Safe(1);
    request.retry_after = Milliseconds(70);
    each.change(request);
    const auto sent = bed.Refuse(request);
    EXPECT_EQ(sent.has_value(), !each.why) << each.name;
    EXPECT_EQ(bed.spill.open(), each.why ? 0u : 1u) << each.name;
    if (!each.why) {
      EXPECT_EQ(bed.Find<SendTo>()->timeout, request.deadline_left);
      continue;
    }
    const GiveUp given = *bed.Find<GiveUp>();
    EXPECT_EQ(Name(given.why), Name(*each.why)) << each.name;
    EXPECT_EQ(given.may_have_run, request.may_have_run) << each.name;
    EXPECT_EQ(given.retry_after, request.retry_after) << each.name;
  }
}

TEST(Rules, TheNeighboursWaitCounts) {
  Bed bed(2);
  Estimate busy = Spare("b", 8000);
  busy.wait_ms = 951;
  bed.Pass(Milliseconds(500), {busy});
  EXPECT_FALSE(bed.Refuse(Safe(1)));
  EXPECT_EQ(bed.Find<GiveUp>()->why, Why::kNoTime);
}

TEST(Rules, OnlyASiteThatIsOverAndHasSettledSpills) {
  Estimate fresh = Over("a");
  fresh.for_ms = 1999;
  Estimate quiet = Spare("a", 0);
  for (const Estimate& own : {fresh, quiet}) {
    Ready bed;
    bed.Hear(own);
    bed.passed += Milliseconds(1);
    bed.Hear(own);
    EXPECT_FALSE(bed.Refuse(Safe(1)));
    EXPECT_EQ(bed.Find<GiveUp>()->why, Why::kNotOver);
  }
  Bed alone(2);
  alone.Hear(fresh);
  alone.Pass(Milliseconds(500), {Spare("b", 8000)});
  EXPECT_TRUE(alone.Refuse(Safe(1))) << "no third site whose gateways it would have to wait for";
  Ready stale;
  stale.passed += Milliseconds(3000);
  for (const Estimate& estimate : kBothHaveSpare) stale.Hear(estimate);
  EXPECT_FALSE(stale.Refuse(Safe(1))) << "it hears nothing of itself";
}

TEST(Rules, ASiteWithoutSpareIsSentNothing) {
  Bed bed(3);
  bed.Pass(Milliseconds(500), {Over("b"), Spare("c", 8000)});
  for (RequestId id = 1; id <= 100; ++id) {
    bed.Pass(Milliseconds(100), {Over("b"), Spare("c", 8000)});
    const auto sent = bed.Refuse(Safe(id));
    ASSERT_TRUE(sent);
    EXPECT_EQ(sent->site, "c");
  }
}

TEST(Spill, NobodyIsKnownOrPresent) {
  Bed unknown(2);
  EXPECT_FALSE(unknown.Refuse(Safe(1)));
  Ready bed;
  for (const char* site : {"b", "c"}) bed.Do(Presence{{site, "1"}, false});
  EXPECT_FALSE(bed.Refuse(Safe(1)));
  EXPECT_EQ(bed.Find<GiveUp>()->why, Why::kNoNeighbour);
}

// What comes of a request for each effect and outcome of its first attempt.
TEST(Spill, AfterAnAttempt) {
  struct Case {
    Idempotency idempotency;
    SpillOutcome outcome;
    bool again;                        // sent once more, elsewhere
    std::optional<bool> may_have_run;  // of the final answer; nothing: the neighbour's goes to the client
  };
  const Case kTable[] = {{Idempotency::kIdempotent, SpillOutcome::kOk, false, {}},
                         {Idempotency::kIdempotent, SpillOutcome::kRefused, true, false},
                         {Idempotency::kIdempotent, SpillOutcome::kNotRun, true, false},
                         {Idempotency::kIdempotent, SpillOutcome::kMayHaveRun, true, true},
                         {Idempotency::kNotIdempotent, SpillOutcome::kOk, false, {}},
                         {Idempotency::kNotIdempotent, SpillOutcome::kRefused, false, false},
                         {Idempotency::kNotIdempotent, SpillOutcome::kNotRun, false, false},
                         {Idempotency::kNotIdempotent, SpillOutcome::kMayHaveRun, false, true}};
  for (const Case& each : kTable) {
    Ready bed;
    Refused request = Safe(1);
    request.idempotency = each.idempotency;
    const auto first = bed.Refuse(request);
    ASSERT_TRUE(first);
    bed.Do(SpillAnswered{1, *first, each.outcome, {}, {}});
    const auto second = bed.Find<SendTo>();
    ASSERT_EQ(second.has_value(), each.again);
    if (second) {
      EXPECT_NE(second->neighbour.site, first->site);
      EXPECT_TRUE(bed.Do(SpillAnswered{1, *first, SpillOutcome::kOk, {}, {}}).empty()) << "answered already";
      bed.Do(SpillAnswered{1, second->neighbour, SpillOutcome::kRefused, {}, {}});
      EXPECT_FALSE(bed.Find<SendTo>());
    }
    const auto given = bed.Find<GiveUp>();
    EXPECT_EQ(given ? std::optional(given->may_have_run) : std::nullopt, each.may_have_run);
    EXPECT_EQ(bed.spill.open(), 0u);
  }
}

TEST(Spill, NoSecondAttemptWithoutTimeOrOnceTheSiteHasSpare) {
  for (const bool late : {true, false}) {
    Ready bed;
    const auto first = bed.Refuse(Safe(1));
    bed.passed += Milliseconds(late ? 960 : 10);
    if (!late) bed.Hear(Spare("a", 10));
    bed.Do(SpillAnswered{1, *first, SpillOutcome::kNotRun, {}, {}});
    EXPECT_EQ(bed.Find<GiveUp>()->why, late ? Why::kNoTime : Why::kNotOver);
  }
}

TEST(Spill, AnAnswersEstimateCutsTheShareAtOnce) {
  Ready bed;
  bed.Do(Presence{{"c", "1"}, false});
  const auto first = bed.Refuse(Safe(1));
  ASSERT_TRUE(first);
  Estimate none = Over("b");
  none.made_at = kWall + static_cast<UnixMs>(bed.passed.count()) + 1;
  bed.Do(SpillAnswered{1, *first, SpillOutcome::kRefused, {}, EstimateHeard{none, none.made_at}});
  EXPECT_FALSE(bed.Refuse(Safe(2)));
  EXPECT_EQ(bed.Find<GiveUp>()->why, Why::kNoShare);
}

TEST(Spill, AClientThatLeavesEndsItsRequest) {
  Ready bed;
  const auto sent = bed.Refuse(Safe(1));
  bed.Do(ClientGone{1});
  EXPECT_EQ(bed.spill.open(), 0u);
  EXPECT_TRUE(bed.Do(SpillAnswered{1, *sent, SpillOutcome::kNotRun, {}, {}}).empty());
}

TEST(Spill, KeysStayWithTheirNeighbourWhileItIsWarmAndFit) {
  Ready bed(Options{}, 3);
  Refused request = Safe(1);
  request.key = 77;
  const auto first = bed.Refuse(request);
  bed.Do(SpillAnswered{1, *first, SpillOutcome::kOk, {}, {}});
  for (RequestId id = 2; id < 30; ++id) {
    bed.Pass(Milliseconds(200), kBothHaveSpare);
    request.request = id;
    ASSERT_EQ(bed.Refuse(request), first);
    bed.Do(SpillAnswered{id, *first, SpillOutcome::kOk, {}, {}});
  }
  bed.Do(Presence{*first, false});
  request.request = 30;
  EXPECT_NE(bed.Refuse(request), first);
}

TEST(Spill, ChoosesBetweenNeighboursByWhatIsLeftOfTheirShares) {
  Ready bed;
  std::map<std::string, int> sent;
  const std::vector<Estimate> uneven{Spare("b", 8000), Spare("c", 24000)};
  for (RequestId id = 1; id <= 400; ++id) {
    bed.Pass(Milliseconds(100), uneven);
    if (const auto to = bed.Refuse(Safe(id))) ++sent[to->site];
  }
  EXPECT_EQ(sent["c"], 400) << "of two, always the one with more left";
  const std::vector<Estimate> even{Spare("b", 8000), Spare("c", 8000)};
  for (RequestId id = 401; id <= 800; ++id) {
    bed.Pass(Milliseconds(100), even);
    if (const auto to = bed.Refuse(Safe(id))) ++sent[to->site];
  }
  EXPECT_GT(sent["b"], 100);
  EXPECT_GT(sent["c"], 500);
}

// Twice as much is asked as is offered, half of it worth ten times as much.
TEST(Spill, KeepsAScarceOfferForWhatIsWorthMore) {
  Bed bed(2);
  std::map<double, int> sent;
  for (RequestId id = 1; id <= 4000; ++id) {
    if (id % 40 == 0) bed.Pass(Milliseconds(100), {Spare("b", 4000)});
    Refused request = Safe(id);
    request.priority_weight = id % 2 == 0 ? 10 : 1;
    if (bed.Refuse(request)) ++sent[request.priority_weight];
    bed.Do(ClientGone{id});
  }
  EXPECT_GT(sent[10], 1300) << "of 2000; without a price 1000";
  EXPECT_LT(sent[1], 600);
}

// While requests of higher worth ask for all that is offered, one of lower worth leaves them part of a share.
TEST(Spill, LeavesPartOfAShareToWhatIsWorthMore) {
  Bed bed(2);
  bed.Pass(Milliseconds(500), {Spare("b", 4000)});
  const auto send = [&](RequestId id, double priority_weight) {
    Refused request = Safe(id);
    request.priority_weight = priority_weight;
    return bed.Refuse(request).has_value();
  };
  RequestId id = 0;
  for (int i = 0; i < 80; ++i) {
    bed.Pass(Milliseconds(100), {Spare("b", 4000)});
    for (int n = 0; n < 18; ++n) send(++id, 10);  // nine tenths of what is offered
  }
  for (int i = 0; i < 100 && send(++id, 10); ++i) {
  }
  bed.Pass(Milliseconds(100), {Spare("b", 4000)});  // half of the depth has gathered again
  for (int i = 0; i < 10; ++i) {
    EXPECT_FALSE(send(++id, 1));
    ASSERT_TRUE(bed.Find<GiveUp>());
    EXPECT_EQ(bed.Find<GiveUp>()->why, Why::kNoShare);
  }
  EXPECT_TRUE(send(++id, 10));
}

TEST(Spill, LeavesAGatewayThatRefusesAndSaysSo) {
  Bed bed(2, Options{}, 2);
  const std::vector<Estimate> spare{Spare("b", 8000)};
  const Neighbour bad{"b", "1"};
  bed.Pass(Milliseconds(500), spare);
  bool left = false;
  for (RequestId id = 1; id <= 60; ++id) {
    bed.Pass(Milliseconds(100), spare);
    Refused request = Safe(id);
    request.idempotency = Idempotency::kNotIdempotent;
    const auto to = bed.Refuse(request);
    ASSERT_TRUE(to);
    const bool is_bad = *to == bad;
    EXPECT_FALSE(left && is_bad);
    bed.Do(SpillAnswered{id, *to, is_bad ? SpillOutcome::kNotRun : SpillOutcome::kOk, {}, {}});
    if (const auto log = bed.Find<Log>()) left = left || log->kind == &kNeighbourLeft;
    if (left) break;
  }
  EXPECT_TRUE(left);
}

TEST(Spill, TellsWhenItBeginsAndEndsAndComplainsNotTooOften) {
  Bed bed(2);
  bed.passed += Milliseconds(10);
  bed.Hear(Spare("a", 100));
  ASSERT_TRUE(bed.Find<Log>());
  EXPECT_EQ(bed.Find<Log>()->kind, nullptr);
  bed.passed += Milliseconds(10);
  bed.Hear(Over("a"));
  EXPECT_TRUE(bed.Find<Log>());
  bed.Do(EstimateHeard{Over("z"), kWall});
  EXPECT_EQ(bed.Find<Log>()->kind, &kUnknownSite);
  EXPECT_TRUE(bed.Do(EstimateHeard{Over("z"), kWall}).empty());
  EXPECT_NE(bed.spill.Describe(bed.now()).find("spilling; a over"), std::string::npos);
}

}  // namespace
}  // namespace load_balancer::overflow
