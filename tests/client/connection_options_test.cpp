// SPDX-License-Identifier: Apache-2.0
//
// Requests whose Connection header names other headers. Whatever it names, a server receives the request that
// the client sent, with its whole body, and nothing else.
#include <gtest/gtest.h>

#include <sstream>

#include "loopback.h"

namespace load_balancer::testing {
namespace {

constexpr std::size_t kSmallBytes = 2 * 1024, kLargeBytes = 96 * 1024;  // buffered, and streamed

std::string Chunked(const std::string& body) {
  std::ostringstream chunk;
  chunk << std::hex << body.size() << "\r\n" << body << "\r\n0\r\n\r\n";
  return chunk.str();
}

// Returns a body that begins with the text of a request.
std::string BodyLikeARequest(std::size_t size) {
  std::string body = Post("book", "Req-Owner: somebody\r\n", "");
  body.resize(size, 'x');
  return body;
}

struct Options {
  const char* name;
  std::string headers;  // the Connection headers
};

void PrintTo(const Options& options, std::ostream* out) { *out << options.name; }

std::vector<Options> ConnectionHeaders() {
  return {{"Length", "Connection: Content-Length\r\n"},
          {"LengthInLowerCase", "Connection: content-length\r\n"},
          {"LengthInAList", "Connection: keep-alive , Content-Length,X-Hop\r\n"},
          {"LengthInASecondHeader", "Connection: keep-alive\r\nConnection: Content-Length\r\n"},
          {"Coding", "Connection: Transfer-Encoding\r\n"},
          {"LengthAndCoding", "Connection: Content-Length, Transfer-Encoding\r\n"},
          {"Itself", "Connection: Connection, Content-Length\r\n"},
          {"Type", "Connection: Content-Type\r\n"}};
}

struct Framing {
  const char* name;
  std::size_t size;
  bool chunked;
};

void PrintTo(const Framing& framing, std::ostream* out) { *out << framing.name; }

constexpr Framing kFramings[] = {{"Small", kSmallBytes, false},
                                 {"SmallChunked", kSmallBytes, true},
                                 {"Large", kLargeBytes, false},
                                 {"LargeChunked", kLargeBytes, true}};

using Case = std::tuple<Options, Framing>;

class ConnectionOptions : public ::testing::TestWithParam<Case> {};

// Guards against a body that a server reads as requests because its framing was removed from the head.
TEST_P(ConnectionOptions, LeaveTheBodyPartOfItsRequest) {
  const auto& [options, framing] = GetParam();
  Backend backend;
  FakeDiscovery discovery;
  RunningProxy proxy(ConfigJson(discovery.address(), Members(MemberJson("s-1", backend.address()))));
  const std::string body = BodyLikeARequest(framing.size);
  const std::string header = framing.chunked ? "Transfer-Encoding: chunked\r\n"
                                             : "Content-Length: " + std::to_string(body.size()) + "\r\n";
  Client client(proxy.address);
  const auto response =
      client.Ask("POST /book HTTP/1.1\r\nHost: x\r\nReq-Id: sent\r\nX-Hop: 1\r\n" + options.headers + header +
                 "\r\n" + (framing.chunked ? Chunked(body) : body));
  EXPECT_EQ(response.result_int(), 200u);
  // A connection of the proxy to the server ends before the server has read all that was written to it.
  EXPECT_EQ(client.Ask(Look()).result_int(), 200u);
  const std::vector<HttpRequest> received = backend.seen.Get().requests;
  ASSERT_EQ(received.size(), 2u);
  EXPECT_EQ(received[0]["Req-Id"], "sent");
  EXPECT_TRUE(received[0].body() == body);
  EXPECT_EQ(
      received[0].count(http::field::content_length) + received[0].count(http::field::transfer_encoding), 1u);
  EXPECT_EQ(received[1].target(), "/look/it?page=2");
}

std::string CaseName(const ::testing::TestParamInfo<Case>& info) {
  return std::string(std::get<0>(info.param).name) + std::get<1>(info.param).name;
}
INSTANTIATE_TEST_SUITE_P(Requests, ConnectionOptions,
                         ::testing::Combine(::testing::ValuesIn(ConnectionHeaders()),
                                            ::testing::ValuesIn(kFramings)),
                         CaseName);

// A request either arrives as it was sent or is refused, whichever of its headers Connection names.
TEST(NamedHeaders, EachIsRemovedWithTheRequestWholeOrTheRequestIsRefused) {
  const std::vector<std::string> names = {
      "Host",       "Req-Id",    "Req-Kind",        "Req-Owner",        "Req-Deadline-Ms",
      "Req-Cost",   "Req-Retry", "Idempotency-Key", "Cookie",           "Content-Type",
      "Keep-Alive", "TE",        "Trailer",         "Upgrade",          "Connection",
      "Req-Extra",  "X-Other",   "Content-Length",  "Transfer-Encoding"};
  std::string others = "Keep-Alive: timeout=5\r\nTE: trailers\r\nTrailer: X\r\nUpgrade: h2c\r\n";
  others += "Content-Type: text/plain\r\nReq-Extra: a=1\r\nX-Other: 1\r\nReq-Owner: acme\r\nReq-Retry: 1\r\n";
  others += "Req-Deadline-Ms: 20000\r\nReq-Cost: 100\r\nIdempotency-Key: 7e\r\nCookie: obj=1\r\n";
  for (const std::string& name : names) {
    for (const std::size_t size : {kSmallBytes, kLargeBytes}) {
      SCOPED_TRACE(name + " with " + std::to_string(size) + " bytes");
      Backend backend;
      FakeDiscovery discovery;
      RunningProxy proxy(ConfigJson(discovery.address(), Members(MemberJson("s-1", backend.address()))));
      const std::string body = BodyLikeARequest(size);
      const unsigned status = Client(proxy.address)
                                  .Ask(Post("change", others + "Connection: " + name + "\r\n", body))
                                  .result_int();
      EXPECT_EQ(Client(proxy.address).Ask(Look()).result_int(), 200u);
      const std::vector<HttpRequest> received = backend.seen.Get().requests;
      if (status != 200) {
        EXPECT_EQ(status / 100, 4u);
        EXPECT_EQ(received.size(), 1u) << "the second request alone";
        continue;
      }
      ASSERT_EQ(received.size(), 2u);
      EXPECT_EQ(received[0].target(), "/change");
      EXPECT_EQ(received[0]["Idempotency-Key"], "7e");
      EXPECT_TRUE(received[0].body() == body);
    }
  }
}

// Guards against a header that is forwarded although a Connection header after the first one names it.
TEST(HopByHopHeaders, ThatAnyConnectionHeaderNamesAreNotForwarded) {
  Backend backend;
  FakeDiscovery discovery;
  RunningProxy proxy(ConfigJson(discovery.address(), Members(MemberJson("s-1", backend.address()))));
  const std::string options = "Connection: keep-alive\r\nConnection: X-One\r\nConnection: X-Two, x-three\r\n";
  const std::string named = "X-One: 1\r\nX-Two: 2\r\nX-Three: 3\r\n";
  EXPECT_EQ(Client(proxy.address).Ask(Look(options + named + "X-Four: 4\r\n")).result_int(), 200u);
  const HttpRequest received = backend.seen.Get().requests.at(0);
  for (const char* name : {"Connection", "X-One", "X-Two", "X-Three"})
    EXPECT_EQ(received.count(name), 0u) << name;
  EXPECT_EQ(received["X-Four"], "4");
}

// Guards against a server that reads the length in another way than the proxy has.
TEST(ContentLength, IsForwardedAsTheProxyHasReadIt) {
  for (const std::size_t size : {kSmallBytes, kLargeBytes}) {
    const std::string body(size, 'b'), length = std::to_string(size);
    for (const std::string& headers :
         {"Content-Length: 0" + length + "\r\n", "Content-Length: " + length + ", " + length + "\r\n",
          "Content-Length: " + length + "\r\nContent-Length: " + length + "\r\n"}) {
      Backend backend;
      FakeDiscovery discovery;
      RunningProxy proxy(ConfigJson(discovery.address(), Members(MemberJson("s-1", backend.address()))));
      Client client(proxy.address);
      const auto response =
          client.Ask("POST /book HTTP/1.1\r\nHost: x\r\nReq-Id: 1\r\n" + headers + "\r\n" + body);
      EXPECT_EQ(response.result_int(), 200u) << headers;
      const std::vector<HttpRequest> received = backend.seen.Get().requests;
      ASSERT_EQ(received.size(), 1u) << headers;
      EXPECT_EQ(received[0].count(http::field::content_length), 1u) << headers;
      EXPECT_EQ(received[0][http::field::content_length], length) << headers;
      EXPECT_TRUE(received[0].body() == body) << headers;
    }
  }
}

}  // namespace
}  // namespace load_balancer::testing
