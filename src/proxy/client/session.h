// SPDX-License-Identifier: Apache-2.0
//
// One client's connection: reads a request, and writes the one answer to it before it reads the next.
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

// It is the source of a request's body that is passed on.
class Clients::Session : public Responder, public BodySource, public std::enable_shared_from_this<Session> {
 public:
  Session(Clients& owner, boost::asio::ip::tcp::socket socket);

  std::list<std::shared_ptr<Session>>::iterator place;

  void Start();
  // At once, whatever of it is under way: its client may see a reset.
  void Close();
  // Ends a connection on which nothing is owed: its client sees a clean end and has some time to close its
  // side. A request that comes before the end is served first.
  void End();
  // Has been told to end, or ends after its last answer; since when.
  bool Ending() const { return ending_ || state_ == State::kEnding; }
  Steady::time_point ending_since() const { return ending_since_; }
  // Its client can see the end.
  bool Shut() const { return state_ == State::kEnding; }
  // The owner goes: nothing may be reported any more.
  void Orphan();

  // Between requests, with none on its way as far as can be seen.
  bool Idle();
  bool IdleSince(Steady::time_point before) { return quiet_since_ <= before && Idle(); }
  // Has had an answer.
  bool Answered() const { return answered_; }
  bool Reading() const { return state_ == State::kReading; }
  // Within a request that has not come whole, of which nothing has been seen since then.
  bool StoppedSince(Steady::time_point before) const {
    return Reading() && !ending_ && reader_.heard_at() <= before;
  }
  // Bytes have come that nobody has read: the rest of a request, or a whole one, may be among them.
  bool Unread();
  // Owes an answer, or the rest of one.
  bool Owes() const { return Holds() || state_ == State::kWriting; }

  // ---- the answer -------------------------------------------------------------------------------------
  void Served(HttpResponse answer, Buffers::Hold hold) override;
  void Begun(AnswerHead head) override;
  void Refused(Duration retry_after) override;
  void Failed() override;
  void OverBudget(Duration retry_after) override;

  // ---- the request's body as a source -----------------------------------------------------------------
  void Next(OnPiece on_piece) override;
  void Abandon() override { on_piece_ = nullptr; }
  bool Spent() const override { return spent_; }

 private:
  // kEnding: the sending side is shut, and what comes is not looked at any more.
  enum class State { kReading, kHeld, kWriting, kEnding, kClosed };
  using Error = boost::system::error_code;

  bool Holds() const { return state_ == State::kHeld; }

  void Read();
  void ReadOn();
  void ReadMoreOfHead();
  void ReadSome();
  void ReadInto(const boost::asio::mutable_buffer& room);
  void ReadAhead();
  void OnRead(const Error& failed, std::size_t n);
  void CancelRead();
  void LookForEnd();
  void OnClientEnd();
  void ReadHead();
  void OnHead();
  void Continue();
  void ReadBody();
  void ReadMoreOfBody();
  void OnWhole();
  void OnLarge();
  void Submit();
  Steady::time_point Due() const;
  void GivePiece();
  void OnUnreadable(const Error& failed);
  void Break();

  void Write(HttpResponse response);
  void BeginAnswer();
  void WriteAnswer(std::string piece, bool last);
  void OnAnswerWritten();
  void PullAnswer();
  void BreakAnswer();
  void ShutSending();
  void DiscardRest();

  Clients* owner_;
  boost::beast::tcp_stream stream_;
  boost::asio::steady_timer look_;  // for the client's end, while the reader has no room
  State state_ = State::kReading;

  // The request.
  RequestReader reader_;
  ClientRequest coming_;
  std::string body_;  // read, and not given to anybody yet
  unsigned version_ = 11;
  Duration patience_{0};              // that the client has
  Steady::time_point quiet_since_{};  // no request has been here since then, where it is idle
  RequestId request_ = 0;
  OnPiece on_piece_;
  bool reading_ = false;    // OnRead is still to come
  bool ended_ = false;      // the client will send nothing more
  bool in_head_ = false;    // the next bytes are of a request's head
  bool following_ = false;  // its body is passed on, and has not come whole
  bool spent_ = false;
  bool spilled_ = false;  // the request came from another site's gateway

  // The answer.
  AnswerWriter writer_;
  Buffers::Hold hold_;
  std::shared_ptr<BodySource> relay_;  // what the rest of it comes from
  bool ends_with_connection_ = false;
  bool last_ = false;    // the connection closes after this answer
  bool ending_ = false;  // told to end, unless a request has come
  Steady::time_point ending_since_{};
  bool answered_ = false;  // a request on this connection
};

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_CLIENT_SESSION_H_
