// SPDX-License-Identifier: Apache-2.0
//
// ResponseWriter writes a response to a client: the head, then the body, either complete or in pieces.
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

#include "free_memory.h"

namespace load_balancer::proxy {

class ResponseWriter {
 public:
  using Response = boost::beast::http::response<boost::beast::http::buffer_body>;

  // Returns the head of the next response. It must not change after Begin.
  Response& head() { return response_; }
  void Begin() { serializer_.emplace(response_); }

  // Writes `piece`, the next bytes of the body. Writes the head first if it has not been written yet. `last`
  // says whether the body ends with `piece`. Calls `done(error_code)` when all bytes have been written.
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

  // Frees the memory of a response that has been written completely.
  void Clear() {
    FreeMemory(piece_);
    serializer_.reset();
  }

 private:
  Response response_;
  std::optional<boost::beast::http::response_serializer<boost::beast::http::buffer_body>> serializer_;
  std::string piece_;  // the bytes that are being written
};

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_CLIENT_RESPONSE_WRITER_H_
