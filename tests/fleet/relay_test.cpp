// SPDX-License-Identifier: Apache-2.0
//
// Tests the fault relay between two sockets on loopback: forwarding, and each fault.
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/read.hpp>

#include "harness.h"
#include "program_paths.h"

namespace load_balancer::testing::fleet {
namespace {

namespace asio = boost::asio;
using Udp = asio::ip::udp;

const asio::ip::address kLoopback = asio::ip::make_address("127.0.0.1");

std::string LoopbackAddress(unsigned short port) { return "127.0.0.1:" + std::to_string(port); }

// A client socket, a target socket and a relay route between them.
class RelayUdpRoute : public ::testing::Test {
 protected:
  RelayUdpRoute()
      : target(io, Udp::endpoint(kLoopback, 0)),
        client(io, Udp::endpoint(kLoopback, 0)),
        relay(load_balancer::testing::kRelayPath,
              {"r=udp:127.0.0.1:0=" + LoopbackAddress(target.local_endpoint().port())}) {
    const timeval wait{0, 200000};  // a datagram that does not arrive within 200 ms counts as lost
    ::setsockopt(target.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
  }
  void Send(int n) {
    const std::string text = std::to_string(n);
    client.send_to(asio::buffer(text), Udp::endpoint(kLoopback, relay.Port("r")));
  }
  // Returns the received numbers in order, until none arrives for 200 ms.
  std::vector<int> ReceiveAll() {
    std::vector<int> received;
    for (std::array<char, 64> in{};;) {
      // Asio would ignore the time-out of the socket, so this calls recv directly.
      const ssize_t n = ::recv(target.native_handle(), in.data(), in.size(), 0);
      if (n <= 0) return received;
      received.push_back(std::stoi(std::string(in.data(), static_cast<std::size_t>(n))));
    }
  }

  asio::io_context io;
  Udp::socket target, client;
  Relay relay;
};

TEST_F(RelayUdpRoute, ForwardsEveryDatagramWithoutFaults) {
  for (int i = 0; i < 20; ++i) Send(i);
  EXPECT_EQ(ReceiveAll().size(), 20u);
  EXPECT_EQ(relay.SendCommand("COUNTS r"), "ACK passed=20 dropped=0 duplicated=0 reordered=0 cut=0");
}

TEST_F(RelayUdpRoute, DropsDuplicatesReordersAndCutsOnCommand) {
  ASSERT_EQ(relay.SendCommand("FAULT r drop=1"), "ACK faults set");
  for (int i = 0; i < 10; ++i) Send(i);
  EXPECT_TRUE(ReceiveAll().empty());
  ASSERT_EQ(relay.SendCommand("FAULT r drop=0 duplicate=1"), "ACK faults set");
  Send(1);
  EXPECT_EQ(ReceiveAll(), (std::vector<int>{1, 1}));
  ASSERT_EQ(relay.SendCommand("FAULT r duplicate=0 reorder=1"), "ACK faults set");
  Send(1);
  Send(2);
  EXPECT_EQ(ReceiveAll(), (std::vector<int>{2, 1}));
  ASSERT_EQ(relay.SendCommand("FAULT r reorder=0 cut=1"), "ACK faults set");
  Send(3);
  EXPECT_TRUE(ReceiveAll().empty());
  ASSERT_EQ(relay.SendCommand("CLEAR r"), "ACK cleared");
  Send(4);
  EXPECT_EQ(ReceiveAll(), (std::vector<int>{4}));
  EXPECT_EQ(relay.SendCommand("COUNTS r"), "ACK passed=4 dropped=10 duplicated=1 reordered=1 cut=1");
}

TEST_F(RelayUdpRoute, FaultsOfAPairDoNotAffectOtherSenders) {
  const std::string pair = LoopbackAddress(client.local_endpoint().port());
  ASSERT_EQ(relay.SendCommand("FAULT * from=" + pair + " cut=1"), "ACK faults set");
  Send(1);
  Udp::socket other(io, Udp::endpoint(kLoopback, 0));
  other.send_to(asio::buffer("2", 1), Udp::endpoint(kLoopback, relay.Port("r")));
  EXPECT_EQ(ReceiveAll(), (std::vector<int>{2}));
  ASSERT_EQ(relay.SendCommand("CLEAR *"), "ACK cleared");
  Send(3);
  EXPECT_EQ(ReceiveAll(), (std::vector<int>{3}));
}

TEST_F(RelayUdpRoute, RejectsInvalidCommands) {
  EXPECT_EQ(relay.SendCommand("FAULT q drop=1"), "NAK unknown route");
  EXPECT_EQ(relay.SendCommand("FAULT r drop"), "NAK no key=value: drop");
  EXPECT_EQ(relay.SendCommand("FAULT r loss=1"), "NAK unknown fault: loss");
  EXPECT_EQ(relay.SendCommand("SHOUT r"), "NAK unknown call");
}

TEST(RelayTcpRoute, ForwardsABytestreamAndClosesItOnACut) {
  asio::io_context io;
  Tcp::acceptor target(io, Tcp::endpoint(kLoopback, 0));
  Relay relay(load_balancer::testing::kRelayPath,
              {"r=tcp:127.0.0.1:0=" + LoopbackAddress(target.local_endpoint().port())});
  Tcp::socket client(io);
  client.connect(Tcp::endpoint(kLoopback, relay.Port("r")));
  Tcp::socket accepted = target.accept();
  asio::write(client, asio::buffer(std::string("hello")));
  std::string received(5, '\0');
  asio::read(accepted, asio::buffer(received));
  EXPECT_EQ(received, "hello");
  ASSERT_EQ(relay.SendCommand("FAULT r cut=1"), "ACK faults set");
  boost::system::error_code closed;
  char byte = 0;
  asio::read(accepted, asio::buffer(&byte, 1), closed);
  EXPECT_EQ(closed, asio::error::eof);
}

TEST(RelayTcpRoute, KeepsTheClientsAddressAndAStallStopsOnlyItsDirection) {
  asio::io_context io;
  Tcp::acceptor target(io, Tcp::endpoint(kLoopback, 0));
  Relay relay(load_balancer::testing::kRelayPath,
              {"r=tcp:127.0.0.1:0=" + LoopbackAddress(target.local_endpoint().port())});
  const auto from = asio::ip::make_address("127.0.7.7");
  Tcp::socket client(io, Tcp::endpoint(from, 0));
  client.connect(Tcp::endpoint(kLoopback, relay.Port("r")));
  Tcp::socket accepted = target.accept();
  EXPECT_EQ(accepted.remote_endpoint().address(), from);
  const auto is_forwarded = [](Tcp::socket& out, Tcp::socket& in) {
    asio::write(out, asio::buffer("x", 1));
    const timeval wait{0, 200000};  // data that does not arrive within 200 ms counts as stopped
    ::setsockopt(in.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
    char byte = 0;
    return ::recv(in.native_handle(), &byte, 1, 0) == 1;
  };
  ASSERT_EQ(relay.SendCommand("FAULT r stall_back=1"), "ACK faults set");
  EXPECT_FALSE(is_forwarded(accepted, client));
  EXPECT_TRUE(is_forwarded(client, accepted));
  ASSERT_EQ(relay.SendCommand("FAULT r stall_back=0 stall_there=1"), "ACK faults set");
  EXPECT_FALSE(is_forwarded(client, accepted));
  EXPECT_TRUE(is_forwarded(accepted, client));
  ASSERT_EQ(relay.SendCommand("CLEAR r"), "ACK cleared");
  EXPECT_TRUE(is_forwarded(client, accepted));  // the stopped data arrives, too
}

}  // namespace
}  // namespace load_balancer::testing::fleet
