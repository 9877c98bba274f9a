// SPDX-License-Identifier: Apache-2.0
#include "client/session.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

#include "client/peer_end.h"
#include "client/replies.h"
#include "overflow/incoming.h"

namespace load_balancer::proxy {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

constexpr std::size_t kFirstPiece = 1024;               // read of a next request before it is looked at
constexpr std::chrono::milliseconds kLookForEnd{25};    // between two looks for the client's end
constexpr std::chrono::seconds kSlowWrite{10};          // for an answer, or a piece of it, to be taken
constexpr std::chrono::seconds kDrain{2};               // for the peer to notice the end
constexpr std::chrono::milliseconds kLastAnswers{150};  // before the end of a stop

}  // namespace

Clients::Session::Session(Clients& owner, Tcp::socket socket)
    : owner_(&owner), stream_(std::move(socket)), look_(stream_.get_executor()) {}

void Clients::Session::Start() {
  Error ignored;
  stream_.socket().set_option(Tcp::no_delay(true), ignored);
  reader_.Open();
  Read();
}

bool Clients::Session::Idle() {
  return Reading() && !ending_ && in_head_ && reader_.unparsed() == 0 && !Unread();
}

bool Clients::Session::Unread() {
  Error error;
  return stream_.socket().available(error) > 0;
}

void Clients::Session::Close() {
  if (state_ == State::kClosed) return;
  state_ = State::kClosed;
  stream_.close();
  look_.cancel();
  if (const auto relay = std::exchange(relay_, nullptr)) relay->Abandon();
  if (const auto on_piece = std::exchange(on_piece_, nullptr)) on_piece(Piece::Broken());
  hold_.Release();
  coming_ = {};
  if (owner_) owner_->Remove(this);
}

// What an unfinished read has brought, or the system has and this has not, is known only once the read has
// come back: the end waits for that.
void Clients::Session::End() {
  if (!Reading() || ending_) return;
  ending_ = true;
  ending_since_ = Steady::now();
  reading_ ? CancelRead() : ShutSending();
}

void Clients::Session::Orphan() {
  owner_ = nullptr;
  Close();
}

// ---- reading ------------------------------------------------------------------------------------------
void Clients::Session::Read() {
  state_ = State::kReading;
  in_head_ = true;
  quiet_since_ = Steady::now();
  body_ = {};
  spent_ = false;
  reader_.Next();
  if (reading_) return CancelRead();
  ReadOn();
}

void Clients::Session::ReadOn() { reader_.unparsed() > 0 ? ReadHead() : ReadMoreOfHead(); }

void Clients::Session::ReadMoreOfHead() {
  stream_.expires_at(reader_.HeadDue());
  ReadSome();
}

// What the request that is being read needs next. The stream's time limit applies.
void Clients::Session::ReadSome() {
  const bool rests = in_head_ && reader_.unparsed() == 0;
  if (rests) reader_.FreeRoom();
  const auto room = reader_.Room(rests      ? kFirstPiece
                                 : in_head_ ? RequestReader::kAll
                                            : owner_->buffers_.piece());
  if (room.size() == 0) return OnUnreadable(http::error::header_limit);
  ReadInto(room);
}

// Within the stream's time limit.
void Clients::Session::ReadInto(const boost::asio::mutable_buffer& room) {
  reading_ = true;
  stream_.async_read_some(
      room, [self = shared_from_this()](const Error& failed, std::size_t n) { self->OnRead(failed, n); });
}

// Reads while nobody asks for more, as far as there is room: a client that closes its connection is seen
// behind all that it has sent before, of this request or the next ones.
void Clients::Session::ReadAhead() {
  if (reading_ || ended_) return;
  const auto room = reader_.Room(following_ ? owner_->buffers_.piece() : kFirstPiece);
  if (room.size() == 0) return LookForEnd();
  reading_ = true;
  stream_.socket().async_read_some(
      room, [self = shared_from_this()](const Error& failed, std::size_t n) { self->OnRead(failed, n); });
}

// The reader's bytes stay as they are until OnRead has come, which is at once.
void Clients::Session::CancelRead() {
  Error ignored;
  stream_.socket().cancel(ignored);
}

// Of any read: one that has been cancelled may have brought bytes before.
void Clients::Session::OnRead(const Error& failed, std::size_t n) {
  reading_ = false;
  if (state_ == State::kClosed) return;
  const bool cancelled = failed == asio::error::operation_aborted;
  if (state_ == State::kEnding) return failed && !cancelled ? Close() : DiscardRest();
  if (failed && !cancelled) return OnClientEnd();
  if (n > 0) {
    reader_.Came(n);
    owner_->Heard(this);
  }
  if (std::exchange(ending_, false) && n == 0 && !Unread()) return ShutSending();
  if (Reading()) return in_head_ ? ReadOn() : ReadBody();
  Holds() && on_piece_ ? GivePiece() : ReadAhead();
}

// Behind bytes that there is no room for.
void Clients::Session::LookForEnd() {
  look_.expires_after(kLookForEnd);
  look_.async_wait([self = shared_from_this()](const Error& cancelled) {
    if (cancelled || self->reading_ || !self->Owes()) return;
    PeerEnded(self->stream_.socket().native_handle()) ? self->OnClientEnd() : self->ReadAhead();
  });
}

// What is being written to it is still written; nothing that comes later would be for anybody.
void Clients::Session::OnClientEnd() {
  ended_ = true;
  if (state_ != State::kWriting || relay_) Break();
}

void Clients::Session::ReadHead() {
  Error failed;
  const bool whole = reader_.ParseHead(&failed);
  if (failed) return OnUnreadable(failed);
  whole ? OnHead() : ReadMoreOfHead();
}

void Clients::Session::OnHead() {
  in_head_ = false;
  reader_.BeginBody();
  HttpRequest message(reader_.head());
  version_ = message.version();
  last_ = !reader_.keep_alive() || version_ < 11;
  const bool has_body = !reader_.Done();
  if (message.method() == http::verb::get && message.target() == "/ready") {
    last_ |= has_body;
    const bool ready = owner_->handler_.Ready();
    return Write(ready ? PlainReply(http::status::ok, "ready\n")
                       : PlainReply(http::status::service_unavailable, "not ready\n"));
  }
  coming_ = {};
  const bool waits = boost::beast::iequals(message[http::field::expect], "100-continue");
  if (const auto complaint = Understand(std::move(message), owner_->handler_.InForce(), &coming_)) {
    // Nobody can tell where the next request begins without reading on to it.
    last_ |= has_body || complaint->status == http::status::not_implemented;
    return Write(PlainReply(complaint->status, complaint->text + '\n'));
  }
  Error gone;
  const auto peer = stream_.socket().remote_endpoint(gone);
  coming_.spilled = spilled_ = owner_->handler_.TakeMark(&coming_.message, peer.address());
  coming_.hold = Buffers::Hold(owner_->buffers_);
  if (has_body && waits && reader_.unparsed() == 0) return Continue();
  ReadBody();
}

void Clients::Session::Continue() {
  const auto go_on = std::make_shared<http::response<http::empty_body>>(http::status::continue_, 11);
  http::async_write(stream_, *go_on, [self = shared_from_this(), go_on](const Error& failed, std::size_t) {
    if (!self->Reading()) return;
    if (failed) return self->Close();
    self->ReadMoreOfBody();
  });
}

void Clients::Session::ReadBody() {
  Error failed;
  const std::string piece = reader_.Decode(owner_->buffers_.piece(), &failed);
  if (failed) return OnUnreadable(failed);
  const bool held = coming_.hold.Grow(piece.size());
  body_ += piece;
  if (reader_.Done()) return OnWhole();
  const auto length = reader_.content_length();
  if (!body_.empty() && (!held || body_.size() >= kMostWhole || (length && *length > kMostWhole)))
    return OnLarge();
  reader_.unparsed() > 0 && !piece.empty() ? ReadBody() : ReadMoreOfBody();
}

void Clients::Session::ReadMoreOfBody() {
  stream_.expires_at(reader_.BodyDue());
  ReadSome();
}

void Clients::Session::OnWhole() {
  if (coming_.message.method() == http::verb::get && !body_.empty())
    return Write(PlainReply(http::status::bad_request, "a body where none belongs\n"));
  coming_.message.body() = std::move(body_);
  coming_.message.prepare_payload();
  Submit();
}

// What has come waits for whoever asks for it, and no more is read until then than there is room for.
void Clients::Session::OnLarge() {
  if (coming_.message.method() == http::verb::get) {
    last_ = true;
    return Write(PlainReply(http::status::bad_request, "a body where none belongs\n"));
  }
  following_ = true;
  if (!reader_.content_length()) coming_.message.chunked(true);
  coming_.hold.Release();
  coming_.body = shared_from_this();
  Submit();
}

void Clients::Session::Submit() {
  stream_.expires_never();
  patience_ = coming_.patience;
  coming_.due = Due();
  reader_.Hold();
  state_ = State::kHeld;
  // It may be answered before its number is known here.
  const RequestId request = owner_->handler_.OnRequest(std::move(coming_), shared_from_this());
  request_ = request;
  if (Holds() && !on_piece_) ReadAhead();
}

// At a stop, no later than there is somebody to answer.
Steady::time_point Clients::Session::Due() const {
  const auto due = Steady::now() + std::chrono::duration_cast<Steady::duration>(patience_);
  return owner_->stopping_ ? std::min(due, owner_->end_ - kLastAnswers) : due;
}

void Clients::Session::Next(OnPiece on_piece) {
  if (!Holds() || !following_) return on_piece(Piece::Broken());
  on_piece_ = std::move(on_piece);
  spent_ = true;
  reader_.GoOn();
  if (reading_) return CancelRead();
  GivePiece();
}

void Clients::Session::GivePiece() {
  Piece piece;
  Error failed;
  piece.bytes = body_.empty() ? reader_.Decode(owner_->buffers_.piece(), &failed) : std::exchange(body_, {});
  if (failed) return OnUnreadable(failed);
  piece.last = reader_.Done();
  if (piece.bytes.empty() && !piece.last) return ReadMoreOfBody();
  reader_.Hold();
  const auto on_piece = std::exchange(on_piece_, nullptr);
  if (piece.last) {
    following_ = false;
    stream_.expires_never();
    piece.due = Due();
    owner_->handler_.OnUploaded(request_, piece.due);
  }
  if (on_piece) on_piece(std::move(piece));
  if (Holds() && !on_piece_) ReadAhead();
}

// The client has gone, or has taken too long.
void Clients::Session::Break() {
  if (Holds()) owner_->handler_.OnClientGone(request_);
  Close();
}

void Clients::Session::OnUnreadable(const Error& failed) {
  if (Holds()) {  // its body was being passed on
    owner_->handler_.OnClientGone(request_);
    if (const auto on_piece = std::exchange(on_piece_, nullptr)) on_piece(Piece::Broken());
  }
  last_ = true;
  Write(UnreadableReply(failed));
}

// ---- writing ------------------------------------------------------------------------------------------
void Clients::Session::Served(HttpResponse answer, Buffers::Hold hold) {
  if (!Holds()) return;
  HttpResponse mine{http::status::ok, 11};
  if (const auto type = answer.find(http::field::content_type); type != answer.end())
    mine.set(http::field::content_type, type->value());
  mine.body() = std::move(answer.body());
  hold_ = std::move(hold);
  Write(std::move(mine));
}

void Clients::Session::Refused(Duration retry_after) {
  if (Holds()) Write(RefusedReply(retry_after));
}

void Clients::Session::OverBudget(Duration retry_after) {
  if (Holds()) Write(OverBudgetReply(retry_after));
}

void Clients::Session::Failed() {
  if (Holds()) Write(PlainReply(http::status::bad_gateway, "failed\n"));
}

void Clients::Session::Write(HttpResponse response) {
  writer_.head() = AnswerWriter::Response(std::move(response.base()));
  writer_.head().content_length(response.body().size());
  BeginAnswer();
  WriteAnswer(std::move(response.body()), true);
}

void Clients::Session::Begun(AnswerHead head) {
  if (!Holds()) return head.body->Abandon();
  AnswerWriter::Response& answer = writer_.head();
  answer = AnswerWriter::Response(http::status::ok, 11);
  if (!head.content_type.empty()) answer.set(http::field::content_type, head.content_type);
  ends_with_connection_ = !head.length && version_ < 11;
  if (head.length) {
    answer.content_length(*head.length);
  } else if (!ends_with_connection_) {
    answer.chunked(true);
  }
  last_ |= ends_with_connection_;
  relay_ = std::move(head.body);
  BeginAnswer();
  PullAnswer();
}

void Clients::Session::BeginAnswer() {
  state_ = State::kWriting;
  on_piece_ = nullptr;
  last_ |= owner_->draining_;
  last_ |=
      std::exchange(following_, false);  // of a request that has not come whole, nobody waits for the rest
  writer_.head().keep_alive(!last_);
  if (std::exchange(spilled_, false))
    if (const std::string estimate = owner_->handler_.EstimateText(); !estimate.empty())
      writer_.head().set(std::string(overflow::kEstimateHeader), estimate);
  writer_.Begin();
  if (reading_ && last_) CancelRead();  // it may wait for more of the body, for so long
  ReadAhead();
}

void Clients::Session::WriteAnswer(std::string piece, bool last) {
  stream_.expires_after(kSlowWrite);
  writer_.Write(stream_, std::move(piece), last, [self = shared_from_this(), last](const Error& failed) {
    if (self->state_ != State::kWriting) return;
    if (failed) return self->Close();
    last ? self->OnAnswerWritten() : self->PullAnswer();
  });
}

void Clients::Session::PullAnswer() {
  stream_.expires_never();  // the source has limits of its own
  relay_->Next([weak = weak_from_this()](Piece piece) {
    const auto self = weak.lock();
    if (!self || self->state_ != State::kWriting) return;
    if (piece.failed) return self->BreakAnswer();
    if (piece.last) self->relay_ = nullptr;
    self->WriteAnswer(std::move(piece.bytes), piece.last);
  });
}

// The client must be able to tell that its answer is not whole. Where only the connection's end says so, that
// end is a reset; else it must not be one, which would take the answers before with it.
void Clients::Session::BreakAnswer() {
  relay_ = nullptr;
  if (!ends_with_connection_) return ShutSending();
  Error ignored;
  stream_.socket().set_option(asio::socket_base::linger(true, 0), ignored);
  Close();
}

void Clients::Session::OnAnswerWritten() {
  writer_.Clear();
  hold_.Release();
  if (last_) return ShutSending();
  if (ended_) return Close();
  answered_ = true;
  Read();
  if (owner_ && owner_->waiting_for_room_) owner_->Accept();
}

// Guards against a reset overtaking the answer: with unread input left, a plain close would send one.
void Clients::Session::ShutSending() {
  state_ = State::kEnding;
  ending_since_ = Steady::now();
  Error ignored;
  stream_.socket().shutdown(Tcp::socket::shutdown_send, ignored);
  DiscardRest();
}

void Clients::Session::DiscardRest() {
  if (reading_) return CancelRead();
  stream_.expires_at(ending_since_ + kDrain);  // of it all: a peer must not hold the place by sending on
  ReadInto(reader_.Discard());
}

}  // namespace load_balancer::proxy
