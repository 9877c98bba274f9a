// SPDX-License-Identifier: Apache-2.0
#include "session.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <cstdio>
#include <utility>

#include "spill/incoming.h"

namespace brackenspoke::proxy {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

constexpr std::size_t kMostHeader = 16 * 1024;
constexpr std::size_t kMostChunkHeader = 4 * 1024;
constexpr std::size_t kFirstPiece = 1024;              // read of a next request before it is looked at
constexpr std::uint64_t kMostBody = 32 * 1024 * 1024;  // of a request
constexpr std::chrono::seconds kIdle{90};              // between requests
// For a request's head to come: the first from the connection's start, others from their first byte. Whoever
// sends no proper request is owed an error or a close within 3 s of connecting.
constexpr std::chrono::milliseconds kComing{2500};
// For its body: no longer than this between pieces, and this much over the time at this rate.
constexpr std::chrono::milliseconds kBodyPause{2000};
constexpr double kLeastRate = 16 * 1024;        // bytes a second; slow clients send four times as much
constexpr std::chrono::seconds kSlowWrite{10};  // for an answer, or a piece of it, to be taken
constexpr std::chrono::seconds kDrain{2};       // for the peer to notice the end
constexpr std::chrono::milliseconds kLastAnswers{150};  // before the end of a stop
constexpr const char* kText = "text/plain";

HttpResponse Plain(http::status status, std::string text) {
  HttpResponse response{status, 11};
  response.set(http::field::content_type, kText);
  response.body() = std::move(text);
  return response;
}

}  // namespace

Clients::Session::Session(Clients& owner, Tcp::socket socket)
    : owner_(&owner), stream_(std::move(socket)), buffer_(kMostHeader + kMostChunkHeader) {}

void Clients::Session::Start() {
  Error ignored;
  stream_.socket().set_option(Tcp::no_delay(true), ignored);
  began_ = heard_at_ = Steady::now();
  Read();
}

bool Clients::Session::Idle() { return Reading() && in_head_ && buffer_.size() == 0 && !Unread(); }

bool Clients::Session::Unread() {
  Error error;
  return stream_.socket().available(error) > 0;
}

void Clients::Session::Close() {
  if (state_ == State::kClosed) return;
  state_ = State::kClosed;
  stream_.close();
  if (const auto relay = std::exchange(relay_, nullptr)) relay->Abandon();
  if (const auto on_piece = std::exchange(on_piece_, nullptr)) on_piece(Piece::Broken());
  hold_.Release();
  coming_ = {};
  if (owner_) owner_->Remove(this);
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
  parser_.emplace();
  parser_->header_limit(kMostHeader);
  parser_->body_limit(kMostBody);
  body_ = {};
  received_ = 0;
  spent_ = false;
  if (buffer_.size() > 0) {
    began_ = heard_at_ = quiet_since_;
    return ReadHead();
  }
  buffer_.shrink_to_fit();
  if (std::exchange(fresh_, false)) {
    stream_.expires_at(began_ + kComing);
  } else {
    began_ = {};
    stream_.expires_after(kIdle);
  }
  ReadSome(kFirstPiece);
}

void Clients::Session::ReadSome(std::size_t most) {
  const std::size_t room = buffer_.max_size() - buffer_.size();
  if (room == 0) return OnUnreadable(http::error::header_limit);
  stream_.async_read_some(buffer_.prepare(std::min(most, room)),
                          [self = shared_from_this()](const Error& failed, std::size_t n) {
                            if (!self->Reading() && !(self->Holds() && self->following_)) return;
                            if (failed) return self->Break();
                            self->buffer_.commit(n);
                            self->heard_at_ = Steady::now();
                            self->owner_->Heard(self.get());
                            self->OnBytes();
                          });
}

void Clients::Session::OnBytes() {
  if (in_head_) return ReadHead();
  following_ ? GivePiece() : ReadBody();
}

void Clients::Session::ReadHead() {
  if (began_ == Steady::time_point{}) began_ = heard_at_;
  Error failed;
  while (!parser_->is_header_done() && buffer_.size() > 0 && !failed)
    buffer_.consume(parser_->put(buffer_.data(), failed));
  if (failed && failed != http::error::need_more) return OnUnreadable(failed);
  if (parser_->is_header_done()) return OnHead();
  stream_.expires_at(began_ + kComing);
  ReadSome(buffer_.max_size());
}

void Clients::Session::OnHead() {
  in_head_ = false;
  body_began_ = heard_at_ = Steady::now();
  HttpRequest message(parser_->get().base());
  version_ = message.version();
  last_ = !parser_->keep_alive() || version_ < 11;
  const bool has_body = !parser_->is_done();
  if (message.method() == http::verb::get && message.target() == "/ready") {
    last_ |= has_body;
    const bool ready = owner_->handler_.Ready();
    return Write(ready ? Plain(http::status::ok, "ready\n")
                       : Plain(http::status::service_unavailable, "not ready\n"));
  }
  coming_ = {};
  const bool waits = boost::beast::iequals(message[http::field::expect], "100-continue");
  if (const auto complaint = Understand(std::move(message), owner_->handler_.InForce(), &coming_)) {
    // Nobody can tell where the next request begins without reading on to it.
    last_ |= has_body || complaint->status == http::status::not_implemented;
    return Write(Plain(complaint->status, complaint->text + '\n'));
  }
  Error gone;
  const auto peer = stream_.socket().remote_endpoint(gone);
  coming_.spilled = spilled_ = owner_->handler_.TakeMark(&coming_.message, peer.address());
  coming_.hold = Buffers::Hold(owner_->buffers_);
  if (has_body && waits && buffer_.size() == 0) return Continue();
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
  const std::string piece = Decode(&failed);
  if (failed) return OnUnreadable(failed);
  const bool held = coming_.hold.Grow(piece.size());
  body_ += piece;
  if (parser_->is_done()) return OnWhole();
  const auto length = parser_->content_length();
  if (!body_.empty() && (!held || body_.size() >= kMostWhole || (length && *length > kMostWhole)))
    return OnLarge();
  buffer_.size() > 0 && !piece.empty() ? ReadBody() : ReadMoreOfBody();
}

// The next piece of what has come; empty if that is not enough for one.
std::string Clients::Session::Decode(Error* failed) {
  if (buffer_.size() == 0) return "";
  std::string piece(owner_->buffers_.piece(), '\0');
  auto& body = parser_->get().body();
  body = {piece.data(), piece.size(), true};
  while (!parser_->is_done() && buffer_.size() > 0 && !*failed)
    buffer_.consume(parser_->put(buffer_.data(), *failed));
  if (*failed == http::error::need_more || *failed == http::error::need_buffer) *failed = {};
  piece.resize(piece.size() - body.size);
  received_ += piece.size();
  return piece;
}

void Clients::Session::ReadMoreOfBody() {
  const auto at_rate = std::chrono::duration<double>(static_cast<double>(received_) / kLeastRate);
  const auto in_time = body_began_ + kBodyPause + std::chrono::duration_cast<Steady::duration>(at_rate);
  stream_.expires_at(std::min(in_time, Steady::now() + kBodyPause));
  ReadSome(owner_->buffers_.piece());
}

void Clients::Session::OnWhole() {
  if (coming_.message.method() == http::verb::get && !body_.empty())
    return Write(Plain(http::status::bad_request, "a body where none belongs\n"));
  coming_.message.body() = std::move(body_);
  coming_.message.prepare_payload();
  Submit();
  if (Holds()) WatchClient();
}

// What has come waits for whoever asks for it, and nothing more is read until then.
void Clients::Session::OnLarge() {
  if (coming_.message.method() == http::verb::get) {
    last_ = true;
    return Write(Plain(http::status::bad_request, "a body where none belongs\n"));
  }
  following_ = true;
  if (!parser_->content_length()) coming_.message.chunked(true);
  coming_.hold.Release();
  coming_.body = shared_from_this();
  Submit();
}

void Clients::Session::Submit() {
  stream_.expires_never();
  patience_ = coming_.patience;
  coming_.due = Due();
  waited_since_ = Steady::now();
  state_ = State::kHeld;
  // It may be answered before its number is known here.
  const RequestId request = owner_->handler_.OnRequest(std::move(coming_), shared_from_this());
  request_ = request;
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
  heard_at_ = Steady::now();
  body_began_ += heard_at_ - waited_since_;
  GivePiece();
}

void Clients::Session::GivePiece() {
  Piece piece;
  Error failed;
  piece.bytes = body_.empty() ? Decode(&failed) : std::exchange(body_, {});
  if (failed) return OnUnreadable(failed);
  piece.last = parser_->is_done();
  if (piece.bytes.empty() && !piece.last) return ReadMoreOfBody();
  waited_since_ = Steady::now();
  const auto on_piece = std::exchange(on_piece_, nullptr);
  if (piece.last) {
    following_ = false;
    stream_.expires_never();
    piece.due = Due();
    owner_->handler_.OnUploaded(request_, piece.due);
    if (Holds()) WatchClient();
  }
  if (on_piece) on_piece(std::move(piece));
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
  Write(failed == http::error::body_limit ? Plain(http::status::payload_too_large, "too large\n")
        : failed == http::error::header_limit || failed == http::error::buffer_overflow
            ? Plain(http::status::request_header_fields_too_large, "header too large\n")
            : Plain(http::status::bad_request, "malformed\n"));
}

// A client that closes its connection while its request is held has gone.
void Clients::Session::WatchClient() {
  stream_.socket().async_wait(
      Tcp::socket::wait_read, [self = shared_from_this(), of = request_](const Error& failed) {
        if (failed || !self->Holds() || self->request_ != of) return;
        Error error;
        char byte;
        self->stream_.socket().non_blocking(true, error);
        if (!error) self->stream_.socket().receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, error);
        // The start of a next request: it waits for this one's answer, and is not looked at before.
        if (!error || error == asio::error::would_block) return;
        self->Break();
      });
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
  WriteRefusal(Plain(http::status::service_unavailable, "refused; trying again is harmless\n"), retry_after);
}

void Clients::Session::OverBudget(Duration retry_after) {
  WriteRefusal(Plain(http::status::too_many_requests, "over the budget; trying again is harmless\n"),
               retry_after);
}

void Clients::Session::WriteRefusal(HttpResponse refusal, Duration retry_after) {
  if (!Holds()) return;
  if (retry_after.count() > 0) {
    char seconds[32];
    std::snprintf(seconds, sizeof seconds, "%.3f", retry_after.count() / 1000);
    refusal.set(http::field::retry_after, seconds);
  }
  Write(std::move(refusal));
}

void Clients::Session::Failed() {
  if (Holds()) Write(Plain(http::status::bad_gateway, "failed\n"));
}

void Clients::Session::Write(HttpResponse response) {
  response_ = Response(std::move(response.base()));
  response_.content_length(response.body().size());
  BeginAnswer();
  WriteAnswer(std::move(response.body()), true);
}

void Clients::Session::Begun(AnswerHead head) {
  if (!Holds()) return head.body->Abandon();
  response_ = Response(http::status::ok, 11);
  if (!head.content_type.empty()) response_.set(http::field::content_type, head.content_type);
  ends_with_connection_ = !head.length && version_ < 11;
  if (head.length) {
    response_.content_length(*head.length);
  } else if (!ends_with_connection_) {
    response_.chunked(true);
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
  response_.keep_alive(!last_);
  if (std::exchange(spilled_, false))
    if (const std::string estimate = owner_->handler_.EstimateText(); !estimate.empty())
      response_.set(std::string(spill::kEstimateHeader), estimate);
  serializer_.emplace(response_);
  Error ignored;
  stream_.socket().cancel(ignored);  // the watch for the client's end, or for more of its body
}

void Clients::Session::WriteAnswer(std::string piece, bool last) {
  piece_ = std::move(piece);
  response_.body() = {piece_.empty() ? nullptr : piece_.data(), piece_.size(), !last};
  stream_.expires_after(kSlowWrite);
  http::async_write(stream_, *serializer_, [self = shared_from_this(), last](Error failed, std::size_t) {
    if (self->state_ != State::kWriting) return;
    if (failed == http::error::need_buffer) failed = {};
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
// end is a reset.
void Clients::Session::BreakAnswer() {
  relay_ = nullptr;
  Error ignored;
  if (ends_with_connection_) stream_.socket().set_option(asio::socket_base::linger(true, 0), ignored);
  Close();
}

void Clients::Session::OnAnswerWritten() {
  piece_ = {};
  hold_.Release();
  serializer_.reset();
  if (last_) return CloseGently();
  answered_ = true;
  Read();
  if (owner_ && owner_->waiting_for_room_) owner_->Accept();
}

// Guards against a reset overtaking the answer: with unread input left, a plain close would send one.
void Clients::Session::CloseGently() {
  draining_ = true;
  Error ignored;
  stream_.socket().shutdown(Tcp::socket::shutdown_send, ignored);
  stream_.expires_after(kDrain);  // of it all: a peer must not hold the place by sending on
  Drain();
}

void Clients::Session::Drain() {
  buffer_.clear();
  stream_.async_read_some(buffer_.prepare(kMostChunkHeader),
                          [self = shared_from_this()](const Error& failed, std::size_t) {
                            if (self->state_ != State::kWriting) return;
                            if (failed) return self->Close();
                            self->Drain();
                          });
}

}  // namespace brackenspoke::proxy
