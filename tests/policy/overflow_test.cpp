// SPDX-License-Identifier: Apache-2.0
//
// What the federation tells the module, a partner's quota status and another site's overflow, and what it
// asks for: the spare capacity.
#include <gtest/gtest.h>

#include <random>
#include <set>

#include "harness.h"

namespace load_balancer::testing {
namespace {

RequestReceived Request(const Rig& rig, RequestId id, QuotaStatus share, bool spilled, int cls = 2) {
  RequestReceived s;
  s.request = id;
  s.request_class = cls;
  s.has_hint = true;
  s.work_ms = 10;
  s.due = At(rig.now + 1000);
  s.quota_status = share;
  s.is_overflow = spilled;
  return s;
}

// One request is within the static quota, which a known quota status neither reads nor charges.
TEST(Overflow, TheQuotaStatusReplacesTheDividedQuota) {
  const struct {
    QuotaStatus first, second;
    bool first_goes, second_goes;
  } table[] = {{QuotaStatus::kUnknown, QuotaStatus::kUnknown, true, false},
               {QuotaStatus::kOverQuota, QuotaStatus::kUnknown, false, true},
               {QuotaStatus::kWithinQuota, QuotaStatus::kUnknown, true, true},
               {QuotaStatus::kUnknown, QuotaStatus::kWithinQuota, true, true},
               {QuotaStatus::kUnknown, QuotaStatus::kOverQuota, true, false},
               {QuotaStatus::kWithinQuota, QuotaStatus::kWithinQuota, true, true}};
  for (const auto& row : table) {
    SCOPED_TRACE(&row - table);
    Settings settings = DefaultSettings();
    settings.tenants = {{0.4}};
    settings.over_quota_priority_share = 0;
    Rig rig(settings);
    rig.Servers(2);
    rig.Handle(Request(rig, 1, row.first, false));
    EXPECT_EQ(rig.SentTo(1).has_value(), row.first_goes);
    rig.Handle(Request(rig, 2, row.second, false));
    EXPECT_EQ(rig.SentTo(2).has_value(), row.second_goes);
  }
}

// A new proxy has a limit of two in flight; its own requests have all of it, whatever the overflow.
TEST(Overflow, GetsItsFractionOfTheCapacityThatIsLeft) {
  const struct {
    double part;
    int own, spilled;
  } table[] = {{0, 0, 0}, {0.4, 0, 0}, {0.5, 0, 1}, {1, 0, 2}, {1, 1, 1}, {0.5, 1, 0}, {1, 2, 0}, {7, 0, 2}};
  for (const auto& row : table) {
    SCOPED_TRACE(&row - table);
    Rig rig;
    rig.Servers(1);
    if (row.part > 0) rig.Handle(OverflowShare{row.part});
    RequestId id = 0;
    for (int i = 0; i < row.own; ++i) ASSERT_TRUE(rig.Send(++id));
    int sent = 0;
    for (int i = 0; i < 4; ++i) {
      rig.Handle(Request(rig, ++id, QuotaStatus::kUnknown, true));
      sent += rig.SentTo(id).has_value();
      EXPECT_EQ(rig.Count<Dispatch>() + rig.Count<Reject>(), 1) << "it goes at once or is refused at once";
    }
    EXPECT_EQ(sent, row.spilled);
    for (int i = row.own; i < 2; ++i) EXPECT_TRUE(rig.Send(++id)) << "own requests have their room";
  }
}

TEST(Overflow, IsNotRetried) {
  for (const auto& [outcome, refused] : {std::pair(Outcome::kOverloaded, true), {Outcome::kReset, false}}) {
    Rig rig;
    rig.Servers(3);
    rig.Handle(OverflowShare{1});
    rig.Handle(Request(rig, 1, QuotaStatus::kUnknown, true));
    rig.EndAttempt(1, 0, rig.SentTo(1).value(), outcome);
    EXPECT_EQ(rig.Count<Reject>(), refused);
    EXPECT_EQ(rig.Count<FailRequest>(), !refused);
    EXPECT_EQ(rig.Count<Dispatch>(), 0);
  }
}

TEST(Overflow, IsNotSentWhileAnOwnRequestIsQueued) {
  int spilled = 0, waited = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    std::mt19937_64 rng(seed);
    Rig rig(DefaultSettings(), seed);
    rig.Servers(2);
    rig.Handle(OverflowShare{1});
    std::set<RequestId> own, waiting;
    std::vector<Dispatch> out;
    for (RequestId id = 1; id <= 2000; ++id) {
      rig.now += static_cast<double>(rng() % 5);
      const std::size_t before = rig.sent.size();
      if (rng() % 3 == 0 && !out.empty()) {
        std::swap(out[rng() % out.size()], out.back());
        const Dispatch d = out.back();
        out.pop_back();
        rig.EndAttempt(d.request, 0, d.server, Outcome::kOk, 20);
      } else if (rng() % 3) {
        own.insert(id), waiting.insert(id);
        rig.Send(id, 2, 10);
      } else {
        const bool behind = !waiting.empty();
        rig.Handle(Request(rig, id, QuotaStatus::kUnknown, true));
        spilled += rig.SentTo(id).has_value();
        waited += behind;
        EXPECT_FALSE(behind && rig.SentTo(id));
      }
      for (const Action& a : rig.actions) {
        if (const auto* r = std::get_if<Reject>(&a)) waiting.erase(r->request);
      }
      for (std::size_t i = before; i < rig.sent.size(); ++i) {
        waiting.erase(rig.sent[i].request);
        out.push_back(rig.sent[i]);
      }
    }
  }
  EXPECT_GT(spilled, 100);
  EXPECT_GT(waited, 100);
}

TEST(Overflow, SpareCapacityIsWhatAdmissionHasLeft) {
  Rig rig;
  EXPECT_EQ(rig.EstimateSpareCapacity().work_per_ms, 0) << "nothing is known";
  rig.Servers(3);
  RequestId id = 0;
  const auto answer = [&](int n) {
    for (int i = 0; i < n; ++i) {
      rig.Tick(10);
      if (const auto s = rig.Send(++id, 2, 10, 5000)) rig.EndAttempt(id, 0, *s, Outcome::kOk, 20);
    }
  };
  answer(500);
  const SpareCapacity idle = rig.EstimateSpareCapacity();
  EXPECT_GT(idle.work_per_ms, 0);
  EXPECT_GT(idle.work_per_ms_lower_bound, 0);
  EXPECT_LT(idle.work_per_ms_lower_bound, idle.work_per_ms);
  EXPECT_EQ(idle.wait.count(), 0);

  std::vector<Dispatch> out;
  double before = idle.work_per_ms;
  while (out.size() < 1000 && rig.Send(++id, 2, 10, 5000)) {
    out.push_back(rig.sent.back());
    EXPECT_LT(rig.EstimateSpareCapacity().work_per_ms, before) << "each one takes its room";
    before = rig.EstimateSpareCapacity().work_per_ms;
  }
  ASSERT_LT(out.size(), 1000u);
  EXPECT_EQ(rig.EstimateSpareCapacity().work_per_ms, 0) << "one is held";
  EXPECT_GT(rig.EstimateSpareCapacity().wait.count(), 0);

  rig.Handle(ClientGone{id});
  EXPECT_FALSE(rig.Send(++id, 2, 10, 5)) << "too late to be held";
  EXPECT_EQ(rig.Count<Reject>(), 1);
  for (const Dispatch& d : out) rig.EndAttempt(d.request, 0, d.server, Outcome::kOk, 20);
  EXPECT_EQ(rig.EstimateSpareCapacity().work_per_ms, 0) << "one was refused just now";
  rig.now += 1000;
  EXPECT_GT(rig.EstimateSpareCapacity().work_per_ms, 0);
}

}  // namespace
}  // namespace load_balancer::testing
