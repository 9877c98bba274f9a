// SPDX-License-Identifier: Apache-2.0
#include "backend/response_reader.h"

#include <chrono>

#include "backends.h"

namespace load_balancer::proxy {
namespace {

namespace http = boost::beast::http;

constexpr std::size_t kMostHeader = 16 * 1024;
constexpr std::size_t kMostChunkHeader = 4 * 1024;
// An answer that does not tell its length, and is not whole by then, is passed on.
constexpr std::chrono::milliseconds kHoldBack{100};

}  // namespace

AnswerReader::AnswerReader() : buffer_(kMostHeader + kMostChunkHeader) {}

void AnswerReader::Begin() {
  whole_ = {};
  got_ = 0;
  parser_.emplace();
  parser_->body_limit(boost::none);
  parser_->header_limit(kMostHeader);
}

// Nothing asks for a switch of protocols: that would be the answer.
bool AnswerReader::Interim() const {
  return head().result_int() < 200 && head().result() != http::status::switching_protocols;
}

void AnswerReader::BeginBody(Buffers& buffers) {
  hold_ = Buffers::Hold(buffers);
  hold_until_ = Steady::now() + kHoldBack;
}

bool AnswerReader::TooLarge(bool held) const {
  const auto length = parser_->content_length();
  return !held || got_ >= kMostWhole || (length && *length > kMostWhole) ||
         (!length && Steady::now() >= hold_until_);
}

HttpResponse AnswerReader::Whole() {
  HttpResponse response(std::move(parser_->get().base()));
  response.body() = std::move(whole_);
  return response;
}

AnswerHead AnswerReader::PassOn() {
  AnswerHead answer;
  if (const auto type = head().find(http::field::content_type); type != head().end())
    answer.content_type.assign(type->value().data(), type->value().size());
  if (const auto length = parser_->content_length()) answer.length = *length;
  hold_.Release();
  return answer;
}

void AnswerReader::Clear() {
  parser_.reset();
  whole_ = {}, in_ = {};
  buffer_.shrink_to_fit();
}

}  // namespace load_balancer::proxy
