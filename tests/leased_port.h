// SPDX-License-Identifier: Apache-2.0
//
// Port numbers for programs that a test starts, and that cannot tell which port they took.
#ifndef LOAD_BALANCER_TESTS_LEASED_PORT_H_
#define LOAD_BALANCER_TESTS_LEASED_PORT_H_

#include <fcntl.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <filesystem>
#include <random>
#include <stdexcept>
#include <string>
#include <utility>

namespace load_balancer::testing {

// A TCP and UDP port of loopback that no other test with the same temporary folder has until this goes, also
// while nothing is bound to it. It lies below the ports that Linux gives to sockets by itself (from 32768
// on). It is taken by a lock on the byte of its number in a file that all share, which the kernel gives back
// when the process ends, however it ends. The constructor throws std::runtime_error if there is none.
class LeasedPort {
 public:
  LeasedPort() : file_(::open(File().c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0666)) {
    if (file_ < 0) throw std::runtime_error("no file to lock ports in: " + File());
    static std::mt19937 random{std::random_device{}()};
    std::uniform_int_distribution<int> any(kFirst, kLast);
    for (int tries = 0; tries < 1000; ++tries) {
      if (Take(static_cast<unsigned short>(any(random)))) return;
    }
    ::close(file_);
    throw std::runtime_error("no free port");
  }
  LeasedPort(LeasedPort&& other) noexcept : port_(other.port_), file_(std::exchange(other.file_, -1)) {}
  LeasedPort& operator=(LeasedPort&& other) noexcept {
    std::swap(port_, other.port_);
    std::swap(file_, other.file_);
    return *this;
  }
  ~LeasedPort() {
    if (file_ >= 0) ::close(file_);
  }

  unsigned short port() const { return port_; }
  boost::asio::ip::tcp::endpoint tcp() const { return {boost::asio::ip::make_address("127.0.0.1"), port_}; }

  // The file that the locks are on.
  static std::string File() { return std::filesystem::temp_directory_path() / "flintspar-test-ports"; }

 private:
  static constexpr int kFirst = 12000, kLast = 31999;

  bool Take(unsigned short port) {
    port_ = port;
    if (!Lock(F_WRLCK)) return false;
    if (Unbound()) return true;
    Lock(F_UNLCK);
    return false;
  }

  // A lock of this open file, not of the process: two ports of one process exclude each other, too.
  bool Lock(short type) const {
    struct flock byte {};
    byte.l_type = type;
    byte.l_whence = SEEK_SET;
    byte.l_start = port_;
    byte.l_len = 1;
    return ::fcntl(file_, F_OFD_SETLK, &byte) == 0;
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
  int file_ = -1;
};

}  // namespace load_balancer::testing

#endif  // LOAD_BALANCER_TESTS_LEASED_PORT_H_
