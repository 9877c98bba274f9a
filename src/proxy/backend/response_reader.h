// SPDX-License-Identifier: Apache-2.0
//
// An answer on its way from a backend: what has come of it, and whether it is held until it is whole or has
// to be passed on.
#ifndef LOAD_BALANCER_PROXY_BACKEND_RESPONSE_READER_H_
#define LOAD_BALANCER_PROXY_BACKEND_RESPONSE_READER_H_

#include <boost/asio/ip/tcp.hpp>
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
#include "request.h"

namespace load_balancer::proxy {

struct AnswerHead;

class AnswerReader {
 public:
  using Head = boost::beast::http::response_header<>;

  AnswerReader();

  // Another answer, or after an interim one the one that is still to come.
  void Begin();
  // `done(error_code)` once the head is in.
  template <typename Done>
  void ReadHead(boost::asio::ip::tcp::socket& socket, Done done) {
    boost::beast::http::async_read_header(socket, buffer_, *parser_,
                                          [done = std::move(done)](const boost::system::error_code& failed,
                                                                   std::size_t) mutable { done(failed); });
  }
  const Head& head() const { return parser_->get(); }
  // The answer proper is still to come.
  bool Interim() const;

  // Its head is in: what follows is held in `buffers` for a while.
  void BeginBody(Buffers& buffers);
  // Up to `most` bytes more; `done(error_code)`.
  template <typename Done>
  void ReadPiece(boost::asio::ip::tcp::socket& socket, std::size_t most, Done done) {
    in_.resize(most);
    parser_->get().body() = {in_.data(), in_.size(), true};
    boost::beast::http::async_read_some(
        socket, buffer_, *parser_,
        [done = std::move(done)](boost::system::error_code failed, std::size_t) mutable {
          if (failed == boost::beast::http::error::need_buffer) failed = {};
          done(failed);
        });
  }
  // Bytes of the piece that was read last.
  std::size_t Came() const { return in_.size() - parser_->get().body().size; }
  // Of the body, with those that were of no use.
  std::size_t got() const { return got_; }
  void Count(std::size_t n) { got_ += n; }
  // The whole message is in.
  bool Done() const { return parser_->is_done(); }
  // It is whole, and more has come after it.
  bool Exceeded() const { return Done() && buffer_.size() > 0; }
  // The connection can carry another one.
  bool Reusable() const {
    return Done() && parser_->keep_alive() && buffer_.size() == 0 &&
           head().result() != boost::beast::http::status::switching_protocols;
  }

  // The last piece is added to what nobody has had yet.
  void Keep(std::size_t n) { whole_.append(in_, 0, n); }
  // Counts them as held; false if there is no room for them.
  bool Hold(std::size_t n) { return hold_.Grow(n); }
  // What nobody has had yet.
  bool Holds() const { return !whole_.empty(); }
  std::string Take() { return std::exchange(whole_, {}); }

  // It does not tell its length.
  bool Unmeasured() const { return !parser_->content_length(); }
  // Until then such a one is held.
  Steady::time_point hold_until() const { return hold_until_; }
  // It is too large, or too slow, to be held until it is whole; `held` says whether there was room.
  bool TooLarge(bool held) const;

  // All of it, with its memory.
  HttpResponse Whole();
  Buffers::Hold TakeHold() { return std::move(hold_); }
  // From here on it is passed on, but for the source of its body.
  AnswerHead PassOn();
  // Nothing is being read.
  void Clear();

 private:
  boost::beast::flat_buffer buffer_;
  std::optional<boost::beast::http::response_parser<boost::beast::http::buffer_body>> parser_;
  std::string in_;     // the piece being read
  std::string whole_;  // read, and not given to anybody yet
  std::size_t got_ = 0;
  Buffers::Hold hold_;
  Steady::time_point hold_until_{};
};

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_BACKEND_RESPONSE_READER_H_
