// SPDX-License-Identifier: Apache-2.0
#include "backend/response_reader.h"

#include <chrono>

#include "backends.h"
#include "free_memory.h"

namespace load_balancer::proxy {
namespace {

namespace http = boost::beast::http;

// Time after which an incomplete response of unknown length is streamed.
constexpr std::chrono::milliseconds kBufferTime{100};

}  // namespace

ResponseReader::ResponseReader() : buffer_(kMaxHeaderBytes + kMaxChunkHeaderBytes) {}

void ResponseReader::Begin() {
  FreeMemory(buffered_);
  body_bytes_ = 0;
  parser_.emplace();
  parser_->body_limit(boost::none);
  parser_->header_limit(kMaxHeaderBytes);
}

// The proxy never requests a protocol switch, so a 101 counts as a final response.
bool ResponseReader::IsInterim() const {
  return head().result_int() < 200 && head().result() != http::status::switching_protocols;
}

void ResponseReader::BeginBody(MemoryBudget& memory) {
  reservation_ = MemoryBudget::Reservation(memory);
  buffer_until_ = Steady::now() + kBufferTime;
}

bool ResponseReader::AppendBuffered(std::size_t n) {
  const auto length = parser_->content_length();
  bool reserved = true;
  if (!length || *length > kMaxBufferedMessageBytes) {
    reserved = reservation_.Grow(n);
  } else if (buffered_.empty() && n > 0) {
    reserved = reservation_.Grow(*length);
    if (reserved) buffered_.reserve(*length);
  }
  AppendPiece(n);
  return reserved;
}

bool ResponseReader::MustStream(bool reserved) const {
  const auto length = parser_->content_length();
  return !reserved || body_bytes_ >= kMaxBufferedMessageBytes ||
         (length && *length > kMaxBufferedMessageBytes) || (!length && Steady::now() >= buffer_until_);
}

HttpResponse ResponseReader::TakeComplete() {
  HttpResponse response(std::move(parser_->get().base()));
  response.body() = std::move(buffered_);
  return response;
}

ResponseHead ResponseReader::StartStreaming() {
  ResponseHead result;
  if (const auto type = head().find(http::field::content_type); type != head().end())
    result.content_type.assign(type->value().data(), type->value().size());
  if (const auto length = parser_->content_length()) result.length = *length;
  reservation_.Release();
  parser_->get().base().clear();  // nothing of the head is needed any more
  return result;
}

void ResponseReader::Clear() {
  parser_.reset();
  FreeMemory(buffered_);
  FreeMemory(piece_);
  buffer_.shrink_to_fit();
}

}  // namespace load_balancer::proxy
