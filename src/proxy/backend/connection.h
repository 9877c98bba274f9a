// SPDX-License-Identifier: Apache-2.0
//
// Backends::Connection is a connection to a server with the current attempt on it, if any.
#ifndef LOAD_BALANCER_PROXY_BACKEND_CONNECTION_H_
#define LOAD_BALANCER_PROXY_BACKEND_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>

#include "backend/request_writer.h"
#include "backend/response_reader.h"
#include "backends.h"
#include "clock.h"

namespace load_balancer::proxy {

// A closed connection is never used again, so a response that arrives after the timeout of its attempt is
// dropped. The connection is also the BodySource of a response that is streamed.
class Backends::Connection : public BodySource, public std::enable_shared_from_this<Connection> {
 public:
  Connection(Backends& owner, ServerId server, std::uint64_t generation);

  ServerId server() const { return server_; }
  std::uint64_t generation() const { return generation_; }
  Steady::time_point idle_since() const { return idle_since_; }
  // Returns whether an attempt is in progress and none of its bytes has been sent.
  bool IsConnecting() const { return HasAttempt() && phase_ == Phase::kConnecting; }

  // Returns whether this attempt is in progress and its last byte has not been written.
  bool IsIncompletelyWritten(AttemptId attempt) const {
    return HasAttempt() && attempt_ == attempt && !IsWritten();
  }

  // Assigns an attempt. The caller then calls exactly one of Open, Reuse and FinishSoon.
  void Assign(AttemptId attempt, OutgoingRequest request, Duration timeout, AttemptEvents events);
  // Sets the memory set aside for the attempt, which is released when the attempt ends.
  void SetHeadroom(MemoryBudget::Reservation headroom) { headroom_ = std::move(headroom); }
  void Open(const boost::asio::ip::tcp::endpoint& address, Duration connect_timeout);
  void Reuse();
  // Finishes the attempt from the event loop instead of within this call.
  void FinishSoon(Outcome outcome);
  // Ends the attempt, if one is in progress, and reports its outcome.
  void Finish(Outcome outcome, HttpResponse response = {});

  // Returns whether the server has neither closed the idle connection nor sent any bytes. A request written
  // to a closed connection ends as a reset, after which it is unknown whether the request ran.
  bool IsReusable();
  // Closes the connection when it has been idle for `max_idle`, or when the server sends anything or closes
  // it.
  void WatchIdle(Duration max_idle);
  void Close();
  // Closes the connection without reporting anything, as the owner is being destroyed.
  void DetachFromOwner();

  // ---- BodySource: the body of the response -------------------------------------------------------------
  void Next(OnPiece on_piece) override;
  void Abandon() override { Finish(Outcome::kCancelled); }
  bool HasStarted() const override { return true; }

 private:
  using Error = boost::system::error_code;
  enum class Phase { kConnecting, kSending, kReading };

  bool HasAttempt() const { return static_cast<bool>(events_.done); }
  // Returns whether the operating system has accepted the last byte, so that the server may start the
  // request.
  bool IsWritten() const { return phase_ != Phase::kConnecting && writer_.IsWritten(); }
  bool IsBuffering() const;
  bool IsStillReceiving() const;
  Steady::time_point StreamDeadline() const;
  void ClearTimer();
  void SetTimer(Steady::time_point at);
  void OnTimer();
  void FinishWithoutResponse(Outcome outcome);
  Steady::time_point PieceDeadline() const;

  void Write();
  void WatchForEarlyAnswer();
  void WriteNext();
  void WritePiece(Piece piece);
  auto OnWritten(bool last);
  void OnWriteFailed();

  void Read();
  void OnHead();
  void ReadPiece();
  void OnPieceRead(const Error& failed, std::size_t n);
  void DiscardBody();
  void StartStreaming();
  void DeliverPiece();

  Backends* owner_;
  ServerId server_;
  std::uint64_t generation_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  OutgoingRequest request_;
  MemoryBudget::Reservation headroom_;  // memory set aside for the attempt
  RequestWriter writer_;
  ResponseReader reader_;
  AttemptId attempt_ = 0;
  AttemptEvents events_;  // set while an attempt is in progress
  OnPiece on_piece_;
  Outcome outcome_ = Outcome::kUnknown;
  Steady::time_point deadline_{}, idle_since_{};
  Steady::time_point last_piece_at_{};   // when a part of the response's body was last received
  Steady::time_point write_deadline_{};  // no later than deadline_; the last byte must be written before it
  std::uint64_t use_number_ = 0, timer_number_ = 0;
  Phase phase_ = Phase::kConnecting;
  bool awaiting_head_ = false, read_in_progress_ = false, streaming_ = false, response_complete_ = false,
       closed_ = false;
};

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_BACKEND_CONNECTION_H_
