// SPDX-License-Identifier: Apache-2.0
//
// Backends on an event loop that the test runs itself, step by step; the test is the backend.
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

inline proxy::Outgoing Out(HttpRequest request) {
  proxy::Outgoing out;
  out.head = request.base();
  out.whole = std::make_shared<const std::string>(std::move(request.body()));
  return out;
}

inline proxy::AttemptEvents Into(std::optional<AttemptResult>* result) {
  return {[](proxy::AnswerHead) { FAIL() << "no answer here is passed on"; },
          [result](AttemptResult ended) { *result = std::move(ended); }};
}

struct Bench {
  explicit Bench(Backends::Limits limits = {}) : backends(io, std::move(limits), buffers) {
    backends.Set(kServer, acceptor.local_endpoint(), 0);
  }

  AttemptId Send(Duration timeout, std::size_t body = 0, const std::string& target = "/book") {
    HttpRequest request{http::verb::post, target, 11};
    request.body().assign(body, 'x');
    request.prepare_payload();
    result.reset();
    return backends.Send(kServer, Out(std::move(request)), timeout, Into(&result));
  }
  // The connection that the attempt opens; its request is read unless it is to wait.
  Tcp::socket Accept() {
    Tcp::socket socket(peers);
    acceptor.accept(socket);
    return socket;
  }
  // Once it is whole.
  HttpRequest ReadRequest(Tcp::socket& socket) {
    boost::beast::flat_buffer buffer;
    http::request_parser<http::string_body> parser;
    parser.eager(true);  // also what came with the head
    while (!parser.is_done()) {
      RunOnce();
      if (socket.available() > 0) http::read_some(socket, buffer, parser);
    }
    return parser.release();
  }
  // All that comes on a connection up to its end, while the event loop runs.
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
    ADD_FAILURE() << "the connection stays open";
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
  proxy::Buffers buffers{1 << 20, 16384, [] { return std::size_t{0}; }};
  Backends backends;
  std::optional<AttemptResult> result;
};

}  // namespace load_balancer::testing

#endif  // LOAD_BALANCER_TESTS_BACKEND_BACKENDS_FIXTURE_H_
