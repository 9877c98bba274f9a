// SPDX-License-Identifier: Apache-2.0
#include "backends.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>
#include <utility>

#include "base/log.h"
#include "clock.h"
#include "proxy/failures.h"

namespace brackenspoke::proxy {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;

constexpr std::size_t kMostAnswerHeader = 16 * 1024;
constexpr std::size_t kMostChunkHeader = 4 * 1024;
constexpr double kIdleShare = 0.8;          // of the time after which backends close: ours must come first
constexpr std::chrono::seconds kStall{10};  // for a piece of a body to be taken, or to come
// An answer that does not tell its length, and is not whole by then, is passed on.
constexpr std::chrono::milliseconds kHoldBack{100};

Steady::duration ToSteady(Duration d) { return std::chrono::ceil<Steady::duration>(d); }

// 503 and 504 alone may come from anything on the way; only the backend's own word proves that it never ran.
Outcome OutcomeOf(const http::response_header<>& response, bool of_proxy) {
  const unsigned status = response.result_int();
  if (status == 200) return Outcome::kOk;
  if (of_proxy && (status == 503 || status == 429)) return Outcome::kFull;
  if ((status == 503 || status == 504) && response["Srv-Declined"] == "1") return Outcome::kFull;
  return Outcome::kError;
}

// The answer proper is still to come. Nothing asks for a switch of protocols: that would be the answer.
bool Interim(const http::response_header<>& response) {
  return response.result_int() < 200 && response.result() != http::status::switching_protocols;
}

}  // namespace

// One connection and the attempt on it, if any. Once closed it is never used again, so that an answer which
// comes after its attempt's time-out has nowhere to go. It is the source of an answer that is passed on.
class Backends::Connection : public BodySource, public std::enable_shared_from_this<Connection> {
 public:
  Connection(Backends& owner, ServerId server, std::uint64_t generation)
      : owner_(&owner), server_(server), generation_(generation), socket_(owner.io_), timer_(owner.io_) {}

  ServerId server() const { return server_; }
  std::uint64_t generation() const { return generation_; }
  Steady::time_point idle_since() const { return idle_since_; }
  // An attempt is out, of which the backend has seen nothing.
  bool Unbegun() const { return Out() && phase_ == Phase::kConnecting; }

  void Open(const Tcp::endpoint& address, Duration connect_timeout) {
    Error error;
    socket_.open(address.protocol(), error);
    if (const auto& local = owner_->limits_.local; local && !error) socket_.bind(*local, error);
    if (!error) socket_.set_option(Tcp::no_delay(true), error);
    if (error) return FinishSoon(Outcome::kMoot);  // out of descriptors
    SetTimer(std::min(deadline_, Steady::now() + ToSteady(connect_timeout)));
    socket_.async_connect(address, [self = shared_from_this()](const Error& failed) {
      if (!self->Out()) return;
      if (failed) return self->Finish(Outcome::kConnectFailed);
      self->Write();
    });
  }

  void Assign(Outgoing request, Duration timeout, AttemptEvents events) {
    ++use_;
    request_ = std::move(request);
    events_ = std::move(events);
    deadline_ = Steady::now() + ToSteady(timeout);
    phase_ = Phase::kConnecting;
    begun_ = ended_ = reading_ = sent_ = false;
  }

  void Reuse() {
    Error ignored;
    socket_.cancel(ignored);  // the watch for its end
    Write();
  }

  // An attempt that ends before it has begun; its result still comes from the event loop.
  void FinishSoon(Outcome outcome) {
    asio::post(owner_->io_, [self = shared_from_this(), outcome] { self->Finish(outcome); });
  }

  // Ends the attempt, if one is out.
  void Finish(Outcome outcome, HttpResponse response = {}) {
    if (!Out()) return;
    const auto self = shared_from_this();
    const AttemptEvents events = std::exchange(events_, {});
    const OnPiece on_piece = std::exchange(on_piece_, nullptr);
    Buffers::Hold hold = std::move(hold_);
    const bool reusable = outcome != Outcome::kCancelled && phase_ == Phase::kReading && sent_ &&
                          parser_->is_done() && parser_->keep_alive() && buffer_.size() == 0;
    const auto body = std::exchange(request_.body, nullptr);
    // Closed before anybody hears of the end: the next attempt must not find this one on an open connection.
    // What a write or read under way still uses ends with it.
    if (reusable && owner_) {
      request_ = {};
      message_.reset();
      parser_.reset();
      whole_ = {}, in_ = {};
      buffer_.shrink_to_fit();
      owner_->Keep(self);
    } else {
      Close();
    }
    if (body) body->Abandon();
    if (on_piece) on_piece(Piece::Broken());
    events.done({outcome, std::move(response), std::move(hold)});
  }

  // Guards against writing to a connection that the backend has closed in the meantime, which would end as a
  // reset that may have run.
  bool Alive() {
    Error error;
    char byte;
    socket_.non_blocking(true, error);
    if (error) return false;
    socket_.receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, error);
    return error == asio::error::would_block || error == asio::error::try_again;
  }

  void WatchIdle(Duration at_most) {
    idle_since_ = Steady::now();
    SetTimer(idle_since_ + ToSteady(at_most));
    socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this(), use = use_](const Error&) {
      if (use == self->use_) self->Close();  // its end, or an answer that nobody asked for
    });
  }

  void Close() {
    if (closed_) return;
    closed_ = true;
    Error ignored;
    socket_.close(ignored);
    ClearTimer();
    if (owner_) owner_->Drop(this);
  }

  // The owner goes: nothing may be reported any more.
  void Orphan() {
    owner_ = nullptr;
    events_ = {};
    on_piece_ = nullptr;
    hold_ = {};
    Close();
  }

  // ---- the answer as a source -------------------------------------------------------------------------
  void Next(OnPiece on_piece) override {
    if (!Out()) return on_piece(Piece::Broken());
    on_piece_ = std::move(on_piece);
    if (!whole_.empty() || ended_) return Give();
    if (!reading_) ReadPiece();
  }
  void Abandon() override { Finish(Outcome::kCancelled); }
  bool Spent() const override { return true; }

 private:
  enum class Phase { kConnecting, kSending, kReading };

  bool Out() const { return static_cast<bool>(events_.done); }

  // One that has run out while something else came first may be waiting for its turn: it is as void as one
  // that was cancelled in time.
  void ClearTimer() {
    ++timer_set_;
    timer_.cancel();
  }

  void SetTimer(Steady::time_point at) {
    timer_.expires_at(at);
    timer_.async_wait([self = shared_from_this(), set = ++timer_set_](const Error& cancelled) {
      if (cancelled || self->closed_ || set != self->timer_set_) return;
      if (!self->Out()) return self->Close();  // idle for too long
      if (self->HeldBack()) return self->Begin();
      self->FinishUnanswered(Outcome::kTimeout);
    });
  }

  // Some of an answer has come that does not tell its length.
  bool HeldBack() const {
    return phase_ == Phase::kReading && !begun_ && got_ > 0 && outcome_ == Outcome::kOk &&
           !parser_->content_length() && Steady::now() < deadline_;
  }

  // Nothing has run unless the last byte was written.
  void FinishUnanswered(Outcome outcome) {
    Finish(phase_ == Phase::kReading && sent_ ? outcome : Outcome::kConnectFailed);
  }

  void Write() {
    phase_ = Phase::kSending;
    sent_ = false;
    message_.emplace(std::move(request_.head));
    serializer_.emplace(*message_);
    if (request_.body) {
      WatchForEarlyAnswer();
      return WriteNext();
    }
    SetTimer(deadline_);
    SetBody(*request_.whole, true);
    WriteBody(true);
  }

  // A backend may answer before it has read all; the rest is then of no use to it.
  void WatchForEarlyAnswer() {
    socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this(), use = use_](const Error& failed) {
      if (failed || use != self->use_ || self->phase_ != Phase::kSending || !self->Out()) return;
      self->SetTimer(Steady::now() + kStall);
      self->Read();
    });
  }

  void WriteNext() {
    ClearTimer();  // whoever sends has a limit of its own
    request_.body->Next([weak = weak_from_this(), use = use_](Piece piece) {
      const auto self = weak.lock();
      if (self && use == self->use_ && self->phase_ == Phase::kSending && self->Out())
        self->WritePiece(std::move(piece));
    });
  }

  void WritePiece(Piece piece) {
    if (piece.failed) return Finish(Outcome::kCancelled);
    SetTimer(Steady::now() + kStall);
    if (piece.last) deadline_ = piece.due;
    out_ = std::move(piece.bytes);
    SetBody(out_, piece.last);
    WriteBody(piece.last);
  }

  void SetBody(const std::string& bytes, bool last) {
    message_->body() = {bytes.empty() ? nullptr : const_cast<char*>(bytes.data()), bytes.size(), !last};
  }

  void WriteBody(bool last) {
    const auto on_written = [self = shared_from_this(), use = use_, last](Error failed, std::size_t) {
      if (use != self->use_ || self->phase_ != Phase::kSending || !self->Out()) return;
      if (failed == http::error::need_buffer) failed = {};
      if (failed) return self->FinishUnanswered(Outcome::kReset);
      if (!last) return self->WriteNext();
      self->out_ = {};
      self->sent_ = true;
      self->SetTimer(self->deadline_);
      self->Read();
    };
    http::async_write(socket_, *serializer_, on_written);
  }

  void Read() {
    phase_ = Phase::kReading;
    whole_ = {};
    got_ = 0;
    parser_.emplace();
    parser_->body_limit(boost::none);
    parser_->header_limit(kMostAnswerHeader);
    http::async_read_header(socket_, buffer_, *parser_,
                            [self = shared_from_this(), use = use_](const Error& failed, std::size_t) {
                              if (use != self->use_ || !self->Out()) return;
                              if (failed) return self->FinishUnanswered(Outcome::kReset);
                              if (Interim(self->parser_->get())) return self->Read();
                              const Limits& limits = self->owner_->limits_;
                              self->outcome_ = OutcomeOf(self->parser_->get(), limits.proxies);
                              if (limits.on_head) limits.on_head(self->parser_->get());
                              self->hold_ = Buffers::Hold(self->owner_->buffers_);
                              self->hold_until_ = Steady::now() + kHoldBack;
                              self->ReadPiece();
                            });
  }

  void ReadPiece() {
    if (parser_->is_done()) return OnPieceRead({}, 0);
    reading_ = true;
    in_.resize(owner_->buffers_.piece());
    parser_->get().body() = {in_.data(), in_.size(), true};
    if (begun_) SetTimer(Steady::now() + kStall);
    if (HeldBack()) SetTimer(std::min(deadline_, hold_until_));
    http::async_read_some(socket_, buffer_, *parser_,
                          [self = shared_from_this(), use = use_](Error failed, std::size_t) {
                            if (use != self->use_ || !self->Out()) return;
                            self->reading_ = false;
                            if (failed == http::error::need_buffer) failed = {};
                            self->OnPieceRead(failed, self->in_.size() - self->parser_->get().body().size);
                          });
  }

  void OnPieceRead(const Error& failed, std::size_t n) {
    if (begun_) ClearTimer();  // whoever reads the answer has a limit of its own
    if (failed) {
      if (begun_)
        log::Warn("backends",
                  Failure(kAnswerBroken, "server " + std::to_string(server_) + " broke off an answer after " +
                                             std::to_string(got_) + " bytes: " + failed.message()));
      return FinishUnanswered(Outcome::kReset);
    }
    got_ += n;
    ended_ = parser_->is_done();
    if (outcome_ != Outcome::kOk) return OnUnwanted();
    whole_.append(in_, 0, n);
    if (begun_) return on_piece_ ? Give() : void();
    const bool held = hold_.Grow(n);
    if (ended_) return FinishWhole();
    const auto length = parser_->content_length();
    const bool pass = !held || got_ >= kMostWhole || (length && *length > kMostWhole) ||
                      (!length && Steady::now() >= hold_until_);
    pass&& got_ > 0 ? Begin() : ReadPiece();
  }

  // The body of anything but an answer that is served is of no use to anybody.
  void OnUnwanted() {
    if (ended_ || got_ > kMostWhole) return Finish(outcome_);
    ReadPiece();
  }

  void FinishWhole() {
    HttpResponse response(std::move(parser_->get().base()));
    response.body() = std::move(whole_);
    Finish(Outcome::kOk, std::move(response));
  }

  // From here on the answer is passed on: nothing can take its place any more.
  void Begin() {
    AnswerHead head;
    const auto& answer = parser_->get();
    if (const auto type = answer.find(http::field::content_type); type != answer.end())
      head.content_type.assign(type->value().data(), type->value().size());
    if (const auto length = parser_->content_length()) head.length = *length;
    head.body = shared_from_this();
    hold_.Release();
    begun_ = true;
    ClearTimer();
    if (reading_) SetTimer(Steady::now() + kStall);
    events_.begun(std::move(head));
  }

  void Give() {
    Piece piece;
    piece.bytes = std::exchange(whole_, {});
    piece.last = ended_;
    const auto on_piece = std::exchange(on_piece_, nullptr);
    const auto self = shared_from_this();
    on_piece(std::move(piece));
    if (ended_) Finish(Outcome::kOk);
  }

  Backends* owner_;
  ServerId server_;
  std::uint64_t generation_;
  Tcp::socket socket_;
  asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_{kMostAnswerHeader + kMostChunkHeader};
  Outgoing request_;
  std::optional<http::request<http::buffer_body>> message_;
  std::optional<http::request_serializer<http::buffer_body>> serializer_;
  std::optional<http::response_parser<http::buffer_body>> parser_;
  std::string out_, in_;  // pieces being written and read
  std::string whole_;     // read of the answer, and not given to anybody yet
  std::size_t got_ = 0;   // of its body
  Buffers::Hold hold_;
  AttemptEvents events_;  // set while an attempt is out
  OnPiece on_piece_;
  Outcome outcome_ = Outcome::kUnknown;
  Steady::time_point deadline_{}, idle_since_{}, hold_until_{};
  std::uint64_t use_ = 0, timer_set_ = 0;
  Phase phase_ = Phase::kConnecting;
  bool sent_ = false, reading_ = false, begun_ = false, ended_ = false, closed_ = false;
};

Backends::Backends(asio::io_context& io, Limits limits, Buffers& buffers)
    : io_(io), limits_(std::move(limits)), buffers_(buffers) {}

Backends::~Backends() {
  const auto live = std::move(live_);
  live_.clear();
  for (const auto& [key, weak] : live) {
    if (const auto connection = weak.lock()) connection->Orphan();
  }
}

void Backends::Set(ServerId server, const Tcp::endpoint& address, double up_since) {
  Backend& backend = backends_[server];
  if (backend.usable && backend.address == address && backend.up_since == up_since) return;
  Retire(server);
  backend.address = address;
  backend.up_since = up_since;
  backend.usable = true;
}

void Backends::Retire(ServerId server) {
  const auto found = backends_.find(server);
  if (found == backends_.end()) return;
  found->second.usable = false;
  Renew(found->second);
}

// Nothing that is open now is used again.
void Backends::Renew(Backend& backend) {
  ++backend.generation;
  const auto idle = std::exchange(backend.idle, {});
  for (const auto& connection : idle) connection->Close();
}

void Backends::Detach(ServerId server) {
  Backend& backend = backends_[server];
  backend.detached = true;
  Renew(backend);
  std::vector<std::shared_ptr<Connection>> unbegun;
  for (const auto& [key, weak] : live_) {
    const auto connection = weak.lock();
    if (connection && connection->server() == server && connection->Unbegun()) unbegun.push_back(connection);
  }
  for (const auto& connection : unbegun) connection->Finish(Outcome::kMoot);
}

void Backends::Attach(ServerId server) {
  Backend& backend = backends_[server];
  backend.detached = false;
  Renew(backend);
}

void Backends::SetTimes(Duration connect_timeout, Duration conn_idle) {
  limits_.connect_timeout = connect_timeout;
  limits_.conn_idle = conn_idle;
}

void Backends::Shrink(std::size_t connections) {
  while (open_ > connections && CloseOldestIdle()) {
  }
}

void Backends::RetireOthers(const std::unordered_set<ServerId>& named) {
  for (const auto& [server, backend] : backends_) {
    if (!named.contains(server)) Retire(server);
  }
}

void Backends::CloseIdle(ServerId server) {
  const auto found = backends_.find(server);
  if (found == backends_.end()) return;
  const auto idle = std::exchange(found->second.idle, {});
  for (const auto& connection : idle) connection->Close();
}

void Backends::Send(ServerId server, Outgoing request, Duration timeout, AttemptEvents events) {
  Backend& backend = backends_[server];
  std::shared_ptr<Connection> connection = TakeIdle(backend);
  if (connection) {
    connection->Assign(std::move(request), timeout, std::move(events));
    return connection->Reuse();
  }
  connection = std::make_shared<Connection>(*this, server, backend.generation);
  live_.emplace(connection.get(), connection);
  ++open_;
  connection->Assign(std::move(request), timeout, std::move(events));
  // It never had an address.
  if (backend.address.port() == 0) return connection->FinishSoon(Outcome::kConnectFailed);
  // A limit of this proxy's own says nothing of the backend: the attempt was never made.
  if (open_ > limits_.connections() && !CloseOldestIdle()) return connection->FinishSoon(Outcome::kMoot);
  ++opened_;
  connection->Open(backend.address, limits_.connect_timeout);
}

std::shared_ptr<Backends::Connection> Backends::TakeIdle(Backend& backend) {
  while (!backend.idle.empty()) {
    const auto connection = std::move(backend.idle.back());
    backend.idle.pop_back();
    if (connection->Alive()) return connection;
    connection->Close();
  }
  return nullptr;
}

bool Backends::CloseOldestIdle() {
  std::shared_ptr<Connection> oldest;
  for (const auto& [server, backend] : backends_) {
    if (backend.idle.empty()) continue;
    const auto& candidate = backend.idle.front();
    if (!oldest || candidate->idle_since() < oldest->idle_since()) oldest = candidate;
  }
  if (oldest) oldest->Close();
  return oldest != nullptr;
}

void Backends::Keep(const std::shared_ptr<Connection>& connection) {
  Backend& backend = backends_[connection->server()];
  if (!backend.usable || backend.detached || backend.generation != connection->generation())
    return connection->Close();
  backend.idle.push_back(connection);
  connection->WatchIdle(limits_.conn_idle * kIdleShare);
}

void Backends::Drop(const Connection* connection) {
  if (live_.erase(connection) > 0) --open_;
  const auto found = backends_.find(connection->server());
  if (found == backends_.end()) return;
  std::erase_if(found->second.idle, [&](const auto& idle) { return idle.get() == connection; });
}

}  // namespace brackenspoke::proxy
