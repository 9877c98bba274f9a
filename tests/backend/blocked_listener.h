// SPDX-License-Identifier: Apache-2.0
//
// A listening socket to which no connection comes up until the test lets it.
#ifndef LOAD_BALANCER_TESTS_BACKEND_BLOCKED_LISTENER_H_
#define LOAD_BALANCER_TESTS_BACKEND_BLOCKED_LISTENER_H_

#include <poll.h>
#include <sys/socket.h>

#include <chrono>
#include <list>

#include "loopback.h"

namespace load_balancer::testing {

// Its queue of connections that nobody has accepted is full: the system drops what else asks for one, and
// whoever asks tries again about a second later.
class HeldListener {
 public:
  HeldListener() : acceptor_(io_) {
    acceptor_.open(Tcp::v4());
    acceptor_.bind(kAnyPort);
    acceptor_.listen(0);
    while (FillOne()) {
    }
  }

  Tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  // Connections come up from here on, as their side tries again.
  void LetIn() {
    for (std::size_t i = 0; i < fillers_.size(); ++i) {
      Tcp::socket filler(io_);
      acceptor_.accept(filler);
    }
    fillers_.clear();
    acceptor_.non_blocking(true);
  }
  // The next connection, if one has come up.
  bool Accept(Tcp::socket* socket) {
    error_code failed;
    acceptor_.accept(*socket, failed);
    return !failed;
  }

 private:
  static constexpr std::chrono::milliseconds kComesUp{100};  // far longer than on loopback, far less than 1 s

  // False, and nothing is left of it, if the connection does not come up.
  bool FillOne() {
    Tcp::socket& filler = fillers_.emplace_back(io_);
    filler.open(Tcp::v4());
    filler.non_blocking(true);
    // Not Asio's connect: it waits for the connection without a bound, also on a socket that does not block.
    const Tcp::endpoint address = acceptor_.local_endpoint();
    if (::connect(filler.native_handle(), address.data(), address.size()) == 0) return true;
    pollfd up{filler.native_handle(), POLLOUT, 0};
    if (::poll(&up, 1, kComesUp.count()) == 1) return true;
    fillers_.pop_back();
    return false;
  }

  asio::io_context io_;
  Tcp::acceptor acceptor_;
  std::list<Tcp::socket> fillers_;
};

}  // namespace load_balancer::testing

#endif  // LOAD_BALANCER_TESTS_BACKEND_BLOCKED_LISTENER_H_
