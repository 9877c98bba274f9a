// SPDX-License-Identifier: Apache-2.0
//
// The module's part in what operators do: servers out and back, and one process beside another.
#include <gtest/gtest.h>

#include "harness.h"

namespace brackenspoke::testing {
namespace {

TEST(Maintenance, NothingIsDispatchedToADetachedServerWhateverListsSay) {
  Rig rig;
  rig.Do(Detach{2});  // before any list names it
  rig.Servers(2);
  RequestId id = 0;
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(rig.Ask(++id), 1u);
    rig.End(id, 0, 1, Outcome::kOk);
  }
  rig.List({Entry(1)});
  rig.List({Entry(1), Entry(2, 0, 0, ServerState::kReady, 99000)});
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(rig.Ask(++id), 1u);
    rig.End(id, 0, 1, Outcome::kOk);
  }
}

TEST(Maintenance, ARetryDoesNotGoToADetachedServer) {
  Rig rig;
  rig.Servers(2);
  const auto first = rig.Ask(1);
  ASSERT_TRUE(first);
  rig.Do(Detach{3 - *first});
  rig.End(1, 0, *first, Outcome::kConnectFailed);
  EXPECT_NE(rig.SentTo(1), 3 - *first);
}

TEST(Maintenance, OutTwiceAndBackOnceIsBack) {
  Rig rig;
  rig.Servers(1);
  rig.Do(Detach{1});
  rig.Do(Detach{1});
  EXPECT_FALSE(rig.Ask(1));
  rig.Do(Attach{1});
  rig.Tick(2000);
  rig.Do(Attach{1});
  EXPECT_EQ(rig.Ask(2), 1u);
}

// Answers of two servers, each as fast as the other, for so long.
std::map<ServerId, int> Serve(Rig& rig, RequestId& id, double ms) {
  std::map<ServerId, int> got;
  for (double end = rig.now + ms; rig.now < end; rig.now += 10) {
    const auto server = rig.Ask(++id, 0, 20);
    if (!server) continue;
    ++got[*server];
    rig.End(id, 0, *server, Outcome::kOk, 5);
  }
  return got;
}

TEST(Maintenance, AServerThatIsPutBackIsColdAndIsUsedSoon) {
  Rig rig;
  rig.Servers(2);
  RequestId id = 0;
  EXPECT_GT(Serve(rig, id, 3000)[1], 50);
  rig.Do(Detach{1});
  EXPECT_EQ(Serve(rig, id, 3000)[1], 0);
  rig.Do(Attach{1});
  auto got = Serve(rig, id, 1000);
  EXPECT_GT(got[1], 0);
  EXPECT_LT(got[1], got[2]);
}

TEST(Maintenance, EjectionEndsWithTheReturn) {
  Rig rig;
  rig.Servers(4);
  RequestId id = 0;
  for (int i = 0; i < 40; ++i, rig.now += 5) {
    const auto server = rig.Ask(++id, 2);
    if (server) rig.End(id, 0, *server, *server == 1 ? Outcome::kError : Outcome::kOk);
  }
  const auto of_one = [&] {
    int picked = 0;
    for (int i = 0; i < 20; ++i) {
      const auto server = rig.Ask(++id, 2);
      picked += server == 1u;
      if (server) rig.End(id, 0, *server, Outcome::kOk);
    }
    return picked;
  };
  ASSERT_EQ(of_one(), 0) << "ejected";
  rig.Do(Detach{1});
  rig.Do(Attach{1});
  rig.Tick(1200);
  EXPECT_GT(of_one(), 0);
}

TEST(Maintenance, TwoProcessesShareOneColdBudget) {
  const auto sent_to_cold = [](int processes) {
    Rig rig;
    rig.Do(Sharing{processes});
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

}  // namespace
}  // namespace brackenspoke::testing
