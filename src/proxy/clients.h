// SPDX-License-Identifier: Apache-2.0
//
// Clients accepts the connections of clients, reads requests and writes the only response to each.
#ifndef LOAD_BALANCER_PROXY_CLIENTS_H_
#define LOAD_BALANCER_PROXY_CLIENTS_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <optional>

#include "backends.h"
#include "body.h"
#include "clock.h"
#include "config.h"
#include "core/request_ids.h"
#include "event_counts.h"
#include "memory_budget.h"
#include "request.h"

namespace load_balancer::proxy {

// Responder receives the only response to a request: at most one of its functions is called.
class Responder {
 public:
  virtual ~Responder() = default;
  // Writes a complete response of a server. `reservation` is the memory of its body.
  virtual void Served(HttpResponse response, MemoryBudget::Reservation reservation) = 0;
  // Starts a response whose body is streamed.
  virtual void StreamStarted(ResponseHead head) = 0;
  // Writes a 503, with a Retry-After header unless `retry_after` is 0.
  virtual void Rejected(Duration retry_after) = 0;
  // Writes a 502.
  virtual void Failed() = 0;
  // Writes a 429, as the tenant is over its budget.
  virtual void OverBudget(Duration retry_after) = 0;
  // Returns whether the client has closed its connection, as far as can be seen now.
  virtual bool HasClientLeft() = 0;
};

// RequestHandler processes the requests of clients. Its functions must not throw.
class RequestHandler {
 public:
  virtual ~RequestHandler() = default;
  // Handles a request and returns its id. `responder` may be called within this call.
  virtual RequestId OnRequest(ClientRequest request, std::shared_ptr<Responder> responder) = 0;
  // Reports that a streamed request body has been received completely and that the response is due at `due`.
  virtual void OnUploaded(RequestId request, Steady::time_point due) = 0;
  // Reports that the client of a pending request has disconnected.
  virtual void OnClientGone(RequestId request) = 0;
  // Reports that the client of a pending request may have disconnected without being noticed: no attempt may
  // begin any more.
  virtual void OnClientUnknown(RequestId request) = 0;
  // Reports that a connection broke before its client had read the response to the request with this id.
  virtual void OnResponseUnread(RequestIds::Key request) = 0;
  virtual bool Ready() const = 0;  // the answer to GET /ready
  // Returns the configuration that applies to new requests.
  virtual std::shared_ptr<const Config> CurrentConfig() const = 0;
  // Returns whether the gateway of another site has sent the request here as overflow. Removes the header
  // that marks the request as overflow.
  virtual bool TakeOverflowMark(HttpRequest* message, const boost::asio::ip::address& peer) = 0;
  // Returns the load estimate of this site, which responses to overflow requests carry in a header. If it is
  // empty, they have no such header.
  virtual std::string EstimateText() const = 0;
};

// Clients is the listener for clients and owns their connections.
class Clients {
 public:
  // `max_connections` returns the current limit of connections.
  Clients(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address,
          std::function<std::size_t()> max_connections, MemoryBudget& memory, EventCounts& events,
          RequestHandler& handler);
  ~Clients();
  Clients(const Clients&) = delete;
  Clients& operator=(const Clients&) = delete;

  // Starts to listen. Throws boost::system::system_error if that fails.
  void Open();
  bool Listening() const { return acceptor_.is_open(); }

  // Starts a drain: each connection closes after its next response, and connections that have been idle for
  // some time are closed. New connections are still accepted and served.
  void Drain();
  // Ends a drain, unless a stop is in progress.
  void Rejoin();
  // Starts a drain that cannot be ended. After `grace`, once the accept queue is empty, the listener closes,
  // and so do connections that have been idle for `idle`. Calls `done` when no response is left to be
  // written, which is no later than `end`.
  void Stop(Duration grace, Duration idle, Steady::time_point end, std::function<void()> done);
  // Directs new connections to one of the two processes that listen on this address. `listener` selects the
  // process: 0 for the listener that was opened first, 1 for the other. Returns false if the operating system
  // does not support this.
  bool SteerNewConnections(int listener);
  // Closes connections that have been idle for some time until at most `connections` are open.
  void Shrink(std::size_t connections);
  bool Draining() const { return draining_; }
  bool Stopping() const { return stopping_; }

  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  std::size_t connections() const { return sessions_.size(); }

 private:
  class Session;
  friend class Session;

  enum class AcceptResult { kAccepted, kQueueEmpty, kFull, kRetryLater, kFailed };
  void Accept();
  void AcceptBatch();
  AcceptResult AcceptOne();
  Steady::time_point ArrivalTime(boost::asio::ip::tcp::socket& socket) const;
  void RetryAcceptLater();
  bool AcceptQueued();
  std::shared_ptr<Session> ConnectionToEvict() const;
  std::shared_ptr<Session> LongestClosing() const;
  std::size_t CountEnding() const;
  // Moves the session to the end of the list, as bytes have been received from its client.
  void MarkActive(Session* session);
  void Remove(Session* session);
  void ScheduleIdleSweep();
  void ContinueStop();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint address_;
  std::function<std::size_t()> max_connections_;
  MemoryBudget& memory_;
  EventCounts& events_;
  RequestHandler& handler_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_retry_timer_, idle_sweep_timer_, stop_timer_;
  std::list<std::shared_ptr<Session>> sessions_;  // ordered by the last bytes received, oldest first
  bool accepting_ = false, waiting_for_capacity_ = false, draining_ = false, stopping_ = false,
       acceptor_closed_ = false;
  // Since when connections may have been waiting in the accept queue; not set if it was empty when last seen.
  std::optional<Steady::time_point> queue_began_;
  std::function<void()> on_stopped_;
  Steady::duration min_idle_at_stop_{};
  Steady::time_point stop_deadline_{};
};

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_CLIENTS_H_
