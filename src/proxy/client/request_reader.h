// SPDX-License-Identifier: Apache-2.0
//
// A client's requests, one after the other, as their bytes come: the parser, and by when more must have come.
// Does no I/O.
#ifndef LOAD_BALANCER_PROXY_CLIENT_REQUEST_READER_H_
#define LOAD_BALANCER_PROXY_CLIENT_REQUEST_READER_H_

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>

#include "clock.h"

namespace load_balancer::proxy {

class RequestReader {
 public:
  using Error = boost::system::error_code;
  static constexpr std::size_t kAll = std::numeric_limits<std::size_t>::max();

  RequestReader();

  // The connection has begun.
  void Open() { began_ = heard_at_ = Steady::now(); }
  // Another request, of which some may be here already.
  void Next();

  // Room for the bytes that come next, `most` of them; empty if there is none.
  boost::asio::mutable_buffer Room(std::size_t most = kAll);
  void Came(std::size_t n);
  // Gives back the memory of what has been parsed; no room may be in use.
  void FreeRoom() { buffer_.shrink_to_fit(); }
  // Bytes that have come and have not been parsed.
  std::size_t unparsed() const { return buffer_.size(); }
  // When bytes have come last, while a request comes.
  Steady::time_point heard_at() const { return heard_at_; }

  // Whether the head is whole.
  bool ParseHead(Error* failed);
  const boost::beast::http::request_header<>& head() const { return parser_->get().base(); }
  bool keep_alive() const { return parser_->keep_alive(); }
  boost::optional<std::uint64_t> content_length() const { return parser_->content_length(); }
  // By when the head must have come, or, before its first byte, that one.
  Steady::time_point HeadDue() const;

  // The head is in; the time of its body begins.
  void BeginBody() { body_began_ = heard_at_ = Steady::now(); }
  // The next piece of what has come, up to `most` bytes; empty if that is not enough for one.
  std::string Decode(std::size_t most, Error* failed);
  // The whole request is in.
  bool Done() const { return parser_->is_done(); }
  // By when more of the body must have come.
  Steady::time_point BodyDue() const;
  // Nobody asks for more of the body, and somebody does: its time stands still between.
  void Hold() { held_since_ = Steady::now(); }
  void GoOn();

  // Forgets all that has come; room for what nobody will look at.
  boost::asio::mutable_buffer Discard();

 private:
  boost::beast::flat_buffer buffer_;
  std::optional<boost::beast::http::request_parser<boost::beast::http::buffer_body>> parser_;
  std::size_t received_ = 0;  // of the body
  Steady::time_point began_{}, body_began_{}, held_since_{}, heard_at_{};
  bool fresh_ = true;  // nothing has been read yet
};

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_CLIENT_REQUEST_READER_H_
