// SPDX-License-Identifier: Apache-2.0
#include "quota/account.h"

#include <gtest/gtest.h>

#include "quota/failures.h"

namespace load_balancer::quota {
namespace {

using std::chrono::milliseconds;
using Source = PartnerAccount::Source;

constexpr std::uint64_t kLife = 77;

// 60 requests a second for all, a sixth of them one gateway's floor; clocks are taken to be exact.
std::shared_ptr<Budgets> Sample(std::uint64_t revision = 1, Milli floor = 20 * kOne) {
  auto budgets = std::make_shared<Budgets>();
  budgets->revision = revision;
  budgets->partners["isar"] = {60 * kOne, 120 * kOne, Unit::kRequests, Over::kRefuse, {{"muc", floor}}};
  return budgets;
}

class AccountTest : public testing::Test {
 protected:
  static constexpr Milli kFloor = 10 * kOne;
  AccountTest() : account_({"muc", 2, kLife, 1, TimingsOf()}, Sample(), At(0)) {}

  static Timings TimingsOf() {
    Timings timings;
    timings.drift = milliseconds(0);
    return timings;
  }
  static Time At(int ms) { return Time(milliseconds(1'000'000 + ms)); }

  Verdict Charge(int ms) { return account_.Charge(At(ms), "isar", 1).verdict; }
  // How many fit at once.
  int Level(int ms) {
    int fit = 0;
    while (Charge(ms) == Verdict::kInside) ++fit;
    return fit;
  }
  std::vector<Request> Tick(int ms) {
    AccountActions actions;
    account_.Tick(At(ms), &actions);
    return Requests(actions);
  }
  static std::vector<Request> Requests(const AccountActions& actions) {
    std::vector<Request> requests;
    for (const AccountAction& action : actions)
      if (const auto* send = std::get_if<SendRequest>(&action)) requests.push_back(send->request);
    return requests;
  }
  std::vector<Request> Receive(int ms, const Answer& answer) {
    AccountActions actions;
    account_.Receive(At(ms), 0, answer, &actions);
    return Requests(actions);
  }
  static Answer GrantOf(std::uint64_t ask, std::uint64_t number, Milli rate, std::uint64_t token = 1) {
    return {kLife, 1, token, false, {{"isar", ask, number, {rate, 2 * rate}, 2000}}, {}, {}};
  }
  // Makes the account ask at `ms`, and says by which number.
  std::uint64_t Ask(int ms) {
    Charge(ms);
    const auto requests = Tick(ms);
    EXPECT_EQ(requests.size(), 1u);
    return requests.empty() ? 0 : requests[0].ask;
  }

  Account account_;
};

TEST_F(AccountTest, ANewLifeHasNoFloorUntilALentOneIsBack) {
  EXPECT_EQ(Level(1999), 0);
  EXPECT_EQ(account_.Charge(At(1999), "isar", 1).retry_after, milliseconds(101));
  EXPECT_EQ(Level(2500), 5);
  EXPECT_EQ(account_.Charge(At(2500), "isar", 1).retry_after, milliseconds(100));
  EXPECT_EQ(Level(60'000), 20);  // the floor's part of the burst
  EXPECT_EQ(account_.Charge(At(0), "lech", 1).verdict, Verdict::kUnknown);
}

TEST_F(AccountTest, AGrantCountsFromItsAskAndPutsTheFloorAwayUntilItsEnd) {
  Level(3000);  // more than the floor is enough for
  const std::uint64_t ask = Ask(3000);
  Level(3500);
  const auto acks = Receive(3500, GrantOf(ask, 1, 2 * kOne));
  ASSERT_EQ(acks.size(), 1u);
  EXPECT_EQ(acks[0].acks.at(0).grant, (GrantId{1, 1}));
  EXPECT_EQ(acks[0].acks.at(0).away_ms, 1500u);
  EXPECT_EQ(Level(4500), 2);
  EXPECT_EQ(Level(4999), 0);  // 2 a second since, which is not yet one
  EXPECT_EQ(Level(5101), 2);  // the floor since 5000: one more by it, and one by the grant's last half second
}

TEST_F(AccountTest, OldRepeatedLateAndForeignGrantsChangeNothing) {
  const std::uint64_t ask = Ask(0);
  ASSERT_EQ(Receive(10, GrantOf(ask, 5, 30 * kOne)).size(), 1u);
  EXPECT_TRUE(Receive(10, GrantOf(ask, 5, 60 * kOne)).empty());      // a repeat
  EXPECT_TRUE(Receive(10, GrantOf(ask, 4, 60 * kOne)).empty());      // overtaken
  EXPECT_TRUE(Receive(10, GrantOf(ask + 1, 6, 60 * kOne)).empty());  // of no ask
  Answer foreign = GrantOf(ask, 7, 60 * kOne);
  foreign.life = kLife + 1;
  EXPECT_TRUE(Receive(10, foreign).empty());
  Answer newer = GrantOf(ask, 8, 60 * kOne);
  newer.revision = 2;
  EXPECT_TRUE(Receive(10, newer).empty());
  EXPECT_EQ(Level(1010), 30);
  EXPECT_TRUE(Receive(2000, GrantOf(ask, 9, 60 * kOne)).empty());      // its time is over
  EXPECT_EQ(Receive(1020, GrantOf(ask, 1, 60 * kOne, 2)).size(), 1u);  // a newer allocator counts anew
}

TEST_F(AccountTest, AsksAtOnceWhereDemandShiftsAndKeepsQuietWithoutAny) {
  std::vector<int> asked;
  std::uint64_t last = 0;
  // 50 a second for 2 s, then nothing.
  for (int ms = 0; ms < 6000; ms += 10) {
    if (ms < 2000 && ms % 20 == 0) Charge(ms);
    if (account_.Next() > At(ms)) continue;
    for (const Request& request : Tick(ms)) {
      asked.push_back(ms);
      last = request.ask;
      EXPECT_EQ(request.asks.at(0).held.partner, "isar");
      Receive(ms, GrantOf(request.ask, request.ask, 60 * kOne));
      EXPECT_TRUE(ms <= 2000 || request.asks[0].demand == 0);
    }
  }
  ASSERT_GE(asked.size(), 3u);
  EXPECT_EQ(asked[0], 0);
  EXPECT_LE(asked.size(), 10u);
  EXPECT_GE(asked.back(), 2000);
  EXPECT_LE(asked.back(), 2250);  // gives back at once
  EXPECT_EQ(account_.Next(), Time::max());
  // A call alone makes it ask again.
  Receive(6000, {0, 1, 1, false, {}, {"isar"}, {}});
  EXPECT_EQ(Tick(6000).size(), 1u);
  EXPECT_GT(last, 0u);
}

TEST_F(AccountTest, RenewsAGrantThatIsAnAnswerThoughItIsLess) {
  // A tenth of the demand, for 10 s: each renewal well before the end, and not each 250 ms.
  int answered = 0, unanswered = 0;
  for (int ms = 0; ms < 10'000; ms += 10) {
    if (ms % 50 == 0) Charge(ms);
    if (account_.Next() > At(ms)) continue;
    for (const Request& request : Tick(ms)) {
      if (ms >= 2000 && ms < 8000) ++answered;
      if (ms >= 8000) ++unanswered;
      if (ms < 8000) Receive(ms, GrantOf(request.ask, request.ask, 2 * kOne));
    }
  }
  EXPECT_LE(answered, 6000 / 500);
  EXPECT_GE(unanswered, 6);  // each 250 ms from the renewal on that was not answered
}

TEST_F(AccountTest, ACreditComesBackOnlyWhereItWasCharged) {
  const Charged charged = account_.Charge(At(2500), "isar", 3);
  ASSERT_EQ(charged.verdict, Verdict::kInside);
  account_.Credit(At(2600), charged.ticket);
  EXPECT_EQ(Level(2600), 6);
  const Charged over = account_.Charge(At(2600), "isar", 1);
  account_.Credit(At(2601), over.ticket);
  EXPECT_EQ(Level(2601), 0);
}

TEST_F(AccountTest, AFloorThatIsRaisedCountsOnceAllGatewaysHaveIt) {
  AccountActions actions;
  account_.Renew(At(30'000), Sample(2, 40 * kOne), &actions);
  ASSERT_EQ(Requests(actions).size(), 1u);  // tells the new revision, though there is nothing to ask for
  EXPECT_EQ(Requests(actions)[0].revision, 2u);
  EXPECT_EQ(Level(60'000), 20);
  Answer agreed{0, 2, 1, true, {}, {}, {}};
  Receive(60'000, agreed);
  EXPECT_EQ(Level(120'000), 40);
  // A cut counts at once, and before the file is read here where an allocator has it.
  Receive(120'000, {0, 3, 1, false, {}, {}, {{"isar", {kOne, 2 * kOne}}}});
  EXPECT_EQ(Level(180'000), 2);
}

TEST_F(AccountTest, AfterItRetiredItHasNoFloorAndAsksNobody) {
  account_.Retire(At(5000));
  EXPECT_EQ(Level(60'000), 0);
  EXPECT_TRUE(Tick(60'000).empty());
}

}  // namespace
}  // namespace load_balancer::quota
