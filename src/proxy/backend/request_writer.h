// SPDX-License-Identifier: Apache-2.0
//
// A request on its way to a backend: its head, and its body whole or piece by piece.
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

namespace load_balancer::proxy {

// Writes at once what the system takes, so that Written() holds at every moment: whoever breaks a request off
// between the write and the news of it has to know whether the backend may begin it.
class RequestWriter {
 public:
  // `head` with its framing.
  void Begin(boost::beast::http::request_header<> head) {
    message_.emplace(std::move(head));
    serializer_.emplace(*message_);
  }

  // The head, if it has not gone yet, and the body's next bytes, which stay until `done(error_code)`; that is
  // not called from within. The socket does not block.
  template <typename Done>
  void Write(boost::asio::ip::tcp::socket& socket, const std::string& bytes, bool last, Done done) {
    message_->body() = {bytes.empty() ? nullptr : const_cast<char*>(bytes.data()), bytes.size(), !last};
    GoOn(socket, std::move(done));
  }
  // The same with bytes that are kept here.
  template <typename Done>
  void WritePiece(boost::asio::ip::tcp::socket& socket, std::string bytes, bool last, Done done) {
    piece_ = std::move(bytes);
    Write(socket, piece_, last, std::move(done));
  }

  // The system has taken the last byte.
  bool Written() const { return serializer_ && serializer_->is_done(); }
  // All has been written.
  void DropPiece() { piece_ = {}; }
  // Nothing is being written.
  void Clear() {
    DropPiece();
    serializer_.reset();
    message_.reset();
  }

 private:
  using Message = boost::beast::http::request<boost::beast::http::buffer_body>;
  using Error = boost::system::error_code;

  template <typename Done>
  void GoOn(boost::asio::ip::tcp::socket& socket, Done done) {
    Error failed;
    while (!failed && !serializer_->is_done()) boost::beast::http::write_some(socket, *serializer_, failed);
    if (failed == boost::asio::error::would_block) return WaitForRoom(socket, std::move(done));
    if (failed == boost::beast::http::error::need_buffer) failed = {};
    boost::asio::post(socket.get_executor(), [done = std::move(done), failed]() mutable { done(failed); });
  }
  template <typename Done>
  void WaitForRoom(boost::asio::ip::tcp::socket& socket, Done done) {
    socket.async_wait(boost::asio::ip::tcp::socket::wait_write,
                      [this, &socket, done = std::move(done)](const Error& failed) mutable {
                        failed ? done(failed) : GoOn(socket, std::move(done));
                      });
  }

  std::optional<Message> message_;
  std::optional<boost::beast::http::request_serializer<boost::beast::http::buffer_body>> serializer_;
  std::string piece_;
};

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_BACKEND_REQUEST_WRITER_H_
