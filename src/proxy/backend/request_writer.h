// SPDX-License-Identifier: Apache-2.0
//
// A request on its way to a backend: its head, and its body whole or piece by piece.
#ifndef BRACKENSPOKE_PROXY_BACKEND_REQUEST_WRITER_H_
#define BRACKENSPOKE_PROXY_BACKEND_REQUEST_WRITER_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <cstddef>
#include <optional>
#include <string>
#include <utility>

namespace brackenspoke::proxy {

class RequestWriter {
 public:
  // `head` with its framing.
  void Begin(boost::beast::http::request_header<> head) {
    message_.emplace(std::move(head));
    serializer_.emplace(*message_);
  }

  // The head, if it has not gone yet, and the body's next bytes, which stay until `done(error_code)`.
  template <typename Done>
  void Write(boost::asio::ip::tcp::socket& socket, const std::string& bytes, bool last, Done done) {
    message_->body() = {bytes.empty() ? nullptr : const_cast<char*>(bytes.data()), bytes.size(), !last};
    boost::beast::http::async_write(
        socket, *serializer_,
        [done = std::move(done)](boost::system::error_code failed, std::size_t) mutable {
          if (failed == boost::beast::http::error::need_buffer) failed = {};
          done(failed);
        });
  }
  // The same with bytes that are kept here.
  template <typename Done>
  void WritePiece(boost::asio::ip::tcp::socket& socket, std::string bytes, bool last, Done done) {
    piece_ = std::move(bytes);
    Write(socket, piece_, last, std::move(done));
  }

  // All has been written.
  void DropPiece() { piece_ = {}; }
  // Nothing is being written.
  void Clear() {
    serializer_.reset();
    message_.reset();
  }

 private:
  using Message = boost::beast::http::request<boost::beast::http::buffer_body>;

  std::optional<Message> message_;
  std::optional<boost::beast::http::request_serializer<boost::beast::http::buffer_body>> serializer_;
  std::string piece_;
};

}  // namespace brackenspoke::proxy

#endif  // BRACKENSPOKE_PROXY_BACKEND_REQUEST_WRITER_H_
