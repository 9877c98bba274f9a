// SPDX-License-Identifier: Apache-2.0
//
// RequestReader parses the requests of one client connection one after the other and computes the deadlines
// for their next bytes. It does no I/O.
#ifndef LOAD_BALANCER_PROXY_CLIENT_REQUEST_READER_H_
#define LOAD_BALANCER_PROXY_CLIENT_REQUEST_READER_H_

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "clock.h"

namespace load_balancer::proxy {

class RequestReader {
 public:
  using Error = boost::system::error_code;

  RequestReader();

  // Starts the deadline for the head of the first request. Called when the connection has been accepted. What
  // the client has sent before arrived no earlier than `arrived_at`.
  void OnAccepted(Steady::time_point arrived_at) {
    head_began_ = last_received_at_ = Steady::now();
    all_read_at_ = bytes_arrived_at_ = arrived_at;
  }
  // Prepares the parser for the next request. Some of its bytes may already be in the buffer.
  void BeginRequest();

  // Returns memory to read into, more of it the more the client has sent. The result is empty if the buffer
  // is full.
  boost::asio::mutable_buffer PrepareRead();
  // Returns the bytes that PrepareRead allocates; 0 if the memory of the buffer is sufficient.
  std::size_t GrowthForRead() const;
  // Adds `bytes` bytes that have been read into the memory of PrepareRead.
  void Received(std::size_t bytes);
  // Notes that until now the socket has had no unread bytes.
  void NoteAllRead() { all_read_at_ = Steady::now(); }
  // Frees the memory of parsed bytes. No read into the buffer of PrepareRead may be in progress.
  void FreeMemory() { buffer_.shrink_to_fit(); }
  // Does the same if the buffer has grown large.
  void FreeUnusedMemory();
  // Returns the number of bytes that have been received but not parsed.
  std::size_t unparsed() const { return buffer_.size(); }
  // Returns when bytes of the current request were last received.
  Steady::time_point last_received_at() const { return last_received_at_; }
  // Returns the earliest time at which the client can have sent the last byte of the current request. While
  // the socket has unread bytes, the rest of the request may be among them.
  Steady::time_point EarliestEnd() const { return IsDone() ? bytes_arrived_at_ : all_read_at_; }

  // Parses received bytes. Returns whether the head is complete.
  bool ParseHead(Error* error);
  // Returns the head and drops the reader's copy of it. Called once, when the head is complete.
  boost::beast::http::request_header<> TakeHead() { return std::move(parser_->get().base()); }
  bool keep_alive() const { return parser_->keep_alive(); }
  boost::optional<std::uint64_t> content_length() const { return parser_->content_length(); }
  // Returns the deadline for the complete head, or for its first byte if none has been received.
  Steady::time_point HeadDeadline() const;

  // Starts the deadlines of the body. Called when the head is complete.
  void BeginBody() { body_began_ = last_received_at_ = Steady::now(); }
  // Decodes and returns up to `max_bytes` received bytes of the body. The result is empty if no byte of the
  // body can be decoded yet.
  std::string DecodeBody(std::size_t max_bytes, Error* error);
  // Returns whether the request has been received and parsed completely.
  bool IsDone() const { return parser_->is_done(); }
  // Returns the deadline for the next bytes of the body.
  Steady::time_point BodyDeadline() const;
  // Pause and resume the deadlines of the body. The deadlines are paused while nobody requests more of the
  // body, because the client is not responsible for that delay.
  void PauseBodyTimer() { paused_since_ = Steady::now(); }
  void ResumeBodyTimer();

  // Drops all received bytes and the request, and returns memory for input that will be ignored.
  boost::asio::mutable_buffer Discard();

 private:
  std::size_t NextReadBytes() const;

  boost::beast::flat_buffer buffer_;
  std::optional<boost::beast::http::request_parser<boost::beast::http::buffer_body>> parser_;
  std::size_t body_bytes_ = 0;  // decoded bytes of the body
  Steady::time_point head_began_{}, body_began_{}, paused_since_{}, last_received_at_{};
  Steady::time_point all_read_at_{};       // when the socket last had no unread bytes
  Steady::time_point bytes_arrived_at_{};  // the earliest time at which the last bytes read can have arrived
  bool is_first_request_ = true;           // no request of this connection has been read
};

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_CLIENT_REQUEST_READER_H_
