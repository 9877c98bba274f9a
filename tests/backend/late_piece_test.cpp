// SPDX-License-Identifier: Apache-2.0
//
// Reads that end after their attempt.
#include <gtest/gtest.h>

#include <chrono>
#include <thread>

#include "loopback.h"

namespace load_balancer::testing {
namespace {

using std::chrono::milliseconds;

// Guards against a look at a response that has been freed, which ends the process.
TEST(LatePiece, OfAResponseWhoseAttemptHasTimedOutIsIgnored) {
  Backend backend([](Tcp::socket& socket, const HttpRequest&) {
    std::this_thread::sleep_for(milliseconds(100));
    SendRaw(socket, OkAnswer("served"));
    return true;
  });
  FakeDiscovery discovery;
  RunningProxy proxy(ConfigJson(discovery.address(), Members(MemberJson("s-1", backend.address()))));
  for (std::size_t i = 1; i <= 5; ++i) {
    Client client(proxy.address);
    client.Send(Look("Req-Deadline-Ms: 200\r\n"));
    ASSERT_TRUE(backend.WaitForRequests(2 * i - 1));
    // The response and the timeout of its attempt come while the event loop is held up.
    proxy.Ask([](proxy::Proxy&) {
      std::this_thread::sleep_for(milliseconds(300));
      return 0;
    });
    EXPECT_NE(client.Read().result_int(), 0u);
    EXPECT_EQ(Client(proxy.address).Ask(Look()).result_int(), 200u);
  }
}

}  // namespace
}  // namespace load_balancer::testing
