// SPDX-License-Identifier: Apache-2.0
//
// Backends sends attempts to servers over a pool of connections. It makes no load-balancing decisions: each
// Send is one attempt on one connection and has exactly one result.
#ifndef LOAD_BALANCER_PROXY_BACKENDS_H_
#define LOAD_BALANCER_PROXY_BACKENDS_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "body.h"
#include "clock.h"
#include "load_balancer/balancer.h"
#include "memory_budget.h"
#include "request.h"

namespace load_balancer::proxy {

// ResponseHead is the part of a streamed response that is passed on before the body. `body` provides the
// body.
struct ResponseHead {
  std::string content_type;             // empty if the response has none
  std::optional<std::uint64_t> length;  // the Content-Length, if the response has one
  std::shared_ptr<BodySource> body;
};

// AttemptResult is how an attempt ended.
struct AttemptResult {
  Outcome outcome = Outcome::kUnknown;
  HttpResponse response{};  // the complete response if the outcome is kOk; empty if it was streamed
  MemoryBudget::Reservation reservation{};  // the memory of the response body
};

// AttemptEvents reports the progress of an attempt. `stream_started` is called only if the response is
// streamed; the outcome passed to `done` then says whether it was complete.
struct AttemptEvents {
  std::function<void(ResponseHead)> stream_started;
  std::function<void(AttemptResult)> done;
};

// Identifies an attempt after Send; 0 means none.
using AttemptId = std::uint64_t;

// OutgoingRequest is a request to a server. Its body is streamed if `body` is set.
struct OutgoingRequest {
  boost::beast::http::request_header<>
      head;  // includes Content-Length or Transfer-Encoding, but not Req-Deadline-Ms
  std::shared_ptr<const std::string> complete_body;  // a completely buffered body
  std::shared_ptr<BodySource> body;                  // a streamed body
  Steady::time_point due{};   // when the response is due, which may be later than the attempt's time-out
  Duration write_timeout{0};  // time from Send to the last byte, after which it is not written; 0: none
};

class Backends {
 public:
  struct Limits {
    Duration connect_timeout{250};
    Duration conn_idle{15000};
    std::function<std::size_t()> max_connections = [] {
      return std::size_t{300};
    };  // current limit over all servers
    std::optional<boost::asio::ip::tcp::endpoint>
        local_address{};  // source address of connections, if it is prescribed
    bool servers_are_proxies =
        false;  // the servers are proxies, whose 429 and 503 mean that the request did not run
    std::function<void(const boost::beast::http::response_header<>&)>
        on_head{};  // called with the head of each response, before the response is complete
  };

  Backends(boost::asio::io_context& io, Limits limits, MemoryBudget& memory);
  ~Backends();
  Backends(const Backends&) = delete;
  Backends& operator=(const Backends&) = delete;

  // Sets the address of a server and the time when the server was started. If either has changed, the idle
  // connections to the server are closed.
  void Set(ServerId server, const boost::asio::ip::tcp::endpoint& address, double up_since);
  // Removes a server that gets no more requests. Its idle connections are closed at once. Its other
  // connections are closed when their responses are complete, or by CancelOutdated.
  void Retire(ServerId server);
  // Retires all servers that are not in `named`, the ids of a complete list.
  void RetireOthers(const std::unordered_set<ServerId>& named);
  // Frees what is kept of retired servers that are not in `listed`, have no connection and are not detached.
  void ForgetUnused(const std::unordered_set<ServerId>& listed);
  // Ends attempts that are still connecting to a server that has been retired, moved or restarted since, as
  // kNotSent. To be called once the owner knows of the change: `done` is called within this call.
  void CancelOutdated();
  void CloseIdle(ServerId server);
  // Takes a server out of service for maintenance. Closes its idle connections and ends attempts that have
  // not written a byte.
  void Detach(ServerId server);
  // Puts a server back into service. It counts as a new process, so no connection is reused.
  void Attach(ServerId server);
  // Closes idle connections, the longest idle first, until at most `connections` are open or none is idle.
  void Shrink(std::size_t connections);

  // Starts an attempt. `done` is called exactly once, never within this call and never after the destructor.
  // The timeout starts with this call; for a streamed body, each piece sets a new deadline, after which
  // neither it nor a later one is written. The header
  // Req-Deadline-Ms contains the time that is left when the request is written, rounded down to ms. If no
  // time is left, nothing is written. An attempt that is not written within its `write_timeout` ends as
  // kNotSent, and its last byte is never written.
  AttemptId Send(ServerId server, OutgoingRequest request, Duration timeout, AttemptEvents events);
  // Cancels an attempt whose request is no longer needed. If its last byte has not been written, it ends as
  // kNotSent and the server never starts it. Otherwise it continues. Has no effect on an attempt that has
  // ended.
  void CancelIfUnwritten(AttemptId attempt);

  // Sets the timeouts for new connections. If `conn_idle` becomes shorter, all idle connections are closed.
  void SetTimeouts(Duration connect_timeout, Duration conn_idle);

  std::size_t connections() const { return open_; }
  std::size_t opened() const { return opened_; }  // since the process started

 private:
  class Connection;
  friend class Connection;
  struct Backend {
    boost::asio::ip::tcp::endpoint address;
    double up_since = 0;
    std::uint64_t generation = 0;  // connections of an older generation are not reused
    bool usable = false, detached = false;
    std::vector<std::shared_ptr<Connection>> idle;  // most recently used last
  };

  // Returns an idle connection that can be reused, or null.
  std::shared_ptr<Connection> TakeIdle(Backend& backend);
  // Reports bytes on a connection that belong to no request, such as a duplicate response.
  void OnUnexpectedBytes(ServerId server);
  bool CloseOldestIdle();
  // Closes idle connections and starts a new generation, so that no connection now open is reused.
  void CloseIdleAndRetireOpen(Backend& backend);
  void KeepIdle(const std::shared_ptr<Connection>& connection);
  void Remove(const Connection* connection);

  boost::asio::io_context& io_;
  Limits limits_;
  MemoryBudget& memory_;
  std::unordered_map<ServerId, Backend> backends_;
  std::unordered_map<const Connection*, std::weak_ptr<Connection>> live_;
  std::size_t open_ = 0, opened_ = 0;
  AttemptId last_attempt_ = 0;
  Steady::time_point duplicates_expected_until_{};
};

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_BACKENDS_H_
