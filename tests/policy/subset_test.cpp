// SPDX-License-Identifier: Apache-2.0
//
// Tests which servers a proxy uses if it does not use all of them.
#include <gtest/gtest.h>

#include <map>
#include <set>
#include <variant>
#include <vector>

#include "policy/scripted_traffic.h"

namespace load_balancer {
namespace {

using testing::DefaultSettings;
using testing::Entry;
using testing::next_id;
using testing::Rig;

// If each of hundreds of proxies had connections to all servers, servers would get more connections than they
// accept.
TEST(Subset, WithSparseTrafficEachProxyUsesFewServersAndTogetherTheyUseAllEvenly) {
  constexpr int kProxies = 400, kServers = 80;
  std::map<ServerId, int> proxies_at;
  for (int index = 0; index < kProxies; ++index) {
    Settings settings = DefaultSettings();
    settings.balancer_count = kProxies;
    settings.balancer_index = index;
    Rig rig(settings, index + 1);
    rig.Servers(kServers);
    std::set<ServerId> used;
    for (int i = 0; i < 100; ++i) {
      rig.Tick(250);
      const RequestId id = next_id++;
      if (const auto s = rig.Send(id, 2, 10)) used.insert(*s), rig.EndAttempt(id, 0, *s, Outcome::kOk);
    }
    EXPECT_LE(used.size(), 16u);
    EXPECT_GE(used.size(), 4u);
    for (const ServerId s : used) ++proxies_at[s];
  }
  EXPECT_EQ(proxies_at.size(), static_cast<std::size_t>(kServers));
  const double mean = 1.0 * kProxies * 8 / kServers;
  for (const auto& [s, proxies] : proxies_at) EXPECT_NEAR(proxies, mean, mean / 4) << s;
}

// With a subset of fixed size, a fleet that shrinks would get too many connections at each server.
TEST(Subset, FewServersGetNoMoreConnectionsThanTheyAccept) {
  Settings settings = DefaultSettings();
  settings.balancer_count = 640;
  Rig rig(settings);
  rig.Servers(80);
  std::vector<ServerEntry> gone;
  for (ServerId id = 31; id <= 80; ++id) gone.push_back(Entry(id, 0, 0, ServerState::kGone));
  rig.List(gone, ListKind::kDelta);
  rig.sent.clear();
  std::set<ServerId> used;
  for (int i = 0; i < 60; ++i) {
    rig.Tick(250);
    const RequestId id = next_id++;
    if (const auto s = rig.Send(id, 2, 10)) used.insert(*s), rig.EndAttempt(id, 0, *s, Outcome::kOk);
  }
  EXPECT_LE(used.size(), 4u)
      << "with subsets of 3, each of 30 servers has connections from 640 x 3 / 30 = 64 proxies";
}

TEST(Subset, AnEjectedServersIdleConnectionsAreClosed) {
  Rig rig;
  rig.Servers(8);
  int closed = 0;
  for (int i = 0; i < 60; ++i) {
    rig.Tick(250);
    const RequestId id = next_id++;
    const auto s = rig.Send(id, 2, 10);
    ASSERT_TRUE(s.has_value());
    rig.EndAttempt(id, 0, *s, *s == 1 ? Outcome::kConnectFailed : Outcome::kOk);
    for (const Action& a : rig.actions) {
      const auto* close = std::get_if<CloseIdle>(&a);
      if (!close) continue;
      ++closed;
      EXPECT_EQ(close->server, 1u);
    }
  }
  EXPECT_GE(closed, 1);
}

TEST(Subset, ABusyProxyUsesAllServers) {
  Settings settings = DefaultSettings();
  settings.balancer_count = 400;
  Rig rig(settings);
  rig.Servers(40);
  std::set<ServerId> used;
  for (int i = 0; i < 2000; ++i) {
    rig.Tick(5);
    const RequestId id = next_id++;
    if (const auto s = rig.Send(id, 2, 10)) used.insert(*s), rig.EndAttempt(id, 0, *s, Outcome::kOk);
  }
  EXPECT_EQ(used.size(), 40u);
}

}  // namespace
}  // namespace load_balancer
