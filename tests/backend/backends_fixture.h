// SPDX-License-Identifier: Apache-2.0
//
// BackendsFixture runs Backends on an event loop that the test advances step by step. The test itself plays
// the server.
#ifndef LOAD_BALANCER_TESTS_BACKEND_BACKENDS_FIXTURE_H_
#define LOAD_BALANCER_TESTS_BACKEND_BACKENDS_FIXTURE_H_

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "backends.h"
#include "loopback.h"

namespace load_balancer::testing {

using proxy::AttemptId;
using proxy::AttemptResult;
using proxy::Backends;

inline constexpr ServerId kServer = 7;

// Returns `request` with its body as a completely buffered one.
inline proxy::OutgoingRequest MakeOutgoing(HttpRequest request) {
  proxy::OutgoingRequest outgoing;
  outgoing.head = request.base();
  outgoing.complete_body = std::make_shared<const std::string>(std::move(request.body()));
  return outgoing;
}

// Stores the result of an attempt. A streamed response is a test failure.
inline proxy::AttemptEvents StoreResult(std::optional<AttemptResult>* result) {
  return {[](proxy::ResponseHead) { FAIL() << "the response was streamed"; },
          [result](AttemptResult ended) { *result = std::move(ended); }};
}

struct BackendsFixture {
  explicit BackendsFixture(Backends::Limits limits = {}) : backends(io, std::move(limits), memory) {
    backends.Set(kServer, acceptor.local_endpoint(), 0);
  }

  // Sends an attempt with a body of `body` bytes and stores its outcome in `result`.
  AttemptId Send(Duration timeout, std::size_t body = 0, const std::string& target = "/book") {
    HttpRequest request{http::verb::post, target, 11};
    request.body().assign(body, 'x');
    request.prepare_payload();
    result.reset();
    return backends.Send(kServer, MakeOutgoing(std::move(request)), timeout, StoreResult(&result));
  }
  // Accepts the connection that the attempt opens.
  Tcp::socket Accept() {
    Tcp::socket socket(peers);
    acceptor.accept(socket);
    return socket;
  }
  // Runs the event loop until a request has been received completely, and returns it.
  HttpRequest ReadRequest(Tcp::socket& socket) {
    boost::beast::flat_buffer buffer;
    http::request_parser<http::string_body> parser;
    parser.eager(true);  // also parses body bytes received with the head
    while (!parser.is_done()) {
      RunOnce();
      if (socket.available() > 0) http::read_some(socket, buffer, parser);
    }
    return parser.release();
  }
  // Runs the event loop and returns all bytes received on a connection until it ends.
  std::string ReadToEnd(Tcp::socket& socket) {
    std::string got;
    error_code ended;
    socket.non_blocking(true);
    const auto until = std::chrono::steady_clock::now() + kGiveUp;
    while (std::chrono::steady_clock::now() < until) {
      RunOnce();
      char bytes[16384];
      const std::size_t n = socket.read_some(asio::buffer(bytes), ended);
      got.append(bytes, n);
      if (ended && ended != asio::error::would_block) return got;
    }
    ADD_FAILURE() << "the connection is still open";
    return got;
  }
  void RunOnce() {
    io.restart();
    io.poll();
  }
  void RunUntilResult() {
    const auto until = std::chrono::steady_clock::now() + kGiveUp;
    while (!result && std::chrono::steady_clock::now() < until) RunOnce();
  }

  asio::io_context io, peers;
  Tcp::acceptor acceptor{peers, kAnyPort};
  proxy::MemoryBudget memory{{.total = 1 << 24, .buffered = 1 << 20, .piece = 16384},
                             [] { return std::size_t{0}; },
                             [] { return std::size_t{0}; }};
  Backends backends;
  std::optional<AttemptResult> result;
};

}  // namespace load_balancer::testing

#endif  // LOAD_BALANCER_TESTS_BACKEND_BACKENDS_FIXTURE_H_
