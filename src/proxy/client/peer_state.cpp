// SPDX-License-Identifier: Apache-2.0
#include "client/peer_state.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace load_balancer::proxy {
namespace {

// TCP_INFO as Linux 4.1 and later fill it in, of which the C library's tcp_info is the beginning.
struct LongTcpInfo {
  tcp_info beginning;
  std::uint64_t pacing_rate, max_pacing_rate;
  std::uint64_t bytes_acked;
};

}  // namespace

bool PeerHasClosed(int socket) {
  pollfd entry{socket, POLLRDHUP, 0};
  return ::poll(&entry, 1, 0) > 0 && (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

std::optional<std::uint64_t> AcknowledgedBytes(int socket) {
  LongTcpInfo info{};
  socklen_t size = sizeof info;
  if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 || size < sizeof info)
    return std::nullopt;
  return info.bytes_acked;
}

bool HasAcknowledgedAll(int socket) {
  int unacknowledged = 0;
  return ::ioctl(socket, SIOCOUTQ, &unacknowledged) != 0 || unacknowledged == 0;
}

std::optional<std::chrono::milliseconds> TimeSinceLastArrival(int socket) {
  tcp_info info{};
  socklen_t size = sizeof info;
  if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return std::nullopt;
  return std::chrono::milliseconds(info.tcpi_last_data_recv);
}

}  // namespace load_balancer::proxy
