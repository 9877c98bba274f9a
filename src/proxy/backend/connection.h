// SPDX-License-Identifier: Apache-2.0
//
// One connection to a backend and the attempt on it, if any.
#ifndef LOAD_BALANCER_PROXY_BACKEND_CONNECTION_H_
#define LOAD_BALANCER_PROXY_BACKEND_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "backend/request_writer.h"
#include "backend/response_reader.h"
#include "backends.h"
#include "clock.h"

namespace load_balancer::proxy {

// Once closed it is never used again, so that an answer which comes after its attempt's time-out has nowhere
// to go. It is the source of an answer that is passed on.
class Backends::Connection : public BodySource, public std::enable_shared_from_this<Connection> {
 public:
  Connection(Backends& owner, ServerId server, std::uint64_t generation);

  ServerId server() const { return server_; }
  std::uint64_t generation() const { return generation_; }
  Steady::time_point idle_since() const { return idle_since_; }
  // An attempt is out, of which the backend has seen nothing.
  bool Unbegun() const { return Out() && phase_ == Phase::kConnecting; }

  // This attempt is out, and its last byte has not been written.
  bool Unwritten(AttemptId attempt) const { return Out() && attempt_ == attempt && !Written(); }

  // Takes the attempt; then one of Open, Reuse and FinishSoon begins it.
  void Assign(AttemptId attempt, Outgoing request, Duration timeout, AttemptEvents events);
  void Open(const boost::asio::ip::tcp::endpoint& address, Duration connect_timeout);
  void Reuse();
  // An attempt that ends before it has begun; its result still comes from the event loop.
  void FinishSoon(Outcome outcome);
  // Ends the attempt, if one is out.
  void Finish(Outcome outcome, HttpResponse response = {});

  // Whether the backend has neither closed it in the meantime, where writing would end as a reset that may
  // have run, nor sent anything.
  bool Alive();
  // Closes by itself after so long, or when the backend says anything.
  void WatchIdle(Duration at_most);
  void Close();
  // The owner goes: nothing may be reported any more.
  void Orphan();

  // ---- the answer as a source -------------------------------------------------------------------------
  void Next(OnPiece on_piece) override;
  void Abandon() override { Finish(Outcome::kCancelled); }
  bool Spent() const override { return true; }

 private:
  using Error = boost::system::error_code;
  enum class Phase { kConnecting, kSending, kReading };

  bool Out() const { return static_cast<bool>(events_.done); }
  // The backend may begin the request: the system has its last byte.
  bool Written() const { return phase_ != Phase::kConnecting && writer_.Written(); }
  bool HeldBack() const;
  void ClearTimer();
  void SetTimer(Steady::time_point at);
  void FinishUnanswered(Outcome outcome);

  void Write();
  void WatchForEarlyAnswer();
  void WriteNext();
  void WritePiece(Piece piece);
  auto OnWritten(bool last);
  void OnUnwritable();

  void Read();
  void OnHead();
  void ReadPiece();
  void OnPieceRead(const Error& failed, std::size_t n);
  void OnUnwanted();
  void Begin();
  void Give();

  Backends* owner_;
  ServerId server_;
  std::uint64_t generation_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  Outgoing request_;
  RequestWriter writer_;
  AnswerReader reader_;
  AttemptId attempt_ = 0;
  AttemptEvents events_;  // set while an attempt is out
  OnPiece on_piece_;
  Outcome outcome_ = Outcome::kUnknown;
  Steady::time_point deadline_{}, idle_since_{};
  std::uint64_t use_ = 0, timer_set_ = 0;
  Phase phase_ = Phase::kConnecting;
  bool awaiting_head_ = false, reading_ = false, begun_ = false, ended_ = false, closed_ = false;
};

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_BACKEND_CONNECTION_H_
