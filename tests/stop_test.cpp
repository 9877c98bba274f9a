// SPDX-License-Identifier: Apache-2.0
//
// Clients that go on sending on their connections after SIGTERM.
#include <gtest/gtest.h>

#include <optional>

#include "loopback.h"

namespace brackenspoke::testing {
namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

nlohmann::json StopConfig(const Backend& backend) {
  return ConfigJson(Tcp::endpoint(kAnyPort.address(), 9), Members(MemberJson("s-1", backend.address())));
}

// How the answer to a request is that comes on a kept connection so long after the stop began; nothing if
// this machine was too slow to send it by `latest`.
std::optional<unsigned> StatusAfterStop(milliseconds at, milliseconds latest) {
  Backend backend;
  RunningProxy proxy(StopConfig(backend));
  Client kept(proxy.address);
  EXPECT_EQ(kept.Ask(Look()).result_int(), 200u);
  const auto began = Clock::now();
  const auto stopped = proxy.Stop();
  std::this_thread::sleep_until(began + at);
  kept.Send(Look());
  if (Clock::now() > began + latest) return std::nullopt;
  const unsigned status = kept.Read().result_int();
  EXPECT_EQ(stopped.wait_for(kGiveUp), std::future_status::ready);
  return status;
}

// Idle connections are closed 600 ms after SIGTERM at the earliest.
TEST(Stop, ARequestOnAKeptConnectionIsServed) {
  for (const milliseconds at : {milliseconds(10), milliseconds(500)}) {
    std::optional<unsigned> status;
    for (int i = 0; i < 20 && !status; ++i) status = StatusAfterStop(at, milliseconds(590));
    ASSERT_TRUE(status) << "the machine is too slow for this test";
    EXPECT_EQ(*status, 200u) << at.count() << " ms";
  }
}

// The process would end in the very moment in which the last byte has come and has not been read: the stop's
// timer is due, the loop has looked for bytes before.
TEST(Stop, ARequestThatComesAsTheEndIsDecidedIsServed) {
  constexpr milliseconds kDecided{2750};  // of 3.7 s, nothing is begun in the last one
  Backend backend;
  RunningProxy proxy(StopConfig(backend));
  Client kept(proxy.address);
  ASSERT_EQ(kept.Ask(Look()).result_int(), 200u);
  std::promise<void> stopping;
  std::promise<bool> served;
  std::thread stop([&] {
    proxy.Ask([&](proxy::Proxy& p) {
      p.Stop([&] { served.set_value(kept.socket.available() > 0); });
      stopping.set_value();
      std::this_thread::sleep_for(kDecided);
      return 0;
    });
  });
  stopping.get_future().wait();
  proxy.Ask([&](proxy::Proxy&) { return kept.Send(Look()), 0; });
  stop.join();
  auto end = served.get_future();
  ASSERT_EQ(end.wait_for(kGiveUp), std::future_status::ready);
  EXPECT_TRUE(end.get()) << "the process ends without an answer";
  EXPECT_EQ(kept.Read().result_int(), 200u);
}

}  // namespace
}  // namespace brackenspoke::testing
