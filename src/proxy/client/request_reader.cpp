// SPDX-License-Identifier: Apache-2.0
#include "client/request_reader.h"

#include <algorithm>
#include <boost/beast/http/error.hpp>
#include <chrono>
#include <utility>

#include "head_parsing.h"

namespace load_balancer::proxy {
namespace {

namespace http = boost::beast::http;

constexpr std::uint64_t kMaxBodyBytes = 32 * 1024 * 1024;  // per request
constexpr std::size_t kDiscardBytes = 4 * 1024;            // per read of ignored input
constexpr std::chrono::seconds kIdleTimeout{90};           // between two requests
// Time for a complete head. For the first request of a connection, the time starts when the client connects;
// for later requests, it starts with their first byte. A client that sends no valid request must get an error
// or a close within 3 s of connecting.
constexpr std::chrono::milliseconds kHeadTimeout{2500};
// The body must not pause for longer than kMaxBodyPause. The whole transfer may take kMaxBodyPause plus
// the time that its bytes need at kMinBodyBytesPerSecond.
constexpr std::chrono::milliseconds kMaxBodyPause{2000};
constexpr double kMinBodyBytesPerSecond = 16 * 1024;  // slow clients send four times as much

}  // namespace

RequestReader::RequestReader() : buffer_(kMaxHeaderBytes + kMaxChunkHeaderBytes) {}

void RequestReader::BeginRequest() {
  parser_.emplace();
  parser_->header_limit(kMaxHeaderBytes);
  parser_->body_limit(kMaxBodyBytes);
  body_bytes_ = 0;
  if (buffer_.size() > 0) {
    head_began_ = last_received_at_ = Steady::now();
  } else if (!std::exchange(is_first_request_, false)) {
    head_began_ = {};
  }
}

void RequestReader::FreeUnusedMemory() {
  if (buffer_.capacity() > kDiscardBytes) buffer_.shrink_to_fit();
}

std::size_t RequestReader::NextReadBytes() const { return proxy::NextReadBytes(buffer_); }

std::size_t RequestReader::GrowthForRead() const {
  const std::size_t needed = buffer_.size() + NextReadBytes();
  return needed <= buffer_.capacity() ? 0 : needed;
}

boost::asio::mutable_buffer RequestReader::PrepareRead() {
  const std::size_t bytes = NextReadBytes();
  return bytes == 0 ? boost::asio::mutable_buffer() : buffer_.prepare(bytes);
}

void RequestReader::Received(std::size_t bytes) {
  buffer_.commit(bytes);
  last_received_at_ = Steady::now();
  bytes_arrived_at_ = all_read_at_;
}

bool RequestReader::ParseHead(Error* error) {
  if (head_began_ == Steady::time_point{}) head_began_ = last_received_at_;
  return ParseBufferedHead(buffer_, *parser_, error);
}

Steady::time_point RequestReader::HeadDeadline() const {
  return head_began_ == Steady::time_point{} ? Steady::now() + kIdleTimeout : head_began_ + kHeadTimeout;
}

std::string RequestReader::DecodeBody(std::size_t max_bytes, Error* error) {
  if (buffer_.size() == 0) return "";
  std::string piece(max_bytes, '\0');
  auto& body = parser_->get().body();
  body = {piece.data(), piece.size(), true};
  while (!parser_->is_done() && buffer_.size() > 0 && !*error)
    buffer_.consume(parser_->put(buffer_.data(), *error));
  if (*error == http::error::need_more || *error == http::error::need_buffer) *error = {};
  if (!*error && HasTooManyFields(parser_->get().base()))
    *error = http::error::header_limit;  // of the trailer
  piece.resize(piece.size() - body.size);
  body_bytes_ += piece.size();
  return piece;
}

Steady::time_point RequestReader::BodyDeadline() const {
  const auto time_at_min_rate =
      std::chrono::duration<double>(static_cast<double>(body_bytes_) / kMinBodyBytesPerSecond);
  const auto total_deadline =
      body_began_ + kMaxBodyPause + std::chrono::duration_cast<Steady::duration>(time_at_min_rate);
  return std::min(total_deadline, Steady::now() + kMaxBodyPause);
}

void RequestReader::ResumeBodyTimer() {
  last_received_at_ = Steady::now();
  body_began_ += last_received_at_ - paused_since_;
}

boost::asio::mutable_buffer RequestReader::Discard() {
  buffer_.clear();
  FreeUnusedMemory();
  parser_.reset();
  return buffer_.prepare(kDiscardBytes);
}

}  // namespace load_balancer::proxy
