// SPDX-License-Identifier: Apache-2.0
//
// Request and response bodies of any size and framing, complete or aborted.
#include <gtest/gtest.h>

#include <numeric>

#include "loopback.h"

namespace load_balancer::testing {
namespace {

// Returns `n` pseudo-random bytes, always the same.
std::string Bytes(std::size_t n) {
  std::string bytes(n, '\0');
  std::uint32_t x = 1;
  for (char& c : bytes) c = static_cast<char>((x = x * 1664525u + 1013904223u) >> 24);
  return bytes;
}

const std::size_t kLarge = 1000 * 1000;

std::string Chunk(const std::string& bytes, const std::string& extension = "") {
  char size[24];
  std::snprintf(size, sizeof size, "%zx", bytes.size());
  return size + extension + "\r\n" + bytes + "\r\n";
}

std::string Chunked(const std::string& body, std::size_t piece = 70000) {
  std::string all;
  for (std::size_t at = 0; at < body.size(); at += piece) all += Chunk(body.substr(at, piece), ";a=b;c");
  return all + "0\r\nX-Trailer: t\r\n\r\n";
}

std::string PostHead(const std::string& framing, const std::string& id = FreshRequestId()) {
  return "POST /book HTTP/1.1\r\nHost: service.internal\r\nReq-Id: " + id + "\r\nReq-Kind: book\r\n" +
         framing + "\r\n\r\n";
}
std::string Length(std::size_t n) { return "Content-Length: " + std::to_string(n); }

// LargeBackend is a server that reads requests of any size.
class LargeBackend {
 public:
  using Answer = std::function<bool(Tcp::socket&, const HttpRequest&)>;
  struct Seen {
    std::vector<HttpRequest> requests;
    int opened = 0, closed = 0;
  };
  explicit LargeBackend(Answer answer)
      : answer_(std::move(answer)), listener_([this](Tcp::socket& s) { Serve(s); }) {}
  Tcp::endpoint address() const { return listener_.address; }
  bool WaitForClosed(int n) {
    return seen.WaitFor([n](const Seen& s) { return s.closed >= n; });
  }

  Watched<Seen> seen;

 private:
  void Serve(Tcp::socket& socket) {
    seen.Do([](Seen& s) { ++s.opened; });
    boost::beast::flat_buffer buffer;
    for (;;) {
      http::request_parser<http::string_body> parser;
      parser.body_limit(boost::none);
      error_code failed;
      http::read(socket, buffer, parser, failed);
      if (failed) break;
      const HttpRequest request = parser.release();
      seen.Do([&](Seen& s) { s.requests.push_back(request); });
      if (!answer_(socket, request)) break;
    }
    seen.Do([](Seen& s) { ++s.closed; });
  }

  Answer answer_;
  Listener listener_;
};

bool Echo(Tcp::socket& s, const HttpRequest& r) {
  SendRaw(s, OkAnswer(r.body()));
  return true;
}

// Site is a proxy with one server and a discovery.
struct Site {
  explicit Site(LargeBackend::Answer answer, int memory_mb = 192) : backend(std::move(answer)) {
    auto config = ConfigJson(discovery.address(), Members(MemberJson("s-1", backend.address())));
    config["limits"]["memory_mb"] = memory_mb;
    proxy = std::make_unique<RunningProxy>(config);
  }
  // Waits until no request is pending, no connection is open and no memory is reserved.
  bool WaitUntilQuiet() {
    const auto until = std::chrono::steady_clock::now() + kGiveUp;
    while (std::chrono::steady_clock::now() < until) {
      if (proxy->Ask([](proxy::Proxy& p) {
            return p.held() + p.client_connections() + p.backend_connections() + p.buffered();
          }) == 0)
        return true;
      std::this_thread::yield();
    }
    return false;
  }

  LargeBackend backend;
  FakeDiscovery discovery;
  std::unique_ptr<RunningProxy> proxy;
};

// Reads a response of any size. The status is 0 if the response was incomplete.
HttpResponse ReadLarge(Client& client, boost::beast::flat_buffer& buffer) {
  http::response_parser<http::string_body> parser;
  parser.body_limit(boost::none);
  error_code failed;
  http::read(client.socket, buffer, parser, failed);
  HttpResponse response = parser.release();
  if (failed) response.result(0u);
  return response;
}
HttpResponse ReadLarge(Client& client) {
  boost::beast::flat_buffer buffer;
  return ReadLarge(client, buffer);
}

TEST(LargeBody, IsForwardedUnchangedInBothDirections) {
  Site site(Echo);
  const std::string body = Bytes(kLarge);
  Client client(site.proxy->address);
  boost::beast::flat_buffer buffer;
  for (const bool chunked : {false, true}) {
    client.Send(chunked ? PostHead("Transfer-Encoding: chunked", "chunked") + Chunked(body)
                        : PostHead(Length(body.size()), "whole") + body);
    const HttpResponse answer = ReadLarge(client, buffer);
    EXPECT_EQ(answer.result_int(), 200u);
    EXPECT_EQ(answer.body(), body);
  }
  const auto requests = site.backend.seen.Get().requests;
  ASSERT_EQ(requests.size(), 2u);
  EXPECT_EQ(requests[0].body(), body);
  EXPECT_EQ(requests[1].body(), body);
  EXPECT_EQ(requests[0]["Req-Id"], "whole");
  EXPECT_EQ(requests[1]["Req-Id"], "chunked");
  EXPECT_EQ(site.backend.seen.Get().opened, 1) << "the connection is reused";
}

TEST(LargeBody, Of32MegabytesIsForwarded) {
  Site site(Echo, /*memory_mb=*/16);
  const std::string body = Bytes(32 * 1000 * 1000);
  Client client(site.proxy->address);
  client.Send(PostHead(Length(body.size())) + body);
  const HttpResponse answer = ReadLarge(client);
  EXPECT_EQ(answer.result_int(), 200u);
  EXPECT_TRUE(answer.body() == body);
}

TEST(LargeBody, ResponsesOfEveryFramingAreForwarded) {
  const std::string body = Bytes(kLarge);
  for (const std::size_t size : {std::size_t{0}, std::size_t{5}, kLarge}) {
    const std::string part = body.substr(0, size);
    for (const std::string& raw :
         {OkAnswer(part), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Chunked(part),
          "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n" + part,
          "HTTP/1.0 200 OK\r\nConnection: close\r\n\r\n" + part}) {
      Site site([&](Tcp::socket& s, const HttpRequest&) {
        SendRaw(s, raw);
        return raw.find("Content-Length") != std::string::npos;
      });
      Client client(site.proxy->address);
      client.Send(Look());
      const HttpResponse answer = ReadLarge(client);
      EXPECT_EQ(answer.result_int(), 200u);
      EXPECT_TRUE(answer.body() == part) << raw.substr(0, 60) << " " << size;
      Client old(site.proxy->address);
      old.Send("GET /look HTTP/1.0\r\nReq-Id: 0a\r\n\r\n");
      const HttpResponse before = ReadLarge(old);
      EXPECT_EQ(before.result_int(), 200u);
      EXPECT_TRUE(before.body() == part) << "to HTTP/1.0: " << raw.substr(0, 60) << " " << size;
      EXPECT_FALSE(before.chunked());
    }
  }
}

TEST(LargeBody, IsParsedByteByByte) {
  Site site(Echo);
  const std::string body = Bytes(100);
  const std::string request = PostHead("Transfer-Encoding: chunked") + Chunked(body, 7);
  Client client(site.proxy->address);
  for (const char byte : request) client.Send(std::string(1, byte));
  EXPECT_EQ(client.Read().body(), body);
}

TEST(LargeBody, IsRequestedFromAClientThatExpects100Continue) {
  Site site(Echo);
  const std::string body = Bytes(kLarge);
  Client client(site.proxy->address);
  client.Send(PostHead(Length(body.size()) + "\r\nExpect: 100-continue"));
  boost::beast::flat_buffer buffer;
  http::response_parser<http::string_body> interim;
  http::read_header(client.socket, buffer, interim);
  ASSERT_EQ(interim.get().result_int(), 100u);
  client.Send(body);
  EXPECT_EQ(ReadLarge(client, buffer).body(), body);
}

TEST(LargeBody, CanBeFollowedAtOnceByTheNextRequest) {
  Site site(Echo);
  const std::string body = Bytes(kLarge);
  Client client(site.proxy->address);
  std::thread sender(
      [&] { client.Send(PostHead(Length(body.size())) + body + PostHead(Length(2)) + "ab" + Look()); });
  boost::beast::flat_buffer buffer;
  EXPECT_EQ(ReadLarge(client, buffer).body(), body);
  EXPECT_EQ(ReadLarge(client, buffer).body(), "ab");
  EXPECT_EQ(ReadLarge(client, buffer).result_int(), 200u);
  sender.join();
}

TEST(LargeBody, TheFirstBytesOfAResponseAreForwardedBeforeTheRest) {
  for (const std::string& framing : {Length(kLarge), std::string("Transfer-Encoding: chunked")}) {
    Watched<bool> read;
    const std::string first = Bytes(1000), rest = Bytes(kLarge - 1000);
    const bool chunked = framing.find("chunked") != std::string::npos;
    Site site([&](Tcp::socket& s, const HttpRequest&) {
      SendRaw(s, "HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n" + (chunked ? Chunk(first) : first));
      read.WaitFor([](bool r) { return r; });
      SendRaw(s, chunked ? Chunked(rest) : rest);
      return true;
    });
    Client client(site.proxy->address);
    client.Send(Look());
    std::string got;
    while (got.find(first) == std::string::npos) {
      char piece[4096];
      got.append(piece, client.socket.read_some(asio::buffer(piece)));
    }
    read.Do([](bool& r) { r = true; });
    while (got.size() < kLarge) {
      char piece[65536];
      got.append(piece, client.socket.read_some(asio::buffer(piece)));
    }
  }
}

TEST(LargeBody, AnAbortedResponseIsVisiblyIncomplete) {
  const std::string half = Bytes(kLarge / 2);
  for (const std::string& raw : {"HTTP/1.1 200 OK\r\n" + Length(kLarge) + "\r\n\r\n" + half,
                                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Chunk(half)}) {
    for (const char* version : {"1.1", "1.0"}) {
      Site site([&](Tcp::socket& s, const HttpRequest&) {
        SendRaw(s, raw);
        return false;
      });
      {
        Client client(site.proxy->address);
        client.Send(std::string("GET /look HTTP/") + version + "\r\nHost: x\r\nReq-Id: 0a\r\n\r\n");
        EXPECT_EQ(ReadLarge(client).result_int(), 0u) << version;
      }
      EXPECT_EQ(site.backend.seen.Get().requests.size(), 1u) << "a started response is not replaced";
      EXPECT_TRUE(site.WaitUntilQuiet());
    }
  }
}

TEST(LargeBody, AClientThatDisconnectsDuringAResponseFreesTheServer) {
  Site site([&](Tcp::socket& s, const HttpRequest&) {
    SendRaw(s, OkAnswer(Bytes(32 * 1000 * 1000)));  // fails when the proxy closes
    return true;
  });
  {
    Client client(site.proxy->address);
    client.Send(Look());
    char piece[1000];
    asio::read(client.socket, asio::buffer(piece));
  }
  EXPECT_TRUE(site.backend.WaitForClosed(1));
  EXPECT_TRUE(site.WaitUntilQuiet());
}

TEST(LargeBody, AStalledOrDisconnectedUploadIsEndedAndNotRetried) {
  for (const bool leaves : {true, false}) {
    Site site(Echo);
    {
      Client client(site.proxy->address);
      client.Send(PostHead(Length(kLarge)) + Bytes(kLarge / 2));
      ASSERT_TRUE(site.backend.seen.WaitFor([](const auto& s) { return s.opened == 1; }));
      if (!leaves) {
        EXPECT_EQ(ReadLarge(client).result_int(), 0u);
      }
    }
    EXPECT_TRUE(site.backend.WaitForClosed(1));
    EXPECT_TRUE(site.WaitUntilQuiet());
    EXPECT_TRUE(site.backend.seen.Get().requests.empty()) << "the upload was never complete";
    EXPECT_EQ(site.backend.seen.Get().opened, 1);
  }
}

TEST(LargeBody, AStartedUploadIsNeverRetried) {
  Watched<int> opened;
  const auto breaks = [&](Tcp::socket& s) {
    opened.Do([](int& n) { ++n; });
    char piece[100000];
    error_code ended;
    asio::read(s, asio::buffer(piece), ended);
  };
  Listener one(breaks), two(breaks);
  FakeDiscovery discovery;
  RunningProxy proxy(ConfigJson(discovery.address(),
                                Members(MemberJson("s-1", one.address), MemberJson("s-2", two.address))));
  Client client(proxy.address);
  client.Send(PostHead(Length(200000)) + Bytes(150000));
  EXPECT_EQ(ReadLarge(client).result_int(), 503u) << "the request cannot have run";
  EXPECT_EQ(opened.Get(), 1);
}

TEST(LargeBody, AnUploadThatNoServerHasSeenIsSentToAnother) {
  LargeBackend backend(Echo);
  Tcp::endpoint nobody;
  {
    asio::io_context io;
    nobody = Tcp::acceptor(io, kAnyPort).local_endpoint();
  }
  FakeDiscovery discovery;
  RunningProxy proxy(ConfigJson(discovery.address(),
                                Members(MemberJson("s-1", nobody), MemberJson("s-2", backend.address()))));
  const std::string body = Bytes(kLarge);
  for (int i = 0; i < 8; ++i) {  // the first server is chosen at random
    Client client(proxy.address);
    client.Send(PostHead(Length(body.size())) + body);
    EXPECT_TRUE(ReadLarge(client).body() == body);
  }
}

TEST(LargeBody, ManyConcurrentUploadsAreServedWithLittleMemory) {
  Site site(Echo, /*memory_mb=*/1);
  const std::string body = Bytes(60000);
  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i < 12; ++i) {
    clients.push_back(std::make_unique<Client>(site.proxy->address));
    clients.back()->Send(PostHead(Length(body.size())) + body.substr(0, 50000));
  }
  for (const auto& client : clients) client->Send(body.substr(50000));
  for (const auto& client : clients) {
    const HttpResponse answer = ReadLarge(*client);
    EXPECT_EQ(answer.result_int(), 200u);
    EXPECT_TRUE(answer.body() == body);
  }
  clients.clear();
  const auto until = std::chrono::steady_clock::now() + kGiveUp;
  const auto buffered = [&] { return site.proxy->Ask([](proxy::Proxy& p) { return p.buffered(); }); };
  while (buffered() != 0 && std::chrono::steady_clock::now() < until) std::this_thread::yield();
  EXPECT_EQ(buffered(), 0u);
}

TEST(LargeBody, ASlowUploadIsServed) {
  Site site(Echo);
  const std::string body = Bytes(80000);
  Client client(site.proxy->address);
  client.Send(PostHead(Length(body.size())));
  for (std::size_t at = 0; at < body.size(); at += 2000) {
    client.Send(body.substr(at, 2000));
    std::this_thread::sleep_for(
        std::chrono::milliseconds(75));  // 40 pieces take 3 s, longer than the time limit of a head
  }
  EXPECT_TRUE(ReadLarge(client).body() == body);
}

TEST(Framing, MalformedOrContradictoryRequestsAreRejected) {
  Site site(Echo);
  const std::string rest = "\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
  for (const std::string& framing :
       {std::string("Content-Length: 5\r\nTransfer-Encoding: chunked"),
        std::string("Content-Length: 5\r\nContent-Length: 6"), std::string("Content-Length: -5"),
        std::string("Content-Length: 5x"), std::string("Transfer-Encoding: gzip"),
        std::string("Transfer-Encoding: chunked, gzip"), std::string("Content-Length: 99999999999999999999"),
        std::string("Content-Length: 60000000")}) {
    Client client(site.proxy->address);
    client.Send("POST /book HTTP/1.1\r\nHost: x\r\nReq-Id: " + FreshRequestId() + "\r\n" + framing + rest);
    const unsigned status = client.Read().result_int();
    EXPECT_TRUE(status >= 400 && status <= 501) << framing << ": " << status;
    EXPECT_TRUE(client.Ended()) << framing;
  }
  Client client(site.proxy->address);
  client.Send(PostHead("Transfer-Encoding: chunked") + "zz\r\n");
  EXPECT_EQ(client.Read().result_int(), 400u);
  EXPECT_TRUE(client.Ended());
  Client later(site.proxy->address);
  later.Send(PostHead("Transfer-Encoding: chunked") + Chunk(Bytes(100000)) + "zz\r\n");
  EXPECT_EQ(ReadLarge(later).result_int(), 400u) << "in the middle of the body";
  EXPECT_TRUE(site.backend.seen.Get().requests.empty());
}

}  // namespace
}  // namespace load_balancer::testing
