// SPDX-License-Identifier: Apache-2.0
//
// BlockedListener is a listening socket to which no connection can be established until the test unblocks it.
#ifndef LOAD_BALANCER_TESTS_BACKEND_BLOCKED_LISTENER_H_
#define LOAD_BALANCER_TESTS_BACKEND_BLOCKED_LISTENER_H_

#include <poll.h>
#include <sys/socket.h>

#include <chrono>
#include <list>

#include "loopback.h"

namespace load_balancer::testing {

// The accept queue is full, so the operating system drops further connection requests. The connecting side
// retries about one second later.
class BlockedListener {
 public:
  BlockedListener() : acceptor_(io_) {
    acceptor_.open(Tcp::v4());
    acceptor_.bind(kAnyPort);
    acceptor_.listen(0);
    while (FillOne()) {
    }
  }

  Tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  // Empties the accept queue. Connections are established as soon as the connecting side retries.
  void Unblock() {
    for (std::size_t i = 0; i < fillers_.size(); ++i) {
      Tcp::socket filler(io_);
      acceptor_.accept(filler);
    }
    fillers_.clear();
    acceptor_.non_blocking(true);
  }
  // Accepts the next connection. Returns false if none has been established.
  bool Accept(Tcp::socket* socket) {
    error_code failed;
    acceptor_.accept(*socket, failed);
    return !failed;
  }

 private:
  static constexpr std::chrono::milliseconds kConnectTime{
      100};  // far longer than on loopback, far less than 1 s

  // Opens a connection that occupies a slot of the queue. Returns false and closes it if it is not
  // established.
  bool FillOne() {
    Tcp::socket& filler = fillers_.emplace_back(io_);
    filler.open(Tcp::v4());
    filler.non_blocking(true);
    // Asio's connect would wait without a time limit, even on a non-blocking socket.
    const Tcp::endpoint address = acceptor_.local_endpoint();
    if (::connect(filler.native_handle(), address.data(), address.size()) == 0) return true;
    pollfd up{filler.native_handle(), POLLOUT, 0};
    if (::poll(&up, 1, kConnectTime.count()) == 1) return true;
    fillers_.pop_back();
    return false;
  }

  asio::io_context io_;
  Tcp::acceptor acceptor_;
  std::list<Tcp::socket> fillers_;
};

}  // namespace load_balancer::testing

#endif  // LOAD_BALANCER_TESTS_BACKEND_BLOCKED_LISTENER_H_
