// SPDX-License-Identifier: Apache-2.0
//
// RequestWriter writes a request to a server: the head, then the body, either complete or in pieces.
#ifndef LOAD_BALANCER_PROXY_BACKEND_REQUEST_WRITER_H_
#define LOAD_BALANCER_PROXY_BACKEND_REQUEST_WRITER_H_

#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>
#include <string>
#include <utility>

#include "free_memory.h"

namespace load_balancer::proxy {

// RequestWriter writes synchronously as many bytes as the socket accepts, so that IsWritten() is always up to
// date. Code that cancels a request between the write and its completion handler must know whether the server
// may have started the request.
class RequestWriter {
 public:
  // Starts a request. `head` includes Content-Length or Transfer-Encoding.
  void Begin(boost::beast::http::request_header<> head) {
    message_.emplace(std::move(head));
    serializer_.emplace(*message_);
  }

  // Writes `bytes`, the next bytes of the body. Writes the head first if it has not been written yet. `bytes`
  // must stay valid until `done(error_code)`, which is never called within this call. The socket must be
  // non-blocking.
  template <typename Done>
  void Write(boost::asio::ip::tcp::socket& socket, const std::string& bytes, bool last, Done done) {
    message_->body() = {bytes.empty() ? nullptr : const_cast<char*>(bytes.data()), bytes.size(), !last};
    ContinueWriting(socket, std::move(done));
  }
  // Writes the next bytes of the body as Write does, but stores them until they are written, so that the
  // caller need not keep them.
  template <typename Done>
  void WritePiece(boost::asio::ip::tcp::socket& socket, std::string bytes, bool last, Done done) {
    piece_ = std::move(bytes);
    Write(socket, piece_, last, std::move(done));
  }

  // Returns whether the operating system has accepted the last byte of the request.
  bool IsWritten() const { return serializer_ && serializer_->is_done(); }
  // Frees the stored bytes and the head. Called when the request has been written completely.
  void DropPiece() {
    FreeMemory(piece_);
    if (message_) message_->base().clear();
  }
  // Frees all memory of the request. No write may be in progress.
  void Clear() {
    DropPiece();
    serializer_.reset();
    message_.reset();
  }

 private:
  using Message = boost::beast::http::request<boost::beast::http::buffer_body>;
  using Error = boost::system::error_code;

  template <typename Done>
  void ContinueWriting(boost::asio::ip::tcp::socket& socket, Done done) {
    Error error;
    while (!error && !serializer_->is_done()) boost::beast::http::write_some(socket, *serializer_, error);
    if (error == boost::asio::error::would_block) return WaitUntilWritable(socket, std::move(done));
    if (error == boost::beast::http::error::need_buffer) error = {};
    boost::asio::post(socket.get_executor(), [done = std::move(done), error]() mutable { done(error); });
  }
  template <typename Done>
  void WaitUntilWritable(boost::asio::ip::tcp::socket& socket, Done done) {
    socket.async_wait(boost::asio::ip::tcp::socket::wait_write,
                      [this, &socket, done = std::move(done)](const Error& error) mutable {
                        error ? done(error) : ContinueWriting(socket, std::move(done));
                      });
  }

  std::optional<Message> message_;
  std::optional<boost::beast::http::request_serializer<boost::beast::http::buffer_body>> serializer_;
  std::string piece_;
};

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_BACKEND_REQUEST_WRITER_H_
