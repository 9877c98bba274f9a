// SPDX-License-Identifier: Apache-2.0
#include "client/request_reader.h"

#include <algorithm>
#include <boost/beast/http/error.hpp>
#include <chrono>
#include <utility>

namespace load_balancer::proxy {
namespace {

namespace http = boost::beast::http;

constexpr std::size_t kMostHeader = 16 * 1024;
constexpr std::size_t kMostChunkHeader = 4 * 1024;
constexpr std::uint64_t kMostBody = 32 * 1024 * 1024;  // of a request
constexpr std::chrono::seconds kIdle{90};              // between requests
// For a request's head to come: the first from the connection's start, others from their first byte. Whoever
// sends no proper request is owed an error or a close within 3 s of connecting.
constexpr std::chrono::milliseconds kComing{2500};
// For its body: no longer than this between pieces, and this much over the time at this rate.
constexpr std::chrono::milliseconds kBodyPause{2000};
constexpr double kLeastRate = 16 * 1024;  // bytes a second; slow clients send four times as much

}  // namespace

RequestReader::RequestReader() : buffer_(kMostHeader + kMostChunkHeader) {}

void RequestReader::Next() {
  parser_.emplace();
  parser_->header_limit(kMostHeader);
  parser_->body_limit(kMostBody);
  received_ = 0;
  if (buffer_.size() > 0) {
    began_ = heard_at_ = Steady::now();
  } else if (!std::exchange(fresh_, false)) {
    began_ = {};
  }
}

boost::asio::mutable_buffer RequestReader::Room(std::size_t most) {
  const std::size_t room = buffer_.max_size() - buffer_.size();
  return room == 0 ? boost::asio::mutable_buffer() : buffer_.prepare(std::min(most, room));
}

void RequestReader::Came(std::size_t n) {
  buffer_.commit(n);
  heard_at_ = Steady::now();
}

bool RequestReader::ParseHead(Error* failed) {
  if (began_ == Steady::time_point{}) began_ = heard_at_;
  while (!parser_->is_header_done() && buffer_.size() > 0 && !*failed)
    buffer_.consume(parser_->put(buffer_.data(), *failed));
  if (*failed == http::error::need_more) *failed = {};
  return parser_->is_header_done();
}

Steady::time_point RequestReader::HeadDue() const {
  return began_ == Steady::time_point{} ? Steady::now() + kIdle : began_ + kComing;
}

std::string RequestReader::Decode(std::size_t most, Error* failed) {
  if (buffer_.size() == 0) return "";
  std::string piece(most, '\0');
  auto& body = parser_->get().body();
  body = {piece.data(), piece.size(), true};
  while (!parser_->is_done() && buffer_.size() > 0 && !*failed)
    buffer_.consume(parser_->put(buffer_.data(), *failed));
  if (*failed == http::error::need_more || *failed == http::error::need_buffer) *failed = {};
  piece.resize(piece.size() - body.size);
  received_ += piece.size();
  return piece;
}

Steady::time_point RequestReader::BodyDue() const {
  const auto at_rate = std::chrono::duration<double>(static_cast<double>(received_) / kLeastRate);
  const auto in_time = body_began_ + kBodyPause + std::chrono::duration_cast<Steady::duration>(at_rate);
  return std::min(in_time, Steady::now() + kBodyPause);
}

void RequestReader::GoOn() {
  heard_at_ = Steady::now();
  body_began_ += heard_at_ - held_since_;
}

boost::asio::mutable_buffer RequestReader::Discard() {
  buffer_.clear();
  return buffer_.prepare(kMostChunkHeader);
}

}  // namespace load_balancer::proxy
