// SPDX-License-Identifier: Apache-2.0
//
// The side of the clients: accepts connections, reads requests, writes the one answer to each.
#ifndef LOAD_BALANCER_PROXY_CLIENTS_H_
#define LOAD_BALANCER_PROXY_CLIENTS_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>

#include "backends.h"
#include "body.h"
#include "clock.h"
#include "config.h"
#include "request.h"

namespace load_balancer::proxy {

// Where the one answer to a request goes.
class Responder {
 public:
  virtual ~Responder() = default;
  virtual void Served(HttpResponse answer, Buffers::Hold hold) = 0;
  // It is served, and its body follows.
  virtual void Begun(AnswerHead head) = 0;
  virtual void Refused(Duration retry_after) = 0;
  virtual void Failed() = 0;
  // It is refused, as its owner is over its budget.
  virtual void OverBudget(Duration retry_after) = 0;
};

// What is done with requests. No call may throw.
class RequestHandler {
 public:
  virtual ~RequestHandler() = default;
  virtual RequestId OnRequest(ClientRequest request, std::shared_ptr<Responder> responder) = 0;
  // The last byte of a request whose body followed.
  virtual void OnUploaded(RequestId request, Steady::time_point due) = 0;
  virtual void OnClientGone(RequestId request) = 0;
  virtual bool Ready() const = 0;  // clients may come
  virtual std::shared_ptr<const Config> InForce() const = 0;
  // Whether another site's gateway has spilled the request here; takes the mark off that says so.
  virtual bool TakeMark(HttpRequest* message, const boost::asio::ip::address& peer) = 0;
  // What answers to such requests carry of this site; empty: nothing.
  virtual std::string EstimateText() const = 0;
};

class Clients {
 public:
  // `most_connections` tells how many there may be, now.
  Clients(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address,
          std::function<std::size_t()> most_connections, Buffers& buffers, RequestHandler& handler);
  ~Clients();
  Clients(const Clients&) = delete;
  Clients& operator=(const Clients&) = delete;

  // Listens; throws boost::system::system_error if it cannot.
  void Open();
  bool Listening() const { return acceptor_.is_open(); }

  // From now on each connection closes after its answer; new ones are still served. What
  // stands idle is closed once it has done so for long enough.
  void Drain();
  // Takes a drain back.
  void Rejoin();
  // A drain for good: after the grace, when nobody waits to be accepted, nothing is accepted any more, and
  // `done` is called when no answer is owed. Then, too, what has stood idle for so long is closed. Nothing is
  // left to be done at `end`.
  void Stop(Duration grace, Duration idle, Steady::time_point end, std::function<void()> done);
  // Of two processes that listen at this address, new connections go to the one whose listener came first or
  // second; false if the system does not do that.
  bool Steer(int listener);
  // Closes what has stood idle for long enough, until so many are open.
  void Shrink(std::size_t connections);
  bool Draining() const { return draining_; }
  bool Stopping() const { return stopping_; }

  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  std::size_t connections() const { return sessions_.size(); }

 private:
  class Session;
  friend class Session;

  enum class Accepted { kOne, kNone, kNoRoom, kLater, kFailed };
  void Accept();
  void AcceptSome();
  Accepted AcceptOne();
  void AcceptLater();
  bool EmptyQueue();
  std::shared_ptr<Session> WhoGivesWay() const;
  std::shared_ptr<Session> LongestShut() const;
  std::size_t Ending() const;
  // Something has come from this client.
  void Heard(Session* session);
  void Remove(Session* session);
  void CloseIdleLater();
  void Shut();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint address_;
  std::function<std::size_t()> most_connections_;
  Buffers& buffers_;
  RequestHandler& handler_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer pause_, sweep_, grace_;
  std::list<std::shared_ptr<Session>> sessions_;  // the longest unheard of first
  bool accepting_ = false, waiting_for_room_ = false, draining_ = false, stopping_ = false, shut_ = false;
  std::function<void()> stopped_;
  Steady::duration idle_at_stop_{};
  Steady::time_point end_{};  // of a stop
};

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_CLIENTS_H_
