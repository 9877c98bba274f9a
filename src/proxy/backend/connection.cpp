// SPDX-License-Identifier: Apache-2.0
#include "backend/connection.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

#include "base/log.h"
#include "proxy/failures.h"
#include "socket_buffers.h"

namespace load_balancer::proxy {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr std::chrono::seconds kPieceTimeout{10};  // for a piece of a body to be written or received
// A server that has sent a part of its response within this time is still writing.
constexpr std::chrono::milliseconds kRecentProgress{500};
constexpr const char* kTimeLeftHeader = "Req-Deadline-Ms";

Steady::duration ToSteady(Duration d) { return std::chrono::ceil<Steady::duration>(d); }

// Returns the outcome of a response. Any intermediary may send a 503 or 504, so a response with this status
// proves that the request did not run only if it has the header Srv-Declined. If the server is another proxy
// (`from_proxy`), a 429 or 503 is sufficient proof.
Outcome OutcomeOf(const ResponseReader::Head& response, bool from_proxy) {
  const unsigned status = response.result_int();
  if (status == 200) return Outcome::kOk;
  if (from_proxy && (status == 503 || status == 429)) return Outcome::kOverloaded;
  if ((status == 503 || status == 504) && response["Srv-Declined"] == "1") return Outcome::kOverloaded;
  return Outcome::kError;
}

}  // namespace

Backends::Connection::Connection(Backends& owner, ServerId server, std::uint64_t generation)
    : owner_(&owner), server_(server), generation_(generation), socket_(owner.io_), timer_(owner.io_) {}

void Backends::Connection::Assign(AttemptId attempt, OutgoingRequest request, Duration timeout,
                                  AttemptEvents events) {
  ++use_number_;
  attempt_ = attempt;
  request_ = std::move(request);
  events_ = std::move(events);
  const auto now = Steady::now();
  deadline_ = write_deadline_ = now + ToSteady(timeout);
  if (request_.write_timeout > Duration(0))
    write_deadline_ = std::min(deadline_, now + ToSteady(request_.write_timeout));
  phase_ = Phase::kConnecting;
  awaiting_head_ = read_in_progress_ = streaming_ = response_complete_ = false;
}

void Backends::Connection::Open(const Tcp::endpoint& address, Duration connect_timeout) {
  Error error;
  socket_.open(address.protocol(), error);
  if (!error) LimitSocketBuffers(socket_);
  if (const auto& local_address = owner_->limits_.local_address; local_address && !error)
    socket_.bind(*local_address, error);
  if (!error) socket_.set_option(Tcp::no_delay(true), error);
  if (!error) socket_.non_blocking(true, error);
  if (error) return FinishSoon(Outcome::kNotSent);  // for example, no descriptor is left
  SetTimer(std::min(write_deadline_, Steady::now() + ToSteady(connect_timeout)));
  socket_.async_connect(address, [self = shared_from_this()](const Error& failed) {
    if (!self->HasAttempt()) return;
    if (failed) return self->Finish(Outcome::kConnectFailed);
    self->Write();
  });
}

void Backends::Connection::Reuse() {
  Error ignored;
  socket_.cancel(ignored);  // cancels the wait of WatchIdle
  ClearTimer();
  Write();
}

void Backends::Connection::FinishSoon(Outcome outcome) {
  asio::post(owner_->io_, [self = shared_from_this(), outcome] { self->Finish(outcome); });
}

void Backends::Connection::Finish(Outcome outcome, HttpResponse response) {
  if (!HasAttempt()) return;
  const auto self = shared_from_this();
  const AttemptEvents events = std::exchange(events_, {});
  const OnPiece on_piece = std::exchange(on_piece_, nullptr);
  MemoryBudget::Reservation reservation = reader_.TakeReservation();
  const bool reusable = outcome != Outcome::kCancelled && phase_ == Phase::kReading && IsWritten() &&
                        reader_.IsConnectionReusable();
  if (owner_ && phase_ == Phase::kReading && reader_.HasExcessBytes()) owner_->OnUnexpectedBytes(server_);
  headroom_.Release();
  const auto body = std::exchange(request_.body, nullptr);
  // The connection is closed before the end of the attempt is reported, so that the next attempt cannot count
  // it as an open connection. A write or read in progress keeps the memory that it uses until it has ended.
  if (reusable && owner_) {
    request_ = {};
    writer_.Clear();
    reader_.Clear();
    owner_->KeepIdle(self);
  } else {
    Close();
  }
  if (body) body->Abandon();
  if (on_piece) on_piece(Piece::Broken());
  events.done({outcome, std::move(response), std::move(reservation)});
}

bool Backends::Connection::IsReusable() {
  Error error;
  char byte;
  socket_.receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, error);
  if (!error && owner_) owner_->OnUnexpectedBytes(server_);
  return error == asio::error::would_block || error == asio::error::try_again;
}

void Backends::Connection::WatchIdle(Duration max_idle) {
  idle_since_ = Steady::now();
  SetTimer(idle_since_ + ToSteady(max_idle));
  socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this(), use = use_number_](const Error&) {
    if (use != self->use_number_) return;
    self->IsReusable();  // reports unexpected bytes to the owner
    self->Close();
  });
}

void Backends::Connection::Close() {
  if (closed_) return;
  closed_ = true;
  Error ignored;
  socket_.close(ignored);
  ClearTimer();
  if (owner_) owner_->Remove(this);
}

void Backends::Connection::DetachFromOwner() {
  owner_ = nullptr;
  events_ = {};
  on_piece_ = nullptr;
  headroom_.Release();
  reader_.TakeReservation();
  Close();
}

// The handler of a timer that has already expired may be queued in the event loop, where it cannot be
// cancelled. Such a handler does nothing, because the timer number has changed.
void Backends::Connection::ClearTimer() {
  ++timer_number_;
  timer_.cancel();
}

void Backends::Connection::SetTimer(Steady::time_point at) {
  timer_.expires_at(at);
  timer_.async_wait([self = shared_from_this(), set = ++timer_number_](const Error& cancelled) {
    if (cancelled || self->closed_ || set != self->timer_number_) return;
    self->OnTimer();
  });
}

void Backends::Connection::OnTimer() {
  if (!HasAttempt()) return Close();  // idle for too long
  if (IsBuffering() || IsStillReceiving()) return StartStreaming();
  const auto now = Steady::now();
  const bool is_sending = phase_ == Phase::kSending;
  // The last byte was written in time, but the handler of its write has not been called yet.
  if (is_sending && IsWritten() && now < deadline_) return SetTimer(deadline_);
  // The limit of the write says nothing about the server.
  if (!IsWritten() && write_deadline_ < deadline_ && now >= write_deadline_) return Finish(Outcome::kNotSent);
  FinishWithoutResponse(Outcome::kTimeout);
}

// Returns whether part of a response of unknown length is buffered.
bool Backends::Connection::IsBuffering() const {
  return phase_ == Phase::kReading && !streaming_ && reader_.body_bytes() > 0 && outcome_ == Outcome::kOk &&
         reader_.HasUnknownLength() && Steady::now() < deadline_;
}

// Returns whether the server is writing a response that can still arrive in time. Another attempt would only
// begin anew.
bool Backends::Connection::IsStillReceiving() const {
  const auto now = Steady::now();
  return phase_ == Phase::kReading && !streaming_ && reader_.body_bytes() > 0 && outcome_ == Outcome::kOk &&
         now < request_.due && now - last_piece_at_ <= kRecentProgress;
}

// Returns when a streamed response has stalled for too long: not before it is due.
Steady::time_point Backends::Connection::StreamDeadline() const {
  return std::max({Steady::now() + kPieceTimeout, request_.due, deadline_});
}

// Finishes an attempt that got no response. The request cannot have run unless its last byte was written,
// even if the handler of that write has not been called yet.
void Backends::Connection::FinishWithoutResponse(Outcome outcome) {
  Finish(IsWritten() ? outcome : Outcome::kConnectFailed);
}

// Returns when a piece of the request's body, or an early response to it, is overdue. The client may have
// sent the rest of the body, so the deadline of the request applies as well.
Steady::time_point Backends::Connection::PieceDeadline() const {
  return std::min(deadline_, Steady::now() + kPieceTimeout);
}

// ---- writing ------------------------------------------------------------------------------------------
auto Backends::Connection::OnWritten(bool last) {
  return [self = shared_from_this(), use = use_number_, last](const Error& failed) {
    if (use != self->use_number_ || self->phase_ != Phase::kSending || !self->HasAttempt()) return;
    if (failed) return self->OnWriteFailed();
    if (!last) return self->WriteNext();
    self->writer_.DropPiece();
    self->phase_ = Phase::kReading;
    self->SetTimer(self->deadline_);
    if (!self->awaiting_head_) self->Read();
  };
}

// Waits a while for a response that is already being read, because the response may state why the server
// stopped reading the request.
void Backends::Connection::OnWriteFailed() {
  if (!awaiting_head_) return FinishWithoutResponse(Outcome::kReset);
  phase_ = Phase::kReading;
  SetTimer(PieceDeadline());
}

void Backends::Connection::Write() {
  // Connecting may have taken some time, so the remaining time is computed when the request is written.
  const auto left = std::chrono::floor<std::chrono::milliseconds>(deadline_ - Steady::now());
  if (left.count() <= 0 || Steady::now() >= write_deadline_) return FinishSoon(Outcome::kNotSent);
  request_.head.set(kTimeLeftHeader, std::to_string(left.count()));
  phase_ = Phase::kSending;
  writer_.Begin(std::move(request_.head));
  if (request_.body) {
    WatchForEarlyAnswer();
    return WriteNext();
  }
  SetTimer(write_deadline_);
  writer_.Write(socket_, *request_.complete_body, true, OnWritten(true));
}

// A server may respond before it has read the complete request, and then does not need the rest. The proxy
// continues to send the request until it has received the head of the final response: after an interim
// response, the server may still wait for the rest of the request.
void Backends::Connection::WatchForEarlyAnswer() {
  socket_.async_wait(
      Tcp::socket::wait_read, [self = shared_from_this(), use = use_number_](const Error& failed) {
        if (failed || use != self->use_number_ || self->phase_ != Phase::kSending || !self->HasAttempt())
          return;
        self->Read();
      });
}

void Backends::Connection::WriteNext() {
  ClearTimer();  // the client that sends the body has its own time limit
  request_.body->Next([weak = weak_from_this(), use = use_number_](Piece piece) {
    const auto self = weak.lock();
    if (self && use == self->use_number_ && self->phase_ == Phase::kSending && self->HasAttempt())
      self->WritePiece(std::move(piece));
  });
}

void Backends::Connection::WritePiece(Piece piece) {
  if (piece.failed)
    return FinishSoon(Outcome::kCancelled);  // may run within Send, which must not call `done`
  deadline_ = write_deadline_ = piece.due;
  if (Steady::now() >= deadline_) return FinishSoon(Outcome::kNotSent);
  SetTimer(PieceDeadline());
  writer_.WritePiece(socket_, std::move(piece.bytes), piece.last, OnWritten(piece.last));
}

// ---- reading ------------------------------------------------------------------------------------------
void Backends::Connection::Read() {
  awaiting_head_ = true;
  reader_.Begin();
  const auto self = shared_from_this();
  const auto has_room = [self](std::size_t bytes) {
    return self->owner_ && self->owner_->memory_.HasRoom(bytes);
  };
  reader_.ReadHead(socket_, has_room, [self, use = use_number_](const Error& failed) {
    if (use != self->use_number_ || !self->HasAttempt()) return;
    if (failed) return self->FinishWithoutResponse(Outcome::kReset);
    self->OnHead();
  });
}

void Backends::Connection::OnHead() {
  if (reader_.IsInterim()) return Read();
  awaiting_head_ = false;
  if (std::exchange(phase_, Phase::kReading) == Phase::kSending)
    SetTimer(IsWritten() ? deadline_ : PieceDeadline());
  const Limits& limits = owner_->limits_;
  outcome_ = OutcomeOf(reader_.head(), limits.servers_are_proxies);
  if (limits.on_head) limits.on_head(reader_.head());
  reader_.BeginBody(owner_->memory_);
  ReadPiece();
}

void Backends::Connection::ReadPiece() {
  if (reader_.IsDone()) return OnPieceRead({}, 0);
  read_in_progress_ = true;
  if (streaming_) SetTimer(StreamDeadline());
  if (IsBuffering()) SetTimer(std::min(deadline_, reader_.buffer_until()));
  reader_.ReadPiece(socket_, owner_->memory_.piece_bytes(),
                    [self = shared_from_this(), use = use_number_](const Error& failed) {
                      if (use != self->use_number_ || !self->HasAttempt()) return;
                      self->read_in_progress_ = false;
                      const bool is_too_large = !failed && self->reader_.HasTooManyFields();
                      self->OnPieceRead(
                          is_too_large ? Error(boost::beast::http::error::header_limit) : failed,
                          self->reader_.LastPieceBytes());
                    });
}

void Backends::Connection::OnPieceRead(const Error& failed, std::size_t n) {
  if (streaming_) ClearTimer();  // the reader of the response has its own time limit
  if (failed) {
    if (streaming_)
      log::Warn(
          "backends",
          Failure(kAnswerBroken, "server " + std::to_string(server_) + " aborted a response after " +
                                     std::to_string(reader_.body_bytes()) + " bytes: " + failed.message()));
    return FinishWithoutResponse(Outcome::kReset);
  }
  reader_.CountBodyBytes(n);
  last_piece_at_ = Steady::now();
  response_complete_ = reader_.IsDone();
  if (outcome_ != Outcome::kOk) return DiscardBody();
  if (streaming_) {
    reader_.AppendPiece(n);
    return on_piece_ ? DeliverPiece() : void();
  }
  const bool reserved = reader_.AppendBuffered(n);
  if (response_complete_) return Finish(Outcome::kOk, reader_.TakeComplete());
  reader_.MustStream(reserved) && reader_.body_bytes() > 0 ? StartStreaming() : ReadPiece();
}

// Reads and drops the body of a response that is not passed to the client.
void Backends::Connection::DiscardBody() {
  if (response_complete_ || reader_.body_bytes() > kMaxBufferedMessageBytes) return Finish(outcome_);
  ReadPiece();
}

// Passes the head to the client and streams the body. After this the response cannot be replaced by that of
// another attempt.
void Backends::Connection::StartStreaming() {
  request_.complete_body.reset();
  headroom_.ShrinkTo(owner_->memory_.StreamBytes());
  ResponseHead head = reader_.StartStreaming();
  head.body = shared_from_this();
  streaming_ = true;
  ClearTimer();
  if (read_in_progress_) SetTimer(StreamDeadline());
  events_.stream_started(std::move(head));
}

void Backends::Connection::Next(OnPiece on_piece) {
  if (!HasAttempt()) return on_piece(Piece::Broken());
  on_piece_ = std::move(on_piece);
  if (reader_.HasUndelivered() || response_complete_) return DeliverPiece();
  if (!read_in_progress_) ReadPiece();
}

void Backends::Connection::DeliverPiece() {
  Piece piece;
  piece.bytes = reader_.TakeBuffered();
  piece.last = response_complete_;
  const auto on_piece = std::exchange(on_piece_, nullptr);
  const auto self = shared_from_this();
  on_piece(std::move(piece));
  if (response_complete_) Finish(Outcome::kOk);
}

}  // namespace load_balancer::proxy
