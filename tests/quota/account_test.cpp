// SPDX-License-Identifier: Apache-2.0
#include "quota/account.h"

#include <gtest/gtest.h>

#include "quota/failures.h"

namespace load_balancer::quota {
namespace {

using std::chrono::milliseconds;
using Source = PartnerAccount::Source;

constexpr std::uint64_t kIncarnation = 77;

// Returns a budget of 60 requests per second. A sixth of the budget is the reserved minimum of one gateway.
std::shared_ptr<Budgets> SampleBudgets(std::uint64_t revision = 1, MilliUnits minimum = 20 * kUnit) {
  auto budgets = std::make_shared<Budgets>();
  budgets->revision = revision;
  budgets->partners["isar"] = {
      60 * kUnit, 120 * kUnit, Unit::kRequests, OverLimitAction::kReject, {{"muc", minimum}}};
  return budgets;
}

class AccountTest : public testing::Test {
 protected:
  static constexpr MilliUnits kMinimum = 10 * kUnit;
  AccountTest() : account_({"muc", 2, kIncarnation, 1, ExactClockTimings()}, SampleBudgets(), At(0)) {}

  static Timings ExactClockTimings() {
    Timings timings;
    timings.clock_drift = milliseconds(0);
    return timings;
  }
  static Time At(int ms) { return Time(milliseconds(1'000'000 + ms)); }

  ChargeVerdict Charge(int ms) { return account_.Charge(At(ms), "isar", 1).verdict; }
  // Charges requests until one is over the budget. Returns the number of requests within the budget.
  int ChargeAll(int ms) {
    int charged = 0;
    while (Charge(ms) == ChargeVerdict::kWithinBudget) ++charged;
    return charged;
  }
  std::vector<AllocationRequest> Tick(int ms) {
    AccountActions actions;
    account_.Tick(At(ms), &actions);
    return Requests(actions);
  }
  static std::vector<AllocationRequest> Requests(const AccountActions& actions) {
    std::vector<AllocationRequest> requests;
    for (const AccountAction& action : actions)
      if (const auto* send = std::get_if<SendRequest>(&action)) requests.push_back(send->request);
    return requests;
  }
  std::vector<AllocationRequest> OnResponse(int ms, const AllocationResponse& response) {
    AccountActions actions;
    account_.OnResponse(At(ms), 0, response, &actions);
    return Requests(actions);
  }
  static AllocationResponse GrantOf(std::uint64_t request_number, std::uint64_t number, MilliUnits rate,
                                    std::uint64_t token = 1) {
    return {kIncarnation, 1, token, false, {{"isar", request_number, number, {rate, 2 * rate}, 2000}},
            {},           {}};
  }
  // Makes the account request a grant at `ms` and returns the request's number.
  std::uint64_t RequestGrant(int ms) {
    Charge(ms);
    const auto requests = Tick(ms);
    EXPECT_EQ(requests.size(), 1u);
    return requests.empty() ? 0 : requests[0].number;
  }

  Account account_;
};

TEST_F(AccountTest, UsesNoReservedMinimumWhileAnEarlierIncarnationMayHaveLentIt) {
  EXPECT_EQ(ChargeAll(1999), 0);
  EXPECT_EQ(account_.Charge(At(1999), "isar", 1).retry_after, milliseconds(101));
  EXPECT_EQ(ChargeAll(2500), 5);
  EXPECT_EQ(account_.Charge(At(2500), "isar", 1).retry_after, milliseconds(100));
  EXPECT_EQ(ChargeAll(60'000), 20);  // the depth of the reserved minimum
  EXPECT_EQ(account_.Charge(At(0), "lech", 1).verdict, ChargeVerdict::kNoBudget);
}

TEST_F(AccountTest, CountsTheLifetimeOfAGrantFromItsRequestAndLendsTheReservedMinimumUntilItsExpiry) {
  ChargeAll(3000);  // afterwards the bucket is empty, and demand exceeds the reserved minimum
  const std::uint64_t request_number = RequestGrant(3000);
  ChargeAll(3500);
  const auto acks = OnResponse(3500, GrantOf(request_number, 1, 2 * kUnit));
  ASSERT_EQ(acks.size(), 1u);
  EXPECT_EQ(acks[0].acks.at(0).grant, (GrantId{1, 1}));
  EXPECT_EQ(acks[0].acks.at(0).lent_ms, 1500u);
  EXPECT_EQ(ChargeAll(4500), 2);
  EXPECT_EQ(ChargeAll(4999), 0);  // the grant of 2 per second has not yet added one unit
  // One unit comes from the grant's last half second, and one from the reserved minimum since 5000 ms.
  EXPECT_EQ(ChargeAll(5101), 2);
}

TEST_F(AccountTest, IgnoresOldRepeatedLateAndForeignGrants) {
  const std::uint64_t request_number = RequestGrant(0);
  ASSERT_EQ(OnResponse(10, GrantOf(request_number, 5, 30 * kUnit)).size(), 1u);
  EXPECT_TRUE(OnResponse(10, GrantOf(request_number, 5, 60 * kUnit)).empty());  // repeated
  // This grant is older than the grant in force.
  EXPECT_TRUE(OnResponse(10, GrantOf(request_number, 4, 60 * kUnit)).empty());
  EXPECT_TRUE(OnResponse(10, GrantOf(request_number + 1, 6, 60 * kUnit)).empty());  // for an unknown request
  AllocationResponse foreign = GrantOf(request_number, 7, 60 * kUnit);
  foreign.incarnation = kIncarnation + 1;
  EXPECT_TRUE(OnResponse(10, foreign).empty());
  AllocationResponse newer = GrantOf(request_number, 8, 60 * kUnit);
  newer.revision = 2;
  EXPECT_TRUE(OnResponse(10, newer).empty());
  EXPECT_EQ(ChargeAll(1010), 30);
  EXPECT_TRUE(OnResponse(2000, GrantOf(request_number, 9, 60 * kUnit)).empty());  // expired
  // With a newer fencing token, the numbers of grants start from 1 again.
  EXPECT_EQ(OnResponse(1020, GrantOf(request_number, 1, 60 * kUnit, 2)).size(), 1u);
}

TEST_F(AccountTest, RequestsAGrantAtOnceWhenDemandShiftsAndNoneWithoutDemand) {
  std::vector<int> requested_at;
  std::uint64_t last = 0;
  // The gateway gets 50 requests per second for 2 s, then none.
  for (int ms = 0; ms < 6000; ms += 10) {
    if (ms < 2000 && ms % 20 == 0) Charge(ms);
    if (account_.Next() > At(ms)) continue;
    for (const AllocationRequest& request : Tick(ms)) {
      requested_at.push_back(ms);
      last = request.number;
      EXPECT_EQ(request.grant_requests.at(0).held_grant.partner, "isar");
      OnResponse(ms, GrantOf(request.number, request.number, 60 * kUnit));
      EXPECT_TRUE(ms <= 2000 || request.grant_requests[0].demand == 0);
    }
  }
  ASSERT_GE(requested_at.size(), 3u);
  EXPECT_EQ(requested_at[0], 0);
  EXPECT_LE(requested_at.size(), 10u);
  EXPECT_GE(requested_at.back(), 2000);
  EXPECT_LE(requested_at.back(), 2250);  // the account reports the end of demand at once
  EXPECT_EQ(account_.Next(), Time::max());
  // A recall makes the account send a request even if there is no demand.
  OnResponse(6000, {0, 1, 1, false, {}, {"isar"}, {}});
  EXPECT_EQ(Tick(6000).size(), 1u);
  EXPECT_GT(last, 0u);
}

TEST_F(AccountTest, RenewsAGrantThatIsSmallerThanTheDemand) {
  // For the first 8 s, the account gets grants of a tenth of its demand, and then no more responses. While it
  // gets responses, it renews each grant well before the grant expires, but sends no request every 250 ms.
  int answered = 0, unanswered = 0;
  for (int ms = 0; ms < 10'000; ms += 10) {
    if (ms % 50 == 0) Charge(ms);
    if (account_.Next() > At(ms)) continue;
    for (const AllocationRequest& request : Tick(ms)) {
      if (ms >= 2000 && ms < 8000) ++answered;
      if (ms >= 8000) ++unanswered;
      if (ms < 8000) OnResponse(ms, GrantOf(request.number, request.number, 2 * kUnit));
    }
  }
  EXPECT_LE(answered, 6000 / 500);
  EXPECT_GE(unanswered, 6);  // one request every 250 ms after the first renewal without a response
}

TEST_F(AccountTest, CreditsOnlyRequestsThatWereCharged) {
  const ChargeResult charged = account_.Charge(At(2500), "isar", 3);
  ASSERT_EQ(charged.verdict, ChargeVerdict::kWithinBudget);
  account_.Credit(At(2600), charged.receipt);
  EXPECT_EQ(ChargeAll(2600), 6);
  const ChargeResult over = account_.Charge(At(2600), "isar", 1);
  account_.Credit(At(2601), over.receipt);
  EXPECT_EQ(ChargeAll(2601), 0);
}

TEST_F(AccountTest, UsesARaisedReservedMinimumOnceAllGatewaysHaveIt) {
  AccountActions actions;
  account_.UpdateBudgets(At(30'000), SampleBudgets(2, 40 * kUnit), &actions);
  // The account reports the new revision although it requests no grant.
  ASSERT_EQ(Requests(actions).size(), 1u);
  EXPECT_EQ(Requests(actions)[0].revision, 2u);
  EXPECT_EQ(ChargeAll(60'000), 20);
  AllocationResponse agreed{0, 2, 1, true, {}, {}, {}};
  OnResponse(60'000, agreed);
  EXPECT_EQ(ChargeAll(120'000), 40);
  // A lower reserved minimum applies at once. Here an allocator reports it before this gateway has
  // read the file.
  OnResponse(120'000, {0, 3, 1, false, {}, {}, {{"isar", {kUnit, 2 * kUnit}}}});
  EXPECT_EQ(ChargeAll(180'000), 2);
}

TEST_F(AccountTest, HasNoReservedMinimumAndRequestsNothingAfterRetiring) {
  account_.Retire(At(5000));
  EXPECT_EQ(ChargeAll(60'000), 0);
  EXPECT_TRUE(Tick(60'000).empty());
}

}  // namespace
}  // namespace load_balancer::quota
