// SPDX-License-Identifier: Apache-2.0
//
// Clients that go on sending on their connections after SIGTERM.
#include <gtest/gtest.h>

#include <optional>

#include "loopback.h"

namespace load_balancer::testing {
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

// ---- what has come how far when the stop comes --------------------------------------------------------
TEST(Stop, ARequestThatIsHalfReadIsReadToItsEndAndServed) {
  Backend backend;
  const std::string request = Book();
  for (const std::size_t half : {std::size_t{10}, request.size() - 2}) {  // of its head, and of its body
    RunningProxy stopping(StopConfig(backend));
    Client client(stopping.address);
    client.Send(request.substr(0, half));
    for (int turns = 0; turns < 5; ++turns) stopping.Ask([](proxy::Proxy&) { return 0; });
    auto stopped = stopping.Stop();
    client.Send(request.substr(half));
    EXPECT_EQ(client.Read().result_int(), 200u) << half;
    EXPECT_TRUE(client.Ended());
    EXPECT_EQ(stopped.wait_for(kGiveUp), std::future_status::ready);
  }
}

TEST(Stop, ARequestThatWaitsForAServerIsServedByOneThatComesLater) {
  Backend backend;
  FakeDiscovery discovery;
  RunningProxy proxy(ConfigJson(discovery.address(), {}));
  Client client(proxy.address);
  client.Send(Look());
  while (proxy.Ask([](proxy::Proxy& p) { return p.held(); }) == 0) std::this_thread::yield();
  auto stopped = proxy.Stop();
  discovery.Push(ListJson(42, true, Members(MemberJson("s-1", backend.address()))));
  EXPECT_EQ(client.Read().result_int(), 200u);
  EXPECT_EQ(stopped.wait_for(kGiveUp), std::future_status::ready);
}

TEST(Stop, AnAnswerThatIsHalfPassedOnComesWhole) {
  const std::string half(100 * 1000, 'x');
  Watched<bool> release;
  Backend backend([&](Tcp::socket& s, const HttpRequest&) {
    SendRaw(s, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(2 * half.size()) + "\r\n\r\n" + half);
    release.WaitFor([](bool r) { return r; });
    SendRaw(s, half);
    return true;
  });
  RunningProxy proxy(StopConfig(backend));
  Client client(proxy.address);
  client.Send(Look());
  std::string begun(50 * 1000, '\0');
  asio::read(client.socket, asio::buffer(begun));
  auto stopped = proxy.Stop();
  // The stop's first look is 600 ms after its beginning.
  EXPECT_EQ(stopped.wait_for(milliseconds(800)), std::future_status::timeout);
  release.Do([](bool& r) { r = true; });
  std::string rest;
  error_code ended;
  asio::read(client.socket, asio::dynamic_buffer(rest), ended);
  EXPECT_EQ(ended, asio::error::eof);
  EXPECT_GT(begun.size() + rest.size(), 2 * half.size());
  EXPECT_EQ(stopped.wait_for(kGiveUp), std::future_status::ready);
}

// It connects, and writes its request, while the loop stands still in the turn before its listener closes.
TEST(Stop, AConnectionThatComesAsTheListenerClosesIsServed) {
  constexpr milliseconds kGraceOver{700};  // the listener closes after 600 ms
  Backend backend;
  RunningProxy proxy(StopConfig(backend));
  std::promise<void> stopping, stopped;
  std::thread stop([&] {
    proxy.Ask([&](proxy::Proxy& p) {
      p.Stop([&] { stopped.set_value(); });
      stopping.set_value();
      std::this_thread::sleep_for(kGraceOver);
      return 0;
    });
  });
  stopping.get_future().wait();
  Client late(proxy.address);
  late.Send(Look());
  stop.join();
  EXPECT_EQ(late.Read().result_int(), 200u);
  EXPECT_TRUE(late.Ended());
  EXPECT_EQ(stopped.get_future().wait_for(kGiveUp), std::future_status::ready);
}

}  // namespace
}  // namespace load_balancer::testing
