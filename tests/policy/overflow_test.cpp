// SPDX-License-Identifier: Apache-2.0
//
// Tests the interface to the federation: the quota status of a request, overflow from another site, and the
// estimate of spare capacity.
#include <gtest/gtest.h>

#include <random>
#include <set>

#include "harness.h"

namespace load_balancer::testing {
namespace {

RequestReceived Request(const Rig& rig, RequestId id, QuotaStatus quota_status, bool is_overflow,
                        int cls = 2) {
  RequestReceived received;
  received.request = id;
  received.request_class = cls;
  received.has_hint = true;
  received.work_ms = 10;
  received.due = At(rig.now + 1000);
  received.quota_status = quota_status;
  received.is_overflow = is_overflow;
  return received;
}

// The proxy's part of the quota suffices for one request. If the quota status of a request is known, that
// part is neither checked nor charged.
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

// A new proxy has a limit of two attempts in flight. Requests of this site may use all of it despite
// overflow.
TEST(Overflow, IsAdmittedToAFractionOfTheSpareCapacity) {
  const struct {
    double max_fraction;
    int own_requests, expected_overflow;
  } table[] = {{0, 0, 0}, {0.4, 0, 0}, {0.5, 0, 1}, {1, 0, 2}, {1, 1, 1}, {0.5, 1, 0}, {1, 2, 0}, {7, 0, 2}};
  for (const auto& row : table) {
    SCOPED_TRACE(&row - table);
    Rig rig;
    rig.Servers(1);
    if (row.max_fraction > 0) rig.Handle(OverflowShare{row.max_fraction});
    RequestId id = 0;
    for (int i = 0; i < row.own_requests; ++i) ASSERT_TRUE(rig.Send(++id));
    int sent = 0;
    for (int i = 0; i < 4; ++i) {
      rig.Handle(Request(rig, ++id, QuotaStatus::kUnknown, true));
      sent += rig.SentTo(id).has_value();
      EXPECT_EQ(rig.Count<Dispatch>() + rig.Count<Reject>(), 1) << "it is sent at once or rejected at once";
    }
    EXPECT_EQ(sent, row.expected_overflow);
    for (int i = row.own_requests; i < 2; ++i)
      EXPECT_TRUE(rig.Send(++id)) << "overflow does not use up the limit for requests of this site";
  }
}

TEST(Overflow, IsNotRetried) {
  for (const auto& [outcome, is_rejected] :
       {std::pair(Outcome::kOverloaded, true), {Outcome::kReset, false}}) {
    Rig rig;
    rig.Servers(3);
    rig.Handle(OverflowShare{1});
    rig.Handle(Request(rig, 1, QuotaStatus::kUnknown, true));
    rig.EndAttempt(1, 0, rig.SentTo(1).value(), outcome);
    EXPECT_EQ(rig.Count<Reject>(), is_rejected);
    EXPECT_EQ(rig.Count<FailRequest>(), !is_rejected);
    EXPECT_EQ(rig.Count<Dispatch>(), 0);
  }
}

TEST(Overflow, IsNotSentWhileARequestOfThisSiteIsQueued) {
  int sent_overflow = 0, rejected_behind_own = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    std::mt19937_64 rng(seed);
    Rig rig(DefaultSettings(), seed);
    rig.Servers(2);
    rig.Handle(OverflowShare{1});
    std::set<RequestId> own_requests, queued;
    std::vector<Dispatch> outstanding;
    for (RequestId id = 1; id <= 2000; ++id) {
      rig.now += static_cast<double>(rng() % 5);
      const std::size_t before = rig.sent.size();
      if (rng() % 3 == 0 && !outstanding.empty()) {
        std::swap(outstanding[rng() % outstanding.size()], outstanding.back());
        const Dispatch d = outstanding.back();
        outstanding.pop_back();
        rig.EndAttempt(d.request, 0, d.server, Outcome::kOk, 20);
      } else if (rng() % 3) {
        own_requests.insert(id), queued.insert(id);
        rig.Send(id, 2, 10);
      } else {
        const bool has_queued_own = !queued.empty();
        rig.Handle(Request(rig, id, QuotaStatus::kUnknown, true));
        sent_overflow += rig.SentTo(id).has_value();
        rejected_behind_own += has_queued_own;
        EXPECT_FALSE(has_queued_own && rig.SentTo(id));
      }
      for (const Action& a : rig.actions) {
        if (const auto* r = std::get_if<Reject>(&a)) queued.erase(r->request);
      }
      for (std::size_t i = before; i < rig.sent.size(); ++i) {
        queued.erase(rig.sent[i].request);
        outstanding.push_back(rig.sent[i]);
      }
    }
  }
  EXPECT_GT(sent_overflow, 100);
  EXPECT_GT(rejected_behind_own, 100);
}

TEST(Overflow, SpareCapacityIsTheUnusedPartOfTheLimit) {
  Rig rig;
  EXPECT_EQ(rig.EstimateSpareCapacity().work_per_ms, 0) << "nothing has been measured yet";
  rig.Servers(3);
  RequestId id = 0;
  const auto send_and_respond = [&](int n) {
    for (int i = 0; i < n; ++i) {
      rig.Tick(10);
      if (const auto s = rig.Send(++id, 2, 10, 5000)) rig.EndAttempt(id, 0, *s, Outcome::kOk, 20);
    }
  };
  send_and_respond(500);
  const SpareCapacity idle = rig.EstimateSpareCapacity();
  EXPECT_GT(idle.work_per_ms, 0);
  EXPECT_GT(idle.work_per_ms_lower_bound, 0);
  EXPECT_LT(idle.work_per_ms_lower_bound, idle.work_per_ms);
  EXPECT_EQ(idle.wait.count(), 0);

  std::vector<Dispatch> outstanding;
  double before = idle.work_per_ms;
  while (outstanding.size() < 1000 && rig.Send(++id, 2, 10, 5000)) {
    outstanding.push_back(rig.sent.back());
    EXPECT_LT(rig.EstimateSpareCapacity().work_per_ms, before) << "each request reduces the spare capacity";
    before = rig.EstimateSpareCapacity().work_per_ms;
  }
  ASSERT_LT(outstanding.size(), 1000u);
  EXPECT_EQ(rig.EstimateSpareCapacity().work_per_ms, 0) << "a request is queued";
  EXPECT_GT(rig.EstimateSpareCapacity().wait.count(), 0);

  rig.Handle(ClientGone{id});
  EXPECT_FALSE(rig.Send(++id, 2, 10, 5)) << "its deadline is too close for queueing";
  EXPECT_EQ(rig.Count<Reject>(), 1);
  for (const Dispatch& d : outstanding) rig.EndAttempt(d.request, 0, d.server, Outcome::kOk, 20);
  EXPECT_EQ(rig.EstimateSpareCapacity().work_per_ms, 0) << "a request has just been rejected";
  rig.now += 1000;
  EXPECT_GT(rig.EstimateSpareCapacity().work_per_ms, 0);
}

}  // namespace
}  // namespace load_balancer::testing
