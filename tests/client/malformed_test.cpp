// SPDX-License-Identifier: Apache-2.0
//
// Malformed requests get an error response and the end of the connection within the time limit. No part of
// them is sent to a server.
#include <gtest/gtest.h>

#include "loopback.h"

namespace load_balancer::testing {
namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr milliseconds kTimeLimit{3000};  // from connecting to the error response or the close

struct Malformed {
  const char* name;
  std::string bytes;
  unsigned status;  // of the error response; 0 if the connection closes without one
};
void PrintTo(const Malformed& kind, std::ostream* out) { *out << kind.name; }

std::string BookWith(const std::string& headers, const std::string& body) {
  return "POST /book HTTP/1.1\r\nHost: x\r\nReq-Id: 1\r\n" + headers + "\r\n" + body;
}

std::vector<Malformed> Kinds() {
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  std::string hello("\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
                    11);  // the start of a usual TLS ClientHello
  hello.append(500, '\x5a');
  return {
      {"TwoLengths", BookWith("Content-Length: 4\r\nContent-Length: 5\r\n", "text!"), 400},
      {"TwoLengthsInOneHeader", BookWith("Content-Length: 4, 5\r\n", "text!"), 400},
      {"NegativeLength", BookWith("Content-Length: -4\r\n", "text"), 400},
      {"SignedLength", BookWith("Content-Length: +4\r\n", "text"), 400},
      {"HexLength", BookWith("Content-Length: 0x4\r\n", "text"), 400},
      {"EmptyLength", BookWith("Content-Length:\r\n", "text"), 400},
      {"OverflowingLength", BookWith("Content-Length: 18446744073709551616\r\n", "text"), 400},
      {"HugeLength", BookWith("Content-Length: 60000000\r\n", "text"), 413},
      {"LengthAndCoding", BookWith("Content-Length: 4\r\n" + chunked, "4\r\ntext\r\n0\r\n\r\n"), 400},
      {"CodingAndLength", BookWith(chunked + "Content-Length: 4\r\n", "4\r\ntext\r\n0\r\n\r\n"), 400},
      {"UnknownCoding", BookWith("Transfer-Encoding: gzip\r\n", "text"), 501},
      {"TwoCodings", BookWith(chunked + chunked, "4\r\ntext\r\n0\r\n\r\n"), 400},
      {"NonNumericChunkSize", BookWith(chunked, "four\r\ntext\r\n0\r\n\r\n"), 400},
      {"NegativeChunkSize", BookWith(chunked, "-4\r\ntext\r\n0\r\n\r\n"), 400},
      {"OverflowingChunkSize", BookWith(chunked, "fffffffffffffffff\r\ntext\r\n0\r\n\r\n"), 400},
      {"ChunkLongerThanItsSize", BookWith(chunked, "4\r\ntextmore\r\n0\r\n\r\n"), 400},
      {"ChunkExtensionTooLong", BookWith(chunked, "4;" + std::string(40000, 'e') + "\r\ntext\r\n0\r\n\r\n"),
       431},
      {"HeadTooLong", Look("X: " + std::string(20000, 'h') + "\r\n"), 431},
      {"TargetTooLong", "GET /look/" + std::string(20000, 't') + " HTTP/1.1\r\nHost: x\r\n\r\n", 431},
      {"ManyHeaders",
       [] {
         std::string many;
         for (int i = 0; i < 3000; ++i) many.append("X-").append(std::to_string(i)).append(": v\r\n");
         return Look(many);
       }(),
       431},
      {"ControlByteInTarget", "GET /lo\x01ok HTTP/1.1\r\nHost: x\r\nReq-Id: 1\r\n\r\n", 400},
      {"ControlByteInName", Look("X\x02Y: v\r\n"), 400},
      {"ControlByteInValue", Look("X: a\x03z\r\n"), 400},
      {"ZeroByteInValue", Look(std::string("X: a\0z\r\n", 8)), 400},
      {"SpaceBeforeColon", Look("X : v\r\n"), 400},
      {"NoName", Look(": v\r\n"), 400},
      {"NoColon", Look("header\r\n"), 400},
      {"LineFeedsAlone", "GET /look HTTP/1.1\nHost: x\nReq-Id: 1\n\n", 400},
      {"LineFeedAloneInAValue", Look("X: a\nContent-Length: 4\r\n"), 400},
      {"CarriageReturnAlone", Look("X: a\rz\r\n"), 400},
      {"NotHttp", "hello there\r\n\r\n", 400},
      {"AResponse", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 400},
      {"Http09", "GET /look\r\n\r\n", 400},
      {"UnknownVersion", "GET /look HTTP/3.0\r\nHost: x\r\nReq-Id: 1\r\n\r\n", 400},
      {"Http2Preface", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 400},
      {"TlsHello", hello, 400},
      {"TwoTargets", "GET /look /look HTTP/1.1\r\nHost: x\r\nReq-Id: 1\r\n\r\n", 400},
      {"NoMethod", " /look HTTP/1.1\r\nHost: x\r\nReq-Id: 1\r\n\r\n", 400},
      {"Nothing", "", 0},
      {"PartialHead", "GET /look HTTP/1.1\r\nHost: x\r\nReq-Id: 1\r\n", 0},
      {"PartialBody", BookWith("Content-Length: 10\r\n", "text"), 0},
      {"PartialChunk", BookWith(chunked, "a\r\ntext"), 0},
      {"NoLastChunk", BookWith(chunked, "4\r\ntext\r\n"), 0},
  };
}

class MalformedRequest : public ::testing::TestWithParam<Malformed> {};

TEST_P(MalformedRequest, GetsAnErrorAndACloseAndIsNotForwarded) {
  const Malformed& kind = GetParam();
  Backend backend;
  FakeDiscovery discovery;
  RunningProxy proxy(ConfigJson(discovery.address(), Members(MemberJson("s-1", backend.address()))));
  Client client(proxy.address);
  const auto connected = Clock::now();
  client.Send(kind.bytes);
  EXPECT_EQ(client.Read().result_int(), kind.status);
  EXPECT_TRUE(client.Ended());
  EXPECT_LT(Clock::now() - connected, kTimeLimit);
  EXPECT_EQ(Client(proxy.address).Ask(Look()).result_int(), 200u);
  EXPECT_EQ(backend.seen.Get().requests.size(), 1u);
}

INSTANTIATE_TEST_SUITE_P(Kinds, MalformedRequest, ::testing::ValuesIn(Kinds()),
                         [](const auto& info) { return std::string(info.param.name); });

// The client sends a byte every 20 ms, which must not extend the time limit of the head.
TEST(MalformedRequests, AnEndlessHeadIsEndedByTheTimeLimit) {
  Backend backend;
  FakeDiscovery discovery;
  RunningProxy proxy(ConfigJson(discovery.address(), Members(MemberJson("s-1", backend.address()))));
  Client client(proxy.address);
  const auto connected = Clock::now();
  client.Send("GET /look HTTP/1.1\r\nX: ");
  std::thread sender([&] {
    error_code ended;
    while (!ended && Clock::now() < connected + kGiveUp) {
      asio::write(client.socket, asio::buffer("x", 1), ended);
      std::this_thread::sleep_for(milliseconds(20));
    }
  });
  EXPECT_TRUE(client.Ended());
  EXPECT_LT(Clock::now() - connected, kTimeLimit);
  error_code ignored;
  client.socket.shutdown(Tcp::socket::shutdown_both, ignored);
  sender.join();
  EXPECT_TRUE(backend.seen.Get().requests.empty());
}

}  // namespace
}  // namespace load_balancer::testing
