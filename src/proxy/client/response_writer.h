// SPDX-License-Identifier: Apache-2.0
//
// The answer on its way to a client: its head, and its body whole or piece by piece.
#ifndef LOAD_BALANCER_PROXY_CLIENT_RESPONSE_WRITER_H_
#define LOAD_BALANCER_PROXY_CLIENT_RESPONSE_WRITER_H_

#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <cstddef>
#include <optional>
#include <string>
#include <utility>

namespace load_balancer::proxy {

class AnswerWriter {
 public:
  using Response = boost::beast::http::response<boost::beast::http::buffer_body>;

  // What the next answer begins with; stays as it is from Begin on.
  Response& head() { return response_; }
  void Begin() { serializer_.emplace(response_); }

  // The head, if it has not gone yet, and the body's next bytes; `done(error_code)`.
  template <typename Done>
  void Write(boost::beast::tcp_stream& stream, std::string piece, bool last, Done done) {
    piece_ = std::move(piece);
    response_.body() = {piece_.empty() ? nullptr : piece_.data(), piece_.size(), !last};
    boost::beast::http::async_write(
        stream, *serializer_,
        [done = std::move(done)](boost::system::error_code failed, std::size_t) mutable {
          if (failed == boost::beast::http::error::need_buffer) failed = {};
          done(failed);
        });
  }

  // All of it has been written.
  void Clear() {
    piece_ = {};
    serializer_.reset();
  }

 private:
  Response response_;
  std::optional<boost::beast::http::response_serializer<boost::beast::http::buffer_body>> serializer_;
  std::string piece_;  // being written
};

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_CLIENT_RESPONSE_WRITER_H_
