// SPDX-License-Identifier: Apache-2.0
//
// What the system buffers for a stalled connection is limited.
#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <thread>

#include "loopback.h"

namespace load_balancer::testing {
namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr int kSmallBuffer = 4096;                    // bytes
constexpr std::size_t kBodyBytes = 16 * 1024 * 1024;  // more than the system buffers by default
// Two connections, each with a buffer at either end.
constexpr std::size_t kMostStalled = 4 * 256 * 1024;
constexpr milliseconds kStalled{700};

// Writes until nothing could be written for kStalled, and returns how many bytes that were.
std::size_t WriteUntilStalled(Tcp::socket& socket) {
  socket.non_blocking(true);
  const std::string bytes(65536, 'x');
  std::size_t written = 0;
  for (auto last = Clock::now(); Clock::now() - last < kStalled && written < kBodyBytes;) {
    error_code failed;
    const std::size_t n = socket.write_some(asio::buffer(bytes), failed);
    written += n;
    if (n > 0) last = Clock::now();
    if (n == 0) std::this_thread::sleep_for(milliseconds(1));
  }
  return written;
}

TEST(SocketBuffers, OfAResponseThatIsNotReadAreLimited) {
  Watched<std::size_t> written;
  Backend backend([&written](Tcp::socket& socket, const HttpRequest&) {
    socket.set_option(asio::socket_base::send_buffer_size(kSmallBuffer));
    SendRaw(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kBodyBytes) + "\r\n\r\n");
    const std::size_t n = WriteUntilStalled(socket);
    written.Do([n](std::size_t& all) { all = n; });
    return false;
  });
  FakeDiscovery discovery;
  RunningProxy proxy(ConfigJson(discovery.address(), Members(MemberJson("s-1", backend.address()))));
  Client client(proxy.address, kSmallBuffer);
  client.Send(Look());
  ASSERT_TRUE(written.WaitFor([](std::size_t n) { return n > 0; }));
  EXPECT_LE(written.Get(), kMostStalled);
}

TEST(SocketBuffers, OfARequestThatIsNotReadAreLimited) {
  Listener server([](Tcp::socket& socket) {
    char byte;
    error_code ended;
    socket.wait(Tcp::socket::wait_error, ended);
    asio::read(socket, asio::buffer(&byte, 1), ended);
  });
  FakeDiscovery discovery;
  RunningProxy proxy(ConfigJson(discovery.address(), Members(MemberJson("s-1", server.address))));
  Client client(proxy.address);
  client.socket.set_option(asio::socket_base::send_buffer_size(kSmallBuffer));
  client.Send("POST /book HTTP/1.1\r\nHost: x\r\nReq-Id: " + FreshRequestId() +
              "\r\nReq-Kind: book\r\nContent-Length: " + std::to_string(kBodyBytes) + "\r\n\r\n");
  EXPECT_LE(WriteUntilStalled(client.socket), kMostStalled);
}

}  // namespace
}  // namespace load_balancer::testing
