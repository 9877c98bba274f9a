// SPDX-License-Identifier: Apache-2.0
//
// Clients::Session is the connection of one client. It reads a request and writes its only response before it
// parses the next request.
#ifndef LOAD_BALANCER_PROXY_CLIENT_SESSION_H_
#define LOAD_BALANCER_PROXY_CLIENT_SESSION_H_

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <list>
#include <memory>
#include <string>

#include "client/request_reader.h"
#include "client/response_writer.h"
#include "clients.h"

namespace load_balancer::proxy {

// The session is also the BodySource of a request whose body is streamed to a server.
class Clients::Session : public Responder, public BodySource, public std::enable_shared_from_this<Session> {
 public:
  Session(Clients& owner, boost::asio::ip::tcp::socket socket);

  // The position in the owner's list of sessions.
  std::list<std::shared_ptr<Session>>::iterator place;

  // Starts to read. What the client has sent so far arrived no earlier than `arrived_at`.
  void Start(Steady::time_point arrived_at);
  // Closes the connection at once, even during a request or response. The client may see a reset.
  void Close();
  // Ends a connection that waits for bytes of its client: shuts down the sending side, so that the client
  // sees a clean end of the stream, and waits some time for the client to close its side. A request that
  // arrives before the shutdown is served first. A request that has begun is refused with a 503.
  void End();
  // Returns whether the connection is ending, either because of End or after its last response.
  bool IsEnding() const { return end_requested_ || is_refusing_ || state_ == State::kEnding; }
  Steady::time_point ending_since() const { return ending_since_; }
  // Returns whether the sending side is shut down, which the client can see.
  bool IsSendingShut() const { return state_ == State::kEnding; }
  // Closes the connection without reporting it to the owner, which is being destroyed.
  void DetachFromOwner();

  // Returns whether the connection is between two requests and no byte of the next one has been received.
  bool IsIdle();
  bool IsIdleSince(Steady::time_point since) { return idle_since_ <= since && IsIdle(); }
  // Returns whether a response has been written on this connection.
  bool HasAnswered() const { return has_answered_; }
  bool IsReading() const { return state_ == State::kReading; }
  // Returns whether the connection waits for the next bytes of its client and has received none after
  // `since`.
  bool IsSilentSince(Steady::time_point since) const {
    return IsReading() && !end_requested_ && reader_.last_received_at() <= since;
  }
  // Returns whether the socket has bytes that have not been read. They may contain the rest of a request or a
  // complete one.
  bool HasUnreadBytes();
  // Returns whether a response, or the rest of one, is still to be written.
  bool OwesResponse() const { return IsPending() || state_ == State::kWriting; }

  // ---- Responder: the response to the request -------------------------------------------
  void Served(HttpResponse response, MemoryBudget::Reservation reservation) override;
  void StreamStarted(ResponseHead head) override;
  void Rejected(Duration retry_after) override;
  void Failed() override;
  void OverBudget(Duration retry_after) override;
  bool HasClientLeft() override { return client_closed_ || HasClientClosed(); }

  // ---- BodySource: the body of the request ----------------------------------------------
  void Next(OnPiece on_piece) override;
  void Abandon() override { on_piece_ = nullptr; }
  bool HasStarted() const override { return has_started_; }

 private:
  // kPending: the request has been handed to the handler and has no response yet. kEnding: the sending side
  // is shut down and further input is discarded.
  enum class State { kReading, kPending, kWriting, kEnding, kClosed };
  using Error = boost::system::error_code;

  bool IsPending() const { return state_ == State::kPending; }

  void Read();
  void ContinueHead();
  void ReadMoreOfHead();
  void ReadSome();
  void ReadInto(const boost::asio::mutable_buffer& buffer);
  void BeginRead();
  void EndReading();
  void RefuseForMemory();
  void ReadAhead();
  void OnRead(const Error& failed, std::size_t n);
  void CancelRead();
  void ScheduleCloseCheck();
  bool HasClientClosed();
  void NoteUnreadResponse();
  void NoteUnseenClose();
  void OnClientClosed();
  void ReadHead();
  void OnHead();
  void SendContinue();
  void ReadBody();
  void ReadMoreOfBody();
  void OnCompleteBody();
  void OnLargeBody();
  void Submit();
  Steady::time_point ResponseDeadline() const;
  void DeliverPiece();
  void OnParseError(const Error& failed);
  void AbortRequest();

  void Write(HttpResponse response);
  void BeginResponse();
  void WriteResponsePiece(std::string piece, bool last);
  void OnResponseWritten();
  void AwaitReset();
  void ReadNextRequest();
  void WatchWrite();
  void PullResponse();
  void AbortResponse();
  void ShutSending();
  void DiscardInput();

  Clients* owner_;
  boost::beast::tcp_stream stream_;
  boost::asio::steady_timer
      close_check_timer_;  // checks for a close by the client while the reader's buffer is full
  boost::asio::steady_timer reset_timer_;  // for AwaitReset alone, which nothing else may cancel
  boost::asio::steady_timer write_timer_;  // while a part of the response is being written
  State state_ = State::kReading;

  // State of the request.
  RequestReader reader_;
  ClientRequest incoming_;
  std::string buffered_body_;  // decoded bytes that have not been handed on
  unsigned version_ = 11;
  Duration client_timeout_{0};       // how long the client waits for the response
  Steady::time_point idle_since_{};  // start of the idle time, if the connection is idle
  RequestId request_id_ = 0;
  RequestIds::Key id_key_ = 0;  // of the last request that may have to run no more than once
  Steady::time_point submitted_at_{};
  OnPiece on_piece_;
  bool read_in_progress_ = false;  // OnRead will be called
  bool input_has_waited_ =
      false;                      // bytes of the request were in the socket or buffer before they were wanted
  bool read_has_waited_ = false;  // nothing had arrived when the last read began
  bool client_closed_ = false;    // the client has closed its sending side or reset the connection
  bool sending_continue_ = false;   // an interim response is being written
  bool reading_head_ = false;       // the next bytes belong to the head of a request
  bool body_is_streaming_ = false;  // the body is streamed and has not been received completely
  bool has_started_ = false;        // a piece of the body has been requested
  bool is_overflow_ = false;        // the request came from the gateway of another site

  // State of the response.
  ResponseWriter writer_;
  MemoryBudget::Reservation reservation_;
  std::shared_ptr<BodySource> response_source_;  // the rest of a streamed response body
  bool ends_with_connection_ = false;            // only the close marks the end of the response body
  bool close_after_response_ = false;            // the connection closes after this response
  bool end_requested_ = false;                   // End was called, and no request has arrived since
  bool is_refusing_ = false;                     // the last response refuses a request that End has cut short
  Steady::time_point ending_since_{};
  Steady::time_point response_written_at_{};
  Steady::time_point known_open_at_{};  // when the client was last known not to have closed its connection
  bool has_answered_ = false;           // a response has been written on this connection
};

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_CLIENT_SESSION_H_
