// SPDX-License-Identifier: Apache-2.0
//
// ResponseReader reads the response of a server. It buffers the body until the response is complete, or
// decides that the body has to be streamed.
#ifndef LOAD_BALANCER_PROXY_BACKEND_RESPONSE_READER_H_
#define LOAD_BALANCER_PROXY_BACKEND_RESPONSE_READER_H_

#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <cstddef>
#include <optional>
#include <string>
#include <utility>

#include "body.h"
#include "clock.h"
#include "head_parsing.h"
#include "memory_budget.h"
#include "request.h"

namespace load_balancer::proxy {

struct ResponseHead;

class ResponseReader {
 public:
  using Head = boost::beast::http::response_header<>;

  ResponseReader();

  // Starts to read a response. After an interim (1xx) response it starts to read the next one.
  void Begin();
  // Reads the head and calls `done(error_code)`, never within this call, when it is complete. Fails if
  // `has_room(bytes)` denies room to a large head. `done` keeps this reader alive.
  template <typename HasRoom, typename Done>
  void ReadHead(boost::asio::ip::tcp::socket& socket, HasRoom has_room, Done done) {
    boost::system::error_code failed;
    if (ParseBufferedHead(buffer_, *parser_, &failed) || failed) {
      boost::asio::post(socket.get_executor(), [done = std::move(done), failed]() mutable { done(failed); });
      return;
    }
    ReadMoreOfHead(socket, std::move(has_room), std::move(done));
  }
  const Head& head() const { return parser_->get(); }
  // Returns whether the response is an interim one (1xx), which the final response follows.
  bool IsInterim() const;

  // Starts to read the body. Called when the head is complete. The body is buffered for some time, with
  // memory reserved from `memory`.
  void BeginBody(MemoryBudget& memory);
  // Reads up to `max_bytes` bytes of the body and calls `done(error_code)`. By then the response may have
  // been cleared.
  template <typename Done>
  void ReadPiece(boost::asio::ip::tcp::socket& socket, std::size_t max_bytes, Done done) {
    piece_.resize(max_bytes);
    parser_->get().body() = {piece_.data(), piece_.size(), true};
    boost::beast::http::async_read_some(
        socket, buffer_, *parser_,
        [done = std::move(done)](boost::system::error_code failed, std::size_t) mutable {
          if (failed == boost::beast::http::error::need_buffer) failed = {};
          done(failed);
        });
  }
  // Returns whether the head and the trailer, as far as it has been read, have too many fields together.
  bool HasTooManyFields() const { return proxy::HasTooManyFields(head()); }
  // Returns the size of the piece that was read last.
  std::size_t LastPieceBytes() const { return piece_.size() - parser_->get().body().size; }
  // Returns the number of bytes of the body received so far, including discarded ones.
  std::size_t body_bytes() const { return body_bytes_; }
  void CountBodyBytes(std::size_t n) { body_bytes_ += n; }
  // Returns whether the response has been received completely.
  bool IsDone() const { return parser_->is_done(); }
  // Returns whether more bytes have been received after the complete response.
  bool HasExcessBytes() const { return IsDone() && buffer_.size() > 0; }
  // Returns whether the connection can be used for another request.
  bool IsConnectionReusable() const {
    return IsDone() && parser_->keep_alive() && buffer_.size() == 0 &&
           head().result() != boost::beast::http::status::switching_protocols;
  }

  // Appends the first `n` bytes of the last piece to the buffered body.
  void AppendPiece(std::size_t n) { buffered_.append(piece_, 0, n); }
  // Does the same for a response that is not streamed, and reserves memory for it. Returns false if the limit
  // does not allow that.
  bool AppendBuffered(std::size_t n);
  // HasUndelivered returns whether the buffer contains bytes that have not been delivered. TakeBuffered
  // removes these bytes and returns them.
  bool HasUndelivered() const { return !buffered_.empty(); }
  std::string TakeBuffered() { return std::exchange(buffered_, {}); }

  // Returns whether the response has no Content-Length.
  bool HasUnknownLength() const { return !parser_->content_length(); }
  // Returns the time at which the buffering of a response of unknown length ends.
  Steady::time_point buffer_until() const { return buffer_until_; }
  // Returns whether the response is too large or too slow to be buffered completely. `reserved` says whether
  // memory for its last piece could be reserved.
  bool MustStream(bool reserved) const;

  // Returns the complete response. TakeReservation returns the memory reserved for its body.
  HttpResponse TakeComplete();
  MemoryBudget::Reservation TakeReservation() { return std::move(reservation_); }
  // Releases the reservation and returns the head of a response that is streamed from now on. The caller sets
  // the `body` of the result.
  ResponseHead StartStreaming();
  // Frees all memory of the response. No read may be in progress.
  void Clear();

 private:
  template <typename HasRoom, typename Done>
  void ReadMoreOfHead(boost::asio::ip::tcp::socket& socket, HasRoom has_room, Done done) {
    socket.async_read_some(
        buffer_.prepare(NextReadBytes(buffer_)),
        [this, &socket, has_room = std::move(has_room), done = std::move(done)](
            boost::system::error_code failed, std::size_t n) mutable {
          buffer_.commit(n);
          const bool is_complete = !failed && ParseBufferedHead(buffer_, *parser_, &failed);
          if (!failed && !is_complete && buffer_.size() == buffer_.max_size())
            failed = boost::beast::http::error::header_limit;
          const bool is_large = buffer_.size() + NextReadBytes(buffer_) > kSmallHeadBytes;
          if (!failed && !is_complete && is_large && !has_room(buffer_.size()))
            failed = boost::asio::error::no_memory;
          failed || is_complete ? done(failed) : ReadMoreOfHead(socket, std::move(has_room), std::move(done));
        });
  }

  static constexpr std::size_t kSmallHeadBytes = 4 * 1024;  // a head up to this size needs no further room

  boost::beast::flat_buffer buffer_;
  std::optional<boost::beast::http::response_parser<boost::beast::http::buffer_body>> parser_;
  std::string piece_;     // the last piece, or the one being read
  std::string buffered_;  // received bytes of the body that have not been delivered
  std::size_t body_bytes_ = 0;
  MemoryBudget::Reservation reservation_;
  Steady::time_point buffer_until_{};
};

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_BACKEND_RESPONSE_READER_H_
