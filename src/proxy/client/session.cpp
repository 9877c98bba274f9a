// SPDX-License-Identifier: Apache-2.0
#include "client/session.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

#include "client/peer_state.h"
#include "client/replies.h"
#include "free_memory.h"

namespace load_balancer::proxy {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

constexpr std::chrono::milliseconds kCloseCheckInterval{25};  // between two checks for a close by the client
// A request that has waited for so long behind unread input, which may hide a close, is not sent any more.
constexpr std::chrono::milliseconds kMaxUnseenWait{75};
constexpr std::chrono::milliseconds kResponseReserve{
    150};  // responses are due this long before the deadline of a stop

// Sets the headers that frame a streamed body to what the reader has found. The client's own headers may be
// missing, as its Connection header can name them, or may be read in another way by the server.
void SetFraming(const boost::optional<std::uint64_t>& length, HttpRequest* message) {
  if (length) {
    message->content_length(length);
  } else {
    message->chunked(true);
  }
}

// Returns the key of the request's id if the request may have to run no more than once, otherwise 0.
RequestIds::Key IdKeyOf(const HttpRequest& message) {
  if (message.method() == http::verb::get) return 0;
  const auto id = message["Req-Id"];
  return RequestIds::KeyOf({id.data(), id.size()});
}

}  // namespace

Clients::Session::Session(Clients& owner, Tcp::socket socket)
    : owner_(&owner),
      stream_(std::move(socket)),
      close_check_timer_(stream_.get_executor()),
      reset_timer_(stream_.get_executor()),
      write_timer_(stream_.get_executor()) {}

void Clients::Session::Start(Steady::time_point arrived_at) {
  Error ignored;
  stream_.socket().set_option(Tcp::no_delay(true), ignored);
  reader_.OnAccepted(arrived_at);
  known_open_at_ = Steady::now();
  Read();
}

bool Clients::Session::IsIdle() {
  return IsReading() && !end_requested_ && reading_head_ && reader_.unparsed() == 0 && !HasUnreadBytes();
}

bool Clients::Session::HasUnreadBytes() {
  Error error;
  return stream_.socket().available(error) > 0;
}

void Clients::Session::Close() {
  if (state_ == State::kClosed) return;
  state_ = State::kClosed;
  stream_.close();
  close_check_timer_.cancel();
  reset_timer_.cancel();
  write_timer_.cancel();
  if (const auto source = std::exchange(response_source_, nullptr)) source->Abandon();
  if (const auto on_piece = std::exchange(on_piece_, nullptr)) on_piece(Piece::Broken());
  reservation_.Release();
  incoming_ = {};
  if (owner_) owner_->Remove(this);
}

// Whether an unfinished read has received bytes, or the socket has unread bytes, is known only after the read
// has completed. The shutdown therefore waits for the read.
void Clients::Session::End() {
  if (!IsReading() || end_requested_) return;
  end_requested_ = true;
  ending_since_ = Steady::now();
  read_in_progress_ ? CancelRead() : EndReading();
}

// Refuses a request that has not been handed on, as there is no memory for the rest of it.
void Clients::Session::RefuseForMemory() {
  owner_->events_.Note(EventKind::kRefusedForMemory);
  incoming_ = {};
  FreeMemory(buffered_body_);
  is_refusing_ = close_after_response_ = true;
  ending_since_ = Steady::now();
  Write(RejectedReply(Duration(0)));
}

// Shuts down the sending side. A client that has begun a request gets a response before, as its request would
// otherwise be lost once the client has sent the rest of it.
void Clients::Session::EndReading() {
  const bool has_begun = !reading_head_ || reader_.unparsed() > 0;
  owner_->events_.Note(has_begun ? EventKind::kRequestEvicted : EventKind::kEvicted);
  if (!has_begun || sending_continue_) return ShutSending();
  is_refusing_ = close_after_response_ = true;
  Write(RejectedReply(Duration(0)));
}

void Clients::Session::DetachFromOwner() {
  owner_ = nullptr;
  Close();
}

void Clients::Session::Read() {
  state_ = State::kReading;
  reading_head_ = true;
  idle_since_ = Steady::now();
  FreeMemory(buffered_body_);
  has_started_ = false;
  reader_.BeginRequest();
  input_has_waited_ = reader_.unparsed() > 0;
  if (read_in_progress_) return CancelRead();
  ContinueHead();
}

void Clients::Session::ContinueHead() { reader_.unparsed() > 0 ? ReadHead() : ReadMoreOfHead(); }

void Clients::Session::ReadMoreOfHead() {
  stream_.expires_at(reader_.HeadDeadline());
  ReadSome();
}

// Reads the next bytes of the current request within the time limit of the stream.
void Clients::Session::ReadSome() {
  const bool between_requests = reading_head_ && reader_.unparsed() == 0;
  if (between_requests) reader_.FreeMemory();
  if (IsReading() && !between_requests && !owner_->memory_.HasRoom(reader_.GrowthForRead()))
    return RefuseForMemory();
  const auto buffer = reader_.PrepareRead();
  if (buffer.size() == 0) return OnParseError(http::error::header_limit);
  ReadInto(buffer);
}

void Clients::Session::BeginRead() {
  read_in_progress_ = true;
  read_has_waited_ = !HasUnreadBytes();
  input_has_waited_ |= !read_has_waited_;
}

// Reads into `buffer` within the time limit of the stream.
void Clients::Session::ReadInto(const boost::asio::mutable_buffer& buffer) {
  BeginRead();
  stream_.async_read_some(
      buffer, [self = shared_from_this()](const Error& failed, std::size_t n) { self->OnRead(failed, n); });
}

// Continues to read while no input is needed, until the buffer is full, in order to notice when the client
// closes the connection. The close is seen only after all bytes that the client sent before it, for this
// request or later ones, have been read.
void Clients::Session::ReadAhead() {
  if (read_in_progress_ || client_closed_) return;
  if (!owner_->memory_.HasRoom(reader_.GrowthForRead())) return ScheduleCloseCheck();
  const auto buffer = reader_.PrepareRead();
  if (buffer.size() == 0) return ScheduleCloseCheck();
  BeginRead();
  stream_.socket().async_read_some(
      buffer, [self = shared_from_this()](const Error& failed, std::size_t n) { self->OnRead(failed, n); });
}

// Cancels the read in progress. The memory of the reader must stay valid until the event loop calls OnRead.
void Clients::Session::CancelRead() {
  Error ignored;
  stream_.socket().cancel(ignored);
}

// Called at the end of each read. A cancelled read may still have received bytes.
void Clients::Session::OnRead(const Error& failed, std::size_t n) {
  read_in_progress_ = false;
  if (read_has_waited_) reader_.NoteAllRead();
  if (state_ == State::kClosed) return;
  const bool cancelled = failed == asio::error::operation_aborted;
  const bool is_reset = failed == asio::error::connection_reset;
  if (is_reset || (failed && !cancelled && !HasAcknowledgedAll(stream_.socket().native_handle())))
    NoteUnreadResponse();
  if (state_ == State::kEnding) return failed && !cancelled ? Close() : DiscardInput();
  if (failed == boost::beast::error::timeout && !IsIdle()) owner_->events_.Note(EventKind::kClientTimeout);
  if (failed && !cancelled) return OnClientClosed();
  if (n > 0) {
    reader_.Received(n);
    owner_->MarkActive(this);
  }
  if (std::exchange(end_requested_, false) && n == 0 && !HasUnreadBytes()) return EndReading();
  if (IsReading()) return reading_head_ ? ContinueHead() : ReadBody();
  IsPending() && on_piece_ ? DeliverPiece() : ReadAhead();
}

// Polls whether the client has closed the connection. Needed while the buffer is full: a read would report
// the close only after all bytes that precede it.
void Clients::Session::ScheduleCloseCheck() {
  close_check_timer_.expires_after(kCloseCheckInterval);
  close_check_timer_.async_wait([self = shared_from_this()](const Error& cancelled) {
    if (cancelled || self->read_in_progress_ || !self->OwesResponse()) return;
    if (self->HasClientClosed()) return self->OnClientClosed();
    self->NoteUnseenClose();
    self->ReadAhead();
  });
}

bool Clients::Session::HasClientClosed() { return PeerHasClosed(stream_.socket().native_handle()); }

// Reports a request that is pending for long if its client's close may be hidden behind later requests. The
// body of a streamed request is checked when its last piece is read.
void Clients::Session::NoteUnseenClose() {
  if (!IsPending() || body_is_streaming_ || Steady::now() - submitted_at_ < kMaxUnseenWait) return;
  if (HasUnreadBytes()) owner_->handler_.OnClientUnknown(request_id_);
}

// Reports the last response as unread: its client had closed the connection before it came, or without
// reading it. The system of such a client answers with a reset.
void Clients::Session::NoteUnreadResponse() {
  if (owner_ && id_key_ != 0 && !IsPending()) owner_->handler_.OnResponseUnread(id_key_);
}

// Called when the client has closed its connection. The write of a complete response continues. A pending
// request or a streamed response is aborted, because the client would not read the response.
void Clients::Session::OnClientClosed() {
  if (!client_closed_ && response_source_) NoteUnreadResponse();
  client_closed_ = true;
  if (state_ != State::kWriting || response_source_) AbortRequest();
}

void Clients::Session::ReadHead() {
  Error failed;
  const bool is_complete = reader_.ParseHead(&failed);
  if (failed) return OnParseError(failed);
  is_complete ? OnHead() : ReadMoreOfHead();
}

void Clients::Session::OnHead() {
  reading_head_ = false;
  reader_.BeginBody();
  HttpRequest message(reader_.TakeHead());
  version_ = message.version();
  close_after_response_ = !reader_.keep_alive() || version_ < 11;
  const bool has_body = !reader_.IsDone();
  if (message.method() == http::verb::get && message.target() == "/ready") {
    close_after_response_ |= has_body;
    const bool ready = owner_->handler_.Ready();
    return Write(ready ? PlainReply(http::status::ok, "ready\n")
                       : PlainReply(http::status::service_unavailable, "not ready\n"));
  }
  if (!owner_->memory_.HasRoomForRequest()) return RefuseForMemory();
  incoming_ = {};
  const bool expects_continue = boost::beast::iequals(message[http::field::expect], "100-continue");
  if (const auto error = ParseRequest(std::move(message), owner_->handler_.CurrentConfig(), &incoming_)) {
    // The start of the next request can only be found by reading the body of this one.
    close_after_response_ |= has_body || error->status == http::status::not_implemented;
    return Write(PlainReply(error->status, error->text + '\n'));
  }
  Error ignored;
  const auto peer = stream_.socket().remote_endpoint(ignored);
  incoming_.is_overflow = is_overflow_ =
      owner_->handler_.TakeOverflowMark(&incoming_.message, peer.address());
  incoming_.reservation = MemoryBudget::Reservation(owner_->memory_);
  if (has_body && expects_continue && reader_.unparsed() == 0) return SendContinue();
  ReadBody();
}

void Clients::Session::SendContinue() {
  const auto go_on = std::make_shared<http::response<http::empty_body>>(http::status::continue_, 11);
  sending_continue_ = true;
  http::async_write(stream_, *go_on, [self = shared_from_this(), go_on](const Error& failed, std::size_t) {
    self->sending_continue_ = false;
    if (!self->IsReading()) return;
    if (failed) return self->Close();
    self->ReadMoreOfBody();
  });
}

void Clients::Session::ReadBody() {
  Error failed;
  const std::string piece = reader_.DecodeBody(owner_->memory_.piece_bytes(), &failed);
  if (failed) return OnParseError(failed);
  const auto length = reader_.content_length();
  const bool is_buffered_at_once = length && *length <= kMaxBufferedMessageBytes;
  bool fits = true;
  if (!is_buffered_at_once) {
    fits = incoming_.reservation.Grow(piece.size());
  } else if (buffered_body_.empty() && !piece.empty()) {
    fits = incoming_.reservation.Grow(*length);
    if (fits) buffered_body_.reserve(*length);
  }
  buffered_body_ += piece;
  if (reader_.IsDone()) return OnCompleteBody();
  if (!buffered_body_.empty() && (!fits || buffered_body_.size() >= kMaxBufferedMessageBytes ||
                                  (length && *length > kMaxBufferedMessageBytes)))
    return OnLargeBody();
  reader_.unparsed() > 0 && !piece.empty() ? ReadBody() : ReadMoreOfBody();
}

void Clients::Session::ReadMoreOfBody() {
  stream_.expires_at(reader_.BodyDeadline());
  ReadSome();
}

void Clients::Session::OnCompleteBody() {
  if (incoming_.message.method() == http::verb::get && !buffered_body_.empty())
    return Write(PlainReply(http::status::bad_request, "a body where none belongs\n"));
  incoming_.message.body() = std::move(buffered_body_);
  incoming_.message.prepare_payload();
  Submit();
}

// Streams the body. Until a piece is requested, the bytes received so far stay in the buffer, and reading
// stops when the buffer is full.
void Clients::Session::OnLargeBody() {
  if (incoming_.message.method() == http::verb::get) {
    close_after_response_ = true;
    return Write(PlainReply(http::status::bad_request, "a body where none belongs\n"));
  }
  body_is_streaming_ = true;
  SetFraming(reader_.content_length(), &incoming_.message);
  incoming_.reservation.Release();
  incoming_.body = shared_from_this();
  Submit();
}

void Clients::Session::Submit() {
  stream_.expires_never();
  client_timeout_ = incoming_.client_timeout;
  id_key_ = IdKeyOf(incoming_.message);
  incoming_.due = ResponseDeadline();
  reader_.PauseBodyTimer();
  // Where the request has waited in the socket, its client may have left since.
  if (input_has_waited_ && HasClientClosed()) return OnClientClosed();
  state_ = State::kPending;
  submitted_at_ = Steady::now();
  // The response may be written within OnRequest, before the request's id is known here.
  const RequestId request = owner_->handler_.OnRequest(std::move(incoming_), shared_from_this());
  request_id_ = request;
  if (!IsPending() || on_piece_) return;
  if (!read_in_progress_) reader_.FreeUnusedMemory();
  ReadAhead();
}

// Returns when the response is due if the client has sent the whole request. The time of the client counts
// from its last byte, which may have been in the socket for long when it is read. During a stop, the response
// is due at the latest kResponseReserve before the deadline of the stop.
Steady::time_point Clients::Session::ResponseDeadline() const {
  const auto due = reader_.EarliestEnd() + std::chrono::duration_cast<Steady::duration>(client_timeout_);
  return owner_->stopping_ ? std::min(due, owner_->stop_deadline_ - kResponseReserve) : due;
}

void Clients::Session::Next(OnPiece on_piece) {
  if (!IsPending() || !body_is_streaming_) return on_piece(Piece::Broken());
  on_piece_ = std::move(on_piece);
  has_started_ = true;
  reader_.ResumeBodyTimer();
  if (read_in_progress_) return CancelRead();
  DeliverPiece();
}

void Clients::Session::DeliverPiece() {
  Piece piece;
  Error failed;
  piece.bytes = buffered_body_.empty() ? reader_.DecodeBody(owner_->memory_.piece_bytes(), &failed)
                                       : std::exchange(buffered_body_, {});
  if (failed) return OnParseError(failed);
  piece.last = reader_.IsDone();
  if (piece.bytes.empty() && !piece.last) return ReadMoreOfBody();
  if (piece.last && input_has_waited_ && HasClientClosed()) return AbortRequest();
  reader_.PauseBodyTimer();
  const auto on_piece = std::exchange(on_piece_, nullptr);
  piece.due = ResponseDeadline();
  if (piece.last) {
    body_is_streaming_ = false;
    stream_.expires_never();
    owner_->handler_.OnUploaded(request_id_, piece.due);
  }
  if (on_piece) on_piece(std::move(piece));
  if (IsPending() && !on_piece_) ReadAhead();
}

// Closes the connection of a client that has disconnected or was too slow.
void Clients::Session::AbortRequest() {
  if (IsPending()) {
    owner_->events_.Note(EventKind::kClientLeft);
    owner_->handler_.OnClientGone(request_id_);
  }
  Close();
}

void Clients::Session::OnParseError(const Error& failed) {
  if (IsPending()) {  // the body was being streamed
    owner_->handler_.OnClientGone(request_id_);
    if (const auto on_piece = std::exchange(on_piece_, nullptr)) on_piece(Piece::Broken());
  }
  owner_->events_.Note(EventKind::kMalformed);
  close_after_response_ = true;
  Write(ParseErrorReply(failed));
}

}  // namespace load_balancer::proxy
