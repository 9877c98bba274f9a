// SPDX-License-Identifier: Apache-2.0
//
// Attempts at backends and the pool of connections that carries them. It decides nothing: each Send is one
// attempt on one connection and ends in exactly one result.
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
#include "request.h"

namespace load_balancer::proxy {

// What is passed on of an answer as soon as it has begun; the rest is its body.
struct AnswerHead {
  std::string content_type;             // empty: none
  std::optional<std::uint64_t> length;  // if the backend has told it
  std::shared_ptr<BodySource> body;
};

struct AttemptResult {
  Outcome outcome = Outcome::kUnknown;
  HttpResponse response{};  // of kOk, whole; empty if it had begun before
  Buffers::Hold hold{};     // of its body
};

// What becomes of an attempt: if `begun` is called, the answer is on its way, and how the attempt ends says
// whether it has come whole.
struct AttemptEvents {
  std::function<void(AnswerHead)> begun;
  std::function<void(AttemptResult)> done;
};

// Names an attempt from its Send on; 0: none.
using AttemptId = std::uint64_t;

// A request on its way to a backend.
struct Outgoing {
  boost::beast::http::request_header<> head;  // framing included; not what time is left
  std::shared_ptr<const std::string> whole;   // its body; or
  std::shared_ptr<BodySource> body;           // what of it is passed on
};

class Backends {
 public:
  struct Limits {
    Duration connect_timeout{250};
    Duration conn_idle{15000};
    std::function<std::size_t()> connections = [] { return std::size_t{300}; };  // over all backends, now
    std::optional<boost::asio::ip::tcp::endpoint> local{};  // where connections come from, if that matters
    bool proxies = false;  // what answers is a proxy: its 429 and 503 say that nothing has run
    std::function<void(const boost::beast::http::response_header<>&)>
        on_head{};  // of each answer, before its end
  };

  Backends(boost::asio::io_context& io, Limits limits, Buffers& buffers);
  ~Backends();
  Backends(const Backends&) = delete;
  Backends& operator=(const Backends&) = delete;

  // Where a backend listens now, and since when it runs. Idle connections to what has moved or restarted go.
  void Set(ServerId server, const boost::asio::ip::tcp::endpoint& address, double up_since);
  // Nothing new will go there: idle connections go, and so do those in use when their answers are in.
  void Retire(ServerId server);
  // All but those that a complete list names.
  void RetireOthers(const std::unordered_set<ServerId>& named);
  void CloseIdle(ServerId server);
  // Operators take a backend out: what stands idle goes, and attempts end that have not written a byte.
  void Detach(ServerId server);
  // It is back, as another process.
  void Attach(ServerId server);
  // Closes what has stood idle for longest, until so many are open or none is idle.
  void Shrink(std::size_t connections);

  // One attempt. `done` is called once, never from within this call, and not after the destructor. The
  // time-out counts from this call; of a body that is passed on, from when its last piece says. The backend
  // is told what is left of it as the request is written, in whole ms; where that is none, nothing is
  // written.
  AttemptId Send(ServerId server, Outgoing request, Duration timeout, AttemptEvents events);
  // The request is over: an attempt whose last byte has not been written ends as kNotSent, and the backend
  // never begins it. One that has been written goes on, as does what has ended already.
  void GiveUp(AttemptId attempt);

  // From the next connections on; what stands idle is closed if it may not any more for as long.
  void SetTimes(Duration connect_timeout, Duration conn_idle);

  std::size_t connections() const { return open_; }
  std::size_t opened() const { return opened_; }  // since the start

 private:
  class Connection;
  friend class Connection;
  struct Backend {
    boost::asio::ip::tcp::endpoint address;
    double up_since = 0;
    std::uint64_t generation = 0;  // connections of an older one are not kept
    bool usable = false, detached = false;
    std::vector<std::shared_ptr<Connection>> idle;  // the most recently used last
  };

  std::shared_ptr<Connection> TakeIdle(Backend& backend);
  // More has come on a connection than its requests asked for.
  void OnUnasked(ServerId server);
  bool CloseOldestIdle();
  void Renew(Backend& backend);
  void Keep(const std::shared_ptr<Connection>& connection);
  void Drop(const Connection* connection);

  boost::asio::io_context& io_;
  Limits limits_;
  Buffers& buffers_;
  std::unordered_map<ServerId, Backend> backends_;
  std::unordered_map<const Connection*, std::weak_ptr<Connection>> live_;
  std::size_t open_ = 0, opened_ = 0;
  AttemptId last_attempt_ = 0;
  Steady::time_point wary_until_{};
};

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_BACKENDS_H_
