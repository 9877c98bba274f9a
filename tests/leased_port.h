// SPDX-License-Identifier: Apache-2.0
//
// Port numbers for programs that a test starts, and that cannot tell which port they took.
#ifndef BRACKENSPOKE_TESTS_LEASED_PORT_H_
#define BRACKENSPOKE_TESTS_LEASED_PORT_H_

#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstring>
#include <random>
#include <stdexcept>
#include <string>
#include <utility>

namespace brackenspoke::testing {

// A TCP and UDP port of loopback that no other test of this machine has until this goes, also while nothing
// is bound to it. It lies below the ports that Linux gives to sockets by itself (from 32768 on), and is taken
// by the name of a Unix socket without a file, which ends with the process. The constructor throws
// std::runtime_error if there is none.
class LeasedPort {
 public:
  LeasedPort() {
    static std::mt19937 random{std::random_device{}()};
    std::uniform_int_distribution<int> any(kFirst, kLast);
    for (int tries = 0; tries < 1000 && lock_ < 0; ++tries) Try(static_cast<unsigned short>(any(random)));
    if (lock_ < 0) throw std::runtime_error("no free port");
  }
  LeasedPort(LeasedPort&& other) noexcept : port_(other.port_), lock_(std::exchange(other.lock_, -1)) {}
  LeasedPort& operator=(LeasedPort&& other) noexcept {
    std::swap(port_, other.port_);
    std::swap(lock_, other.lock_);
    return *this;
  }
  ~LeasedPort() {
    if (lock_ >= 0) ::close(lock_);
  }

  unsigned short port() const { return port_; }
  boost::asio::ip::tcp::endpoint tcp() const { return {boost::asio::ip::make_address("127.0.0.1"), port_}; }

 private:
  static constexpr int kFirst = 12000, kLast = 31999;

  void Try(unsigned short port) {
    const std::string name = "flintspar-test-port-" + std::to_string(port);
    sockaddr_un address{};
    address.sun_family = AF_UNIX;
    std::memcpy(address.sun_path + 1, name.data(), name.size());
    const auto size = static_cast<socklen_t>(offsetof(sockaddr_un, sun_path) + 1 + name.size());
    const int lock = ::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (lock < 0) throw std::runtime_error("no socket for a port");
    port_ = port;
    if (::bind(lock, reinterpret_cast<const sockaddr*>(&address), size) == 0 && Unbound()) {
      lock_ = lock;
    } else {
      ::close(lock);
    }
  }

  bool Unbound() const {
    boost::asio::io_context io;
    boost::system::error_code taken;
    boost::asio::ip::tcp::socket stream(io, boost::asio::ip::tcp::v4());
    boost::asio::ip::udp::socket datagrams(io, boost::asio::ip::udp::v4());
    stream.bind(tcp(), taken);
    if (!taken) datagrams.bind({tcp().address(), port_}, taken);
    return !taken;
  }

  unsigned short port_ = 0;
  int lock_ = -1;
};

}  // namespace brackenspoke::testing

#endif  // BRACKENSPOKE_TESTS_LEASED_PORT_H_
