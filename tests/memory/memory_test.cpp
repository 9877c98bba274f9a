// SPDX-License-Identifier: Apache-2.0
//
// The program keeps to its memory, whatever hundreds of clients and the servers make it hold.
#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "leased_port.h"
#include "loopback.h"
#include "memory/memory_fixture.h"
#include "memory/process_memory.h"

namespace load_balancer::testing {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kLargeBufferedBody = 60'000;
constexpr std::size_t kStreamedBody = 300'000;
constexpr milliseconds kFullSpeed{8000};

std::string Fields(int count, const std::string& more = "") {
  std::string fields;
  for (int i = 0; i < count; ++i) fields += "a:\r\n";
  return fields + more;
}
const std::string kManyFields = Fields(3500);
const std::string kLargestHead = Fields(90, "b: " + std::string(14'000, 'x') + "\r\n");

// The beginning of a request whose body has `length` bytes.
std::string PartialBook(std::size_t sent, std::size_t length) {
  return "POST /book HTTP/1.1\r\nHost: x\r\nReq-Id: " + FreshRequestId() +
         "\r\nReq-Kind: book\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n" +
         std::string(sent, 'x');
}
std::string WithoutEnd(std::string head) { return head.substr(0, head.size() - 2); }

// Guards against connections that keep the memory of the largest response that they have had.
TEST_F(Memory, IsFreedWhenALargeResponseHasBeenWritten) {
  Start(AnswerWith(OkAnswer(std::string(kLargeBufferedBody, 'y'))));
  for (int i = 0; i < ClientCount(); ++i) {
    clients.push_back(std::make_unique<Client>(port.tcp()));
    EXPECT_EQ(clients.back()->Ask(Look()).result_int(), 200u);
  }
  ExpectMemoryKept();
}

TEST_F(Memory, IsLimitedForPartialHeadsOfManyFields) {
  Start(AnswerNothing);
  ConnectClients(WithoutEnd(Look(kManyFields)));
  ExpectMemoryKept();
}

TEST_F(Memory, IsLimitedForHeadsOfManyFields) {
  Start(AnswerNothing);
  ConnectClients(Look(kManyFields));
  ExpectMemoryKept();
}

TEST_F(Memory, IsLimitedForTheLargestHeads) {
  Start(AnswerNothing);
  ConnectClients(WithoutEnd(Look(kLargestHead)), ClientCount() / 2);
  ConnectClients(Look(kLargestHead), ClientCount() / 2);
  ExpectMemoryKept();
}

TEST_F(Memory, IsLimitedForBufferedBodiesThatStopHalfWay) {
  Start(AnswerNothing);
  ConnectClients([] { return PartialBook(kLargeBufferedBody, kLargeBufferedBody + 1); });
  ExpectMemoryKept();
}

TEST_F(Memory, IsLimitedForStreamedBodiesThatStopHalfWay) {
  Start(AnswerNothing);
  ConnectClients([] { return PartialBook(kLargeBufferedBody, kStreamedBody); });
  ExpectMemoryKept();
}

TEST_F(Memory, IsLimitedForTrailersOfManyFields) {
  Start(AnswerNothing);
  ConnectClients([] {
    return "POST /book HTTP/1.1\r\nHost: x\r\nReq-Id: " + FreshRequestId() +
           "\r\nReq-Kind: book\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n" + kManyFields;
  });
  ExpectMemoryKept();
}

TEST_F(Memory, IsLimitedForBufferedResponsesThatAreReadSlowly) {
  Start(AnswerWith(OkAnswer(std::string(kLargeBufferedBody, 'y'))));
  ConnectClients(Look());
  ExpectMemoryKept();
}

TEST_F(Memory, IsLimitedForStreamedResponsesThatAreReadSlowly) {
  Start(AnswerWith(OkAnswer(std::string(kStreamedBody, 'y'))));
  ConnectClients(Look());
  ExpectMemoryKept();
}

TEST_F(Memory, IsLimitedForResponseHeadsOfManyFields) {
  Start(AnswerWith("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n" + kManyFields + "\r\nx"));
  ConnectClients(Look());
  ExpectMemoryKept();
}

TEST_F(Memory, IsLimitedForTheLargestResponseHeads) {
  Start(AnswerWith("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n" + kLargestHead + "\r\nx"));
  ConnectClients(Look());
  ExpectMemoryKept();
}

// Guards against a limit that refuses small requests, which need little of the memory.
TEST_F(Memory, SufficesForHundredsOfSmallRequestsAtOnce) {
  Start([](Tcp::socket& socket, const HttpRequest&) {
    std::this_thread::sleep_for(milliseconds(300));
    SendRaw(socket, OkAnswer("served"));
    return true;
  });
  constexpr int kAtOnce = 300;
  ConnectClients(Look(), kAtOnce);
  int served = 0;
  for (const auto& client : clients) served += client->Read().result_int() == 200;
  EXPECT_EQ(served, kAtOnce);
  ExpectMemoryKept();
}

// Guards against tables by key that grow with the speed of a client that names a new key in each request.
TEST_F(Memory, IsLimitedForEverNewKeysAtFullSpeed) {
  config["settings"] = SettingsJson();
  config["settings"]["specifics"] = {{"warmKeys", true}};
  config["fleet"] = {{"bind", "127.0.0.1:" + std::to_string(fleet_port.tcp().port())},
                     {"affinity_entries", 65536},
                     {"affinity_ttl_ms", 60000}};
  Start(AnswerWith(OkAnswer("served")));
  Client client(port.tcp());
  std::atomic<bool> is_over{false};
  std::thread reader([&] {
    std::string bytes(65536, '\0');
    error_code failed;
    while (!is_over && !failed) client.socket.read_some(asio::buffer(bytes), failed);
  });
  const auto until = std::chrono::steady_clock::now() + kFullSpeed;
  for (int i = 0; std::chrono::steady_clock::now() < until;) {
    std::string requests;
    for (int end = i + 100; i < end; ++i) requests += Look("Cookie: obj=k" + std::to_string(i) + "\r\n");
    client.Send(requests);
  }
  is_over = true;
  ::shutdown(client.socket.native_handle(), SHUT_RDWR);
  reader.join();
  ExpectMemoryKept();
}

// Guards against two processes that take the memory of one each.
TEST_F(Memory, IsLimitedForBothProcessesOfAnUpgradeTogether) {
  Start([](Tcp::socket& socket, const HttpRequest& request) {
    if (request.method() == http::verb::get) SendRaw(socket, OkAnswer(std::string(kLargeBufferedBody, 'y')));
    return true;
  });
  const auto connect_all_kinds = [this] {
    ConnectClients(Look(), ClientCount() / 8);
    ConnectClients(Look(kManyFields), ClientCount() / 8);
    ConnectClients(Look(kLargestHead), ClientCount() / 8);
    ConnectClients([] { return PartialBook(kLargeBufferedBody, kLargeBufferedBody + 1); }, ClientCount() / 8);
    ConnectClients([] { return PartialBook(kLargeBufferedBody, kStreamedBody); }, ClientCount() / 8);
  };
  connect_all_kinds();
  const LeasedPort second_operators;
  const auto second = StartProcess(second_operators);
  std::atomic<bool> is_over{false};
  double most = 0;
  std::thread watch([&] {
    for (; !is_over; std::this_thread::sleep_for(milliseconds(5)))
      most = std::max(most, StatusMb(first->pid(), "VmRSS") + StatusMb(second->pid(), "VmRSS"));
  });
  ASSERT_TRUE(second->WaitFor("started"));
  const auto until = std::chrono::steady_clock::now() + kGiveUp;
  while (CallOperators(second_operators.tcp(), "PING\n") != "ACK taking clients\n") {
    ASSERT_LT(std::chrono::steady_clock::now(), until);
    std::this_thread::sleep_for(milliseconds(20));
  }
  connect_all_kinds();
  std::this_thread::sleep_for(kSettle);
  is_over = true;
  watch.join();
  EXPECT_LE(most, MemoryMb());
  EXPECT_GT(StatusMb(first->pid(), "VmRSS"), 0) << "the first process has ended";
  EXPECT_GT(StatusMb(second->pid(), "VmRSS"), 0) << "the second process has ended";
}

}  // namespace
}  // namespace load_balancer::testing
