// SPDX-License-Identifier: Apache-2.0
//
// Clients that close while much of what they have sent is unread: the end of the connection arrives behind
// the unread bytes. No server may get a request of theirs that begins more than kNotice after the close.
#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "loopback.h"

namespace load_balancer::testing {
namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr milliseconds kNotice{100};
constexpr milliseconds kServerTime{300};  // a request takes longer than a close may go unnoticed

// Writes requests until the connection takes no more for a while, reads all that comes, and closes.
Clock::time_point FillAndClose(const Tcp::endpoint& proxy, const std::function<std::string()>& request,
                               milliseconds hold) {
  Client client(proxy);
  client.socket.non_blocking(true);
  std::string unsent, received(65536, '\0');
  const auto until = Clock::now() + hold;
  while (Clock::now() < until) {
    if (unsent.empty()) unsent = request();
    error_code ignored;
    unsent.erase(0, client.socket.write_some(asio::buffer(unsent), ignored));
    if (ignored) std::this_thread::sleep_for(milliseconds(1));
    client.socket.read_some(asio::buffer(received), ignored);
  }
  client.socket.close();
  return Clock::now();
}

struct Begun {
  std::vector<Clock::time_point> at;
};

class UnseenClose : public ::testing::Test {
 protected:
  int BegunAfter(Clock::time_point time) {
    int late = 0;
    for (const auto& at : begun.Get().at) late += at > time;
    return late;
  }

  Watched<Begun> begun;
  Backend backend{[this](Tcp::socket& socket, const HttpRequest&) {
    begun.Do([](Begun& all) { all.at.push_back(Clock::now()); });
    std::this_thread::sleep_for(kServerTime);
    SendRaw(socket, OkAnswer("served"));
    return true;
  }};
  FakeDiscovery discovery;
  RunningProxy proxy{ConfigJson(discovery.address(), Members(MemberJson("s-1", backend.address())))};
};

TEST_F(UnseenClose, NoLaterRequestOfTheConnectionIsForwarded) {
  const auto closed = FillAndClose(
      proxy.address, [] { return Post("book", "", std::string(3000, 'x')); }, kServerTime * 7 / 2);
  std::this_thread::sleep_for(kServerTime * 3);
  EXPECT_GE(begun.Get().at.size(), 3u);
  EXPECT_EQ(BegunAfter(closed + kNotice), 0);
}

TEST_F(UnseenClose, NoLaterSmallRequestIsForwarded) {
  const auto closed = FillAndClose(
      proxy.address, [] { return Look(); }, kServerTime * 7 / 2);
  std::this_thread::sleep_for(kServerTime * 3);
  EXPECT_EQ(BegunAfter(closed + kNotice), 0);
}

}  // namespace
}  // namespace load_balancer::testing
