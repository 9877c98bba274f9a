// SPDX-License-Identifier: Apache-2.0
//
// One client that sends small or unsound requests on a connection as fast as it can, and others beside it,
// which get their responses in time.
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>

#include "loopback.h"

namespace load_balancer::testing {
namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr milliseconds kFullSpeed{2000};
constexpr milliseconds kLateResponse{500};  // a response this late counts as none

// What the fast client sends, again and again.
struct Flood {
  const char* name;
  std::string first, repeated;
};

void PrintTo(const Flood& flood, std::ostream* out) { *out << flood.name; }

std::string Times(int count, const std::string& text) {
  std::string all;
  for (int i = 0; i < count; ++i) all += text;
  return all;
}

class FullSpeed : public ::testing::TestWithParam<Flood> {
 protected:
  // Sends until the time is over, on a new connection whenever the proxy closes one.
  void Send(Clock::time_point until) {
    while (Clock::now() < until) {
      Client client(proxy.address);
      client.Send(GetParam().first);
      std::thread reader([&] {
        std::string bytes(65536, '\0');
        error_code failed;
        while (!failed) client.socket.read_some(asio::buffer(bytes), failed);
      });
      error_code failed;
      while (!failed && Clock::now() < until)
        asio::write(client.socket, asio::buffer(GetParam().repeated), failed);
      ::shutdown(client.socket.native_handle(), SHUT_RDWR);
      reader.join();
    }
  }

  Backend backend;
  FakeDiscovery discovery;
  RunningProxy proxy{ConfigJson(discovery.address(), Members(MemberJson("s-1", backend.address())))};
};

TEST_P(FullSpeed, OthersAreServedInTime) {
  const auto until = Clock::now() + kFullSpeed;
  std::thread fast([&] { Send(until); });
  milliseconds longest{0};
  int served = 0, other = 0;
  while (Clock::now() < until) {
    const auto sent_at = Clock::now();
    const unsigned status = Client(proxy.address).Ask(Look()).result_int();
    longest = std::max(longest, std::chrono::duration_cast<milliseconds>(Clock::now() - sent_at));
    ++(status == 200 ? served : other);
    std::this_thread::sleep_for(milliseconds(5));
  }
  fast.join();
  EXPECT_GT(served, 0);
  EXPECT_EQ(other, 0);
  EXPECT_LT(longest, kLateResponse);
}

INSTANTIATE_TEST_SUITE_P(
    Floods, FullSpeed,
    ::testing::Values(Flood{"OfReadiness", "", Times(100, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")},
                      Flood{"OfUnknownClasses", "", Times(100, "GET /none HTTP/1.1\r\nHost: x\r\n\r\n")},
                      Flood{"OfSoundRequests", "", Times(100, Look())},
                      Flood{"OfGarbage", "", Times(1000, "garbage\r\n\r\n")},
                      Flood{"OfEmptyLines", "", Times(1000, "\r\n")},
                      Flood{"OfSmallChunks",
                            "POST /book HTTP/1.1\r\nHost: x\r\nReq-Id: c\r\nReq-Kind: book\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n",
                            Times(1000, "1\r\nx\r\n")}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace load_balancer::testing
