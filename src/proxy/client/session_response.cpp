// SPDX-License-Identifier: Apache-2.0
//
// The second half of a session: it writes the response and ends the connection. The first half, which reads
// the request, is in session.cpp.
#include <chrono>
#include <utility>

#include "client/peer_state.h"
#include "client/replies.h"
#include "client/session.h"
#include "overflow/incoming.h"

namespace load_balancer::proxy {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

constexpr std::chrono::seconds kWriteTimeout{10};  // for writing a response or a piece of a response
// A close by the client may be hidden behind unread input for so long until it is looked for.
constexpr std::chrono::milliseconds kMaxUnseenClose{50};
// For the reset that answers a response on a connection that its client has closed.
constexpr std::chrono::milliseconds kResetTime{5}, kResetPoll{1};
constexpr std::chrono::seconds kCloseTimeout{2};  // for the client to close its side

}  // namespace

void Clients::Session::Served(HttpResponse response, MemoryBudget::Reservation reservation) {
  if (!IsPending()) return;
  HttpResponse reply{http::status::ok, 11};
  if (const auto type = response.find(http::field::content_type); type != response.end())
    reply.set(http::field::content_type, type->value());
  reply.body() = std::move(response.body());
  reservation_ = std::move(reservation);
  Write(std::move(reply));
}

void Clients::Session::Rejected(Duration retry_after) {
  if (IsPending()) Write(RejectedReply(retry_after));
}

void Clients::Session::OverBudget(Duration retry_after) {
  if (IsPending()) Write(OverBudgetReply(retry_after));
}

void Clients::Session::Failed() {
  if (IsPending()) Write(PlainReply(http::status::bad_gateway, "failed\n"));
}

void Clients::Session::Write(HttpResponse response) {
  writer_.head() = ResponseWriter::Response(std::move(response.base()));
  writer_.head().content_length(response.body().size());
  BeginResponse();
  WriteResponsePiece(std::move(response.body()), true);
}

void Clients::Session::StreamStarted(ResponseHead head) {
  if (!IsPending()) return head.body->Abandon();
  ResponseWriter::Response& response = writer_.head();
  response = ResponseWriter::Response(http::status::ok, 11);
  if (!head.content_type.empty()) response.set(http::field::content_type, head.content_type);
  ends_with_connection_ = !head.length && version_ < 11;
  if (head.length) {
    response.content_length(*head.length);
  } else if (!ends_with_connection_) {
    response.chunked(true);
  }
  close_after_response_ |= ends_with_connection_;
  response_source_ = std::move(head.body);
  BeginResponse();
  PullResponse();
}

void Clients::Session::BeginResponse() {
  state_ = State::kWriting;
  on_piece_ = nullptr;
  close_after_response_ |= owner_->draining_;
  close_after_response_ |=
      std::exchange(body_is_streaming_, false);  // the rest of an incomplete request is not read
  writer_.head().keep_alive(!close_after_response_);
  if (std::exchange(is_overflow_, false))
    if (const std::string estimate = owner_->handler_.EstimateText(); !estimate.empty())
      writer_.head().set(std::string(overflow::kEstimateHeader), estimate);
  writer_.Begin();
  if (read_in_progress_ && close_after_response_)
    CancelRead();  // the read may be waiting for the rest of the body
  ReadAhead();
}

void Clients::Session::WriteResponsePiece(std::string piece, bool last) {
  stream_.expires_never();
  WatchWrite();
  writer_.Write(stream_, std::move(piece), last, [self = shared_from_this(), last](const Error& failed) {
    if (self->state_ != State::kWriting) return;
    self->write_timer_.cancel();
    if (failed) {
      self->NoteUnreadResponse();
      return self->Close();
    }
    last ? self->OnResponseWritten() : self->PullResponse();
  });
}

// Closes the connection of a client that reads nothing of its response for kWriteTimeout. What it has read is
// known from what its system has acknowledged, as a write ends only once the buffers of the system have much
// room.
void Clients::Session::WatchWrite() {
  const auto acknowledged = AcknowledgedBytes(stream_.socket().native_handle());
  write_timer_.expires_after(kWriteTimeout);
  write_timer_.async_wait([self = shared_from_this(), acknowledged](const Error& cancelled) {
    if (cancelled || self->state_ != State::kWriting) return;
    if (AcknowledgedBytes(self->stream_.socket().native_handle()) != acknowledged) return self->WatchWrite();
    self->owner_->events_.Note(EventKind::kWriteStalled);
    self->Close();
  });
}

void Clients::Session::PullResponse() {
  stream_.expires_never();  // the source has its own time limits
  response_source_->Next([weak = weak_from_this()](Piece piece) {
    const auto self = weak.lock();
    if (!self || self->state_ != State::kWriting) return;
    if (piece.failed) return self->AbortResponse();
    if (piece.last) self->response_source_ = nullptr;
    self->WriteResponsePiece(std::move(piece.bytes), piece.last);
  });
}

// Ends a response that cannot be completed, so that the client notices that it is incomplete. If the end of
// the connection marks the end of the body, the connection is reset. Otherwise it must not be reset, because
// a reset could discard earlier responses that the client has not read.
void Clients::Session::AbortResponse() {
  response_source_ = nullptr;
  if (!ends_with_connection_) return ShutSending();
  Error ignored;
  stream_.socket().set_option(asio::socket_base::linger(true, 0), ignored);
  Close();
}

void Clients::Session::OnResponseWritten() {
  writer_.Clear();
  reservation_.Release();
  if (close_after_response_) return ShutSending();
  if (client_closed_) return Close();
  has_answered_ = true;
  response_written_at_ = Steady::now();
  const bool may_hide_close = reader_.unparsed() > 0 && !read_in_progress_ && HasUnreadBytes();
  if (!may_hide_close) known_open_at_ = response_written_at_;
  response_written_at_ - known_open_at_ > kMaxUnseenClose ? AwaitReset() : ReadNextRequest();
}

// Waits a moment before the next request is taken from the buffer. The close of a client may be hidden behind
// unread input, but the system of a client that has closed answers the response with a reset.
void Clients::Session::AwaitReset() {
  const auto waited = Steady::now() - response_written_at_;
  if (HasClientClosed()) {
    NoteUnreadResponse();
    return Close();
  }
  if (waited >= kResetTime || HasAcknowledgedAll(stream_.socket().native_handle())) {
    known_open_at_ = response_written_at_;
    return ReadNextRequest();
  }
  reset_timer_.expires_after(kResetPoll);
  reset_timer_.async_wait([self = shared_from_this()](const Error& cancelled) {
    if (!cancelled && self->state_ == State::kWriting) self->AwaitReset();
  });
}

void Clients::Session::ReadNextRequest() {
  Read();
  if (owner_ && owner_->waiting_for_capacity_) owner_->Accept();
}

// Shuts down the sending side instead of closing the socket. A close with unread input would send a reset,
// which can discard a response that the client has not read.
void Clients::Session::ShutSending() {
  state_ = State::kEnding;
  ending_since_ = Steady::now();
  Error ignored;
  stream_.socket().shutdown(Tcp::socket::shutdown_send, ignored);
  DiscardInput();
}

void Clients::Session::DiscardInput() {
  if (read_in_progress_) return CancelRead();
  // The timeout is not extended by input, so that a client cannot keep the connection open by sending.
  stream_.expires_at(ending_since_ + kCloseTimeout);
  ReadInto(reader_.Discard());
}

}  // namespace load_balancer::proxy
