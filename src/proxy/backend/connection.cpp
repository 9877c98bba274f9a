// SPDX-License-Identifier: Apache-2.0
#include "backend/connection.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

#include "base/log.h"
#include "proxy/failures.h"

namespace load_balancer::proxy {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr std::chrono::seconds kStall{10};  // for a piece of a body to be taken, or to come
constexpr const char* kTimeLeft = "Req-Deadline-Ms";

Steady::duration ToSteady(Duration d) { return std::chrono::ceil<Steady::duration>(d); }

// 503 and 504 alone may come from anything on the way; only the backend's own word proves that it never ran.
Outcome OutcomeOf(const AnswerReader::Head& response, bool of_proxy) {
  const unsigned status = response.result_int();
  if (status == 200) return Outcome::kOk;
  if (of_proxy && (status == 503 || status == 429)) return Outcome::kOverloaded;
  if ((status == 503 || status == 504) && response["Srv-Declined"] == "1") return Outcome::kOverloaded;
  return Outcome::kError;
}

}  // namespace

Backends::Connection::Connection(Backends& owner, ServerId server, std::uint64_t generation)
    : owner_(&owner), server_(server), generation_(generation), socket_(owner.io_), timer_(owner.io_) {}

void Backends::Connection::Assign(AttemptId attempt, Outgoing request, Duration timeout,
                                  AttemptEvents events) {
  ++use_;
  attempt_ = attempt;
  request_ = std::move(request);
  events_ = std::move(events);
  deadline_ = Steady::now() + ToSteady(timeout);
  phase_ = Phase::kConnecting;
  awaiting_head_ = reading_ = begun_ = ended_ = false;
}

void Backends::Connection::Open(const Tcp::endpoint& address, Duration connect_timeout) {
  Error error;
  socket_.open(address.protocol(), error);
  if (const auto& local = owner_->limits_.local; local && !error) socket_.bind(*local, error);
  if (!error) socket_.set_option(Tcp::no_delay(true), error);
  if (!error) socket_.non_blocking(true, error);
  if (error) return FinishSoon(Outcome::kNotSent);  // out of descriptors
  SetTimer(std::min(deadline_, Steady::now() + ToSteady(connect_timeout)));
  socket_.async_connect(address, [self = shared_from_this()](const Error& failed) {
    if (!self->Out()) return;
    if (failed) return self->Finish(Outcome::kConnectFailed);
    self->Write();
  });
}

void Backends::Connection::Reuse() {
  Error ignored;
  socket_.cancel(ignored);  // the watch for its end
  ClearTimer();
  Write();
}

void Backends::Connection::FinishSoon(Outcome outcome) {
  asio::post(owner_->io_, [self = shared_from_this(), outcome] { self->Finish(outcome); });
}

void Backends::Connection::Finish(Outcome outcome, HttpResponse response) {
  if (!Out()) return;
  const auto self = shared_from_this();
  const AttemptEvents events = std::exchange(events_, {});
  const OnPiece on_piece = std::exchange(on_piece_, nullptr);
  Buffers::Hold hold = reader_.TakeHold();
  const bool reusable =
      outcome != Outcome::kCancelled && phase_ == Phase::kReading && Written() && reader_.Reusable();
  if (owner_ && phase_ == Phase::kReading && reader_.Exceeded()) owner_->OnUnasked(server_);
  const auto body = std::exchange(request_.body, nullptr);
  // Closed before anybody hears of the end: the next attempt must not find this one on an open connection.
  // What a write or read under way still uses ends with it.
  if (reusable && owner_) {
    request_ = {};
    writer_.Clear();
    reader_.Clear();
    owner_->Keep(self);
  } else {
    Close();
  }
  if (body) body->Abandon();
  if (on_piece) on_piece(Piece::Broken());
  events.done({outcome, std::move(response), std::move(hold)});
}

bool Backends::Connection::Alive() {
  Error error;
  char byte;
  socket_.receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, error);
  if (!error && owner_) owner_->OnUnasked(server_);
  return error == asio::error::would_block || error == asio::error::try_again;
}

void Backends::Connection::WatchIdle(Duration at_most) {
  idle_since_ = Steady::now();
  SetTimer(idle_since_ + ToSteady(at_most));
  socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this(), use = use_](const Error&) {
    if (use != self->use_) return;
    self->Alive();  // tells the owner if it is an answer that nobody asked for
    self->Close();
  });
}

void Backends::Connection::Close() {
  if (closed_) return;
  closed_ = true;
  Error ignored;
  socket_.close(ignored);
  ClearTimer();
  if (owner_) owner_->Drop(this);
}

void Backends::Connection::Orphan() {
  owner_ = nullptr;
  events_ = {};
  on_piece_ = nullptr;
  reader_.TakeHold();
  Close();
}

// One that has run out while something else came first may be waiting for its turn: it is as void as one
// that was cancelled in time.
void Backends::Connection::ClearTimer() {
  ++timer_set_;
  timer_.cancel();
}

void Backends::Connection::SetTimer(Steady::time_point at) {
  timer_.expires_at(at);
  timer_.async_wait([self = shared_from_this(), set = ++timer_set_](const Error& cancelled) {
    if (cancelled || self->closed_ || set != self->timer_set_) return;
    if (!self->Out()) return self->Close();  // idle for too long
    if (self->HeldBack()) return self->Begin();
    self->FinishUnanswered(Outcome::kTimeout);
  });
}

// Some of an answer has come that does not tell its length.
bool Backends::Connection::HeldBack() const {
  return phase_ == Phase::kReading && !begun_ && reader_.got() > 0 && outcome_ == Outcome::kOk &&
         reader_.Unmeasured() && Steady::now() < deadline_;
}

// Nothing has run unless the last byte was written, whether or not the event loop has heard of that yet.
void Backends::Connection::FinishUnanswered(Outcome outcome) {
  Finish(Written() ? outcome : Outcome::kConnectFailed);
}

// ---- writing ------------------------------------------------------------------------------------------
auto Backends::Connection::OnWritten(bool last) {
  return [self = shared_from_this(), use = use_, last](const Error& failed) {
    if (use != self->use_ || self->phase_ != Phase::kSending || !self->Out()) return;
    if (failed) return self->OnUnwritable();
    if (!last) return self->WriteNext();
    self->writer_.DropPiece();
    self->phase_ = Phase::kReading;
    self->SetTimer(self->deadline_);
    if (!self->awaiting_head_) self->Read();
  };
}

// An answer that is already on its way may say why.
void Backends::Connection::OnUnwritable() {
  if (!awaiting_head_) return FinishUnanswered(Outcome::kReset);
  phase_ = Phase::kReading;
  SetTimer(Steady::now() + kStall);
}

void Backends::Connection::Write() {
  // A connection may have come up late: what was left as the attempt was made is no longer so.
  const auto left = std::chrono::floor<std::chrono::milliseconds>(deadline_ - Steady::now());
  if (left.count() <= 0) return FinishSoon(Outcome::kNotSent);
  request_.head.set(kTimeLeft, std::to_string(left.count()));
  phase_ = Phase::kSending;
  writer_.Begin(std::move(request_.head));
  if (request_.body) {
    WatchForEarlyAnswer();
    return WriteNext();
  }
  SetTimer(deadline_);
  writer_.Write(socket_, *request_.whole, true, OnWritten(true));
}

// A backend may answer before it has read all; the rest is then of no use to it. Until the head of that
// answer is in, the request goes on: there may be interim ones before it, for which a backend that waits for
// the rest does not stop.
void Backends::Connection::WatchForEarlyAnswer() {
  socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this(), use = use_](const Error& failed) {
    if (failed || use != self->use_ || self->phase_ != Phase::kSending || !self->Out()) return;
    self->Read();
  });
}

void Backends::Connection::WriteNext() {
  ClearTimer();  // whoever sends has a limit of its own
  request_.body->Next([weak = weak_from_this(), use = use_](Piece piece) {
    const auto self = weak.lock();
    if (self && use == self->use_ && self->phase_ == Phase::kSending && self->Out())
      self->WritePiece(std::move(piece));
  });
}

void Backends::Connection::WritePiece(Piece piece) {
  if (piece.failed) return FinishSoon(Outcome::kCancelled);  // this may be from within Send
  SetTimer(Steady::now() + kStall);
  if (piece.last) deadline_ = piece.due;
  writer_.WritePiece(socket_, std::move(piece.bytes), piece.last, OnWritten(piece.last));
}

// ---- reading ------------------------------------------------------------------------------------------
void Backends::Connection::Read() {
  awaiting_head_ = true;
  reader_.Begin();
  reader_.ReadHead(socket_, [self = shared_from_this(), use = use_](const Error& failed) {
    if (use != self->use_ || !self->Out()) return;
    if (failed) return self->FinishUnanswered(Outcome::kReset);
    self->OnHead();
  });
}

void Backends::Connection::OnHead() {
  if (reader_.Interim()) return Read();
  awaiting_head_ = false;
  if (std::exchange(phase_, Phase::kReading) == Phase::kSending)
    SetTimer(Written() ? deadline_ : Steady::now() + kStall);
  const Limits& limits = owner_->limits_;
  outcome_ = OutcomeOf(reader_.head(), limits.proxies);
  if (limits.on_head) limits.on_head(reader_.head());
  reader_.BeginBody(owner_->buffers_);
  ReadPiece();
}

void Backends::Connection::ReadPiece() {
  if (reader_.Done()) return OnPieceRead({}, 0);
  reading_ = true;
  if (begun_) SetTimer(Steady::now() + kStall);
  if (HeldBack()) SetTimer(std::min(deadline_, reader_.hold_until()));
  reader_.ReadPiece(socket_, owner_->buffers_.piece(),
                    [self = shared_from_this(), use = use_](const Error& failed) {
                      if (use != self->use_ || !self->Out()) return;
                      self->reading_ = false;
                      self->OnPieceRead(failed, self->reader_.Came());
                    });
}

void Backends::Connection::OnPieceRead(const Error& failed, std::size_t n) {
  if (begun_) ClearTimer();  // whoever reads the answer has a limit of its own
  if (failed) {
    if (begun_)
      log::Warn("backends",
                Failure(kAnswerBroken, "server " + std::to_string(server_) + " broke off an answer after " +
                                           std::to_string(reader_.got()) + " bytes: " + failed.message()));
    return FinishUnanswered(Outcome::kReset);
  }
  reader_.Count(n);
  ended_ = reader_.Done();
  if (outcome_ != Outcome::kOk) return OnUnwanted();
  reader_.Keep(n);
  if (begun_) return on_piece_ ? Give() : void();
  const bool held = reader_.Hold(n);
  if (ended_) return Finish(Outcome::kOk, reader_.Whole());
  reader_.TooLarge(held) && reader_.got() > 0 ? Begin() : ReadPiece();
}

// The body of anything but an answer that is served is of no use to anybody.
void Backends::Connection::OnUnwanted() {
  if (ended_ || reader_.got() > kMostWhole) return Finish(outcome_);
  ReadPiece();
}

// From here on the answer is passed on: nothing can take its place any more.
void Backends::Connection::Begin() {
  AnswerHead head = reader_.PassOn();
  head.body = shared_from_this();
  begun_ = true;
  ClearTimer();
  if (reading_) SetTimer(Steady::now() + kStall);
  events_.begun(std::move(head));
}

void Backends::Connection::Next(OnPiece on_piece) {
  if (!Out()) return on_piece(Piece::Broken());
  on_piece_ = std::move(on_piece);
  if (reader_.Holds() || ended_) return Give();
  if (!reading_) ReadPiece();
}

void Backends::Connection::Give() {
  Piece piece;
  piece.bytes = reader_.Take();
  piece.last = ended_;
  const auto on_piece = std::exchange(on_piece_, nullptr);
  const auto self = shared_from_this();
  on_piece(std::move(piece));
  if (ended_) Finish(Outcome::kOk);
}

}  // namespace load_balancer::proxy
