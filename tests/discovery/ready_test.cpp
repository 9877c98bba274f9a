// SPDX-License-Identifier: Apache-2.0
//
// When a new process is ready, with a discovery that is slow, overloaded or away.
#include <gtest/gtest.h>

#include <chrono>

#include "scripted_discovery.h"

namespace load_balancer::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kReadyWithin{10000};

unsigned AskWhetherReady(const Tcp::endpoint& proxy) {
  Client client(proxy);
  return client.Ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").result_int();
}

struct Discovery {
  const char* name;
  ScriptedDiscovery::Serve serve;
};

void Hang(std::size_t, Tcp::socket&) {}
void RefuseEach(std::size_t, Tcp::socket& socket) { Refuse(socket); }
void RefuseLate(std::size_t, Tcp::socket& socket) {
  std::this_thread::sleep_for(milliseconds(2000));
  Refuse(socket);
}
// A second call says that the list has been taken.
void AnswerEmptyAndEnd(std::size_t call, Tcp::socket& socket) {
  if (call > 0) return;
  BeginWatch(socket);
  Say(socket, List(42));
  ::shutdown(socket.native_handle(), SHUT_WR);
}

nlohmann::json Asked(nlohmann::json config) {
  config["settings"]["registryMode"] = "ask";
  config["settings"]["rules"]["mustAskInMs"] = 13000.0;
  return config;
}

// The configuration's own list is enough, whether lists are pushed or asked for.
TEST(DiscoveryReady, AtOnceByTheConfigurationsListWhateverDiscoveryDoes) {
  Backend backend("served");
  const Discovery all[] = {{"hangs", Hang}, {"refuses", RefuseEach}, {"refuses late", RefuseLate}};
  for (const Discovery& discovery : all) {
    for (const bool asked : {false, true}) {
      SCOPED_TRACE(::testing::Message() << discovery.name << (asked ? ", asked" : ""));
      ScriptedDiscovery scripted(discovery.serve);
      const auto config = ConfigJson(scripted.address(), Members(MemberJson("s-1", backend.address())));
      const RunningProxy proxy(asked ? Asked(config) : config);
      EXPECT_EQ(AskWhetherReady(proxy.address), 200u);
      Client client(proxy.address);
      EXPECT_EQ(client.Ask(Look()).body(), "served");
    }
  }
}

TEST(DiscoveryReady, AtOnceWhereNobodyListensAtDiscoverysAddress) {
  Backend backend;
  Tcp::endpoint nobody;
  {
    FakeDiscovery gone;
    nobody = gone.address();
  }
  const RunningProxy proxy(ConfigJson(nobody, Members(MemberJson("s-1", backend.address()))));
  EXPECT_EQ(AskWhetherReady(proxy.address), 200u);
}

// Without a list in the configuration it waits for discovery's, at the longest for a call that hangs and a
// slow answer after refusals.
TEST(DiscoveryReady, WithoutAListAsSoonAsDiscoveryAnswers) {
  Backend backend;
  for (const bool asked : {false, true}) {
    Watched<steady_clock::time_point> reachable;
    ScriptedDiscovery scripted([&](std::size_t call, Tcp::socket& socket) {
      if (call < 2) return Refuse(socket);
      if (call == 2) {
        reachable.Do([](auto& at) { at = steady_clock::now(); });
        return;
      }
      std::this_thread::sleep_for(milliseconds(2000));
      BeginWatch(socket);
      Say(socket, ListJson(42, true, Members(MemberJson("s-1", backend.address()))).dump() + "\n");
    });
    const auto began = steady_clock::now();
    const auto config = ConfigJson(scripted.address(), Members());
    const RunningProxy proxy(asked ? Asked(config) : config);
    EXPECT_EQ(AskWhetherReady(proxy.address), 503u);
    unsigned status = 503;
    while (status == 503 && steady_clock::now() - began < kGiveUp) {
      std::this_thread::sleep_for(milliseconds(20));
      status = AskWhetherReady(proxy.address);
    }
    EXPECT_EQ(status, 200u);
    EXPECT_LE(steady_clock::now() - reachable.Get(), milliseconds(6000));
    EXPECT_LE(steady_clock::now() - began, kReadyWithin);
  }
}

// A proxy that has served by a list stays ready when that list becomes empty.
TEST(DiscoveryReady, AnEmptyListIsNoReasonToBeReadyAndNoneToCeaseToBe) {
  Backend backend;
  ScriptedDiscovery one(AnswerEmptyAndEnd), other(AnswerEmptyAndEnd);
  const RunningProxy unlisted(ConfigJson(one.address(), Members()));
  const RunningProxy listed(ConfigJson(other.address(), Members(MemberJson("s-1", backend.address()))));
  ASSERT_TRUE(one.WaitForCalls(2) && other.WaitForCalls(2));
  EXPECT_EQ(AskWhetherReady(unlisted.address), 503u);
  EXPECT_EQ(AskWhetherReady(listed.address), 200u);
}

}  // namespace
}  // namespace load_balancer::testing
