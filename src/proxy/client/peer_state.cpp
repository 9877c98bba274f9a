// SPDX-License-Identifier: Apache-2.0
#include "client/peer_state.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

namespace load_balancer::proxy {

bool PeerHasClosed(int socket) {
  pollfd entry{socket, POLLRDHUP, 0};
  return ::poll(&entry, 1, 0) > 0 && (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

std::optional<std::chrono::milliseconds> TimeSinceLastArrival(int socket) {
  tcp_info info{};
  socklen_t size = sizeof info;
  if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return std::nullopt;
  return std::chrono::milliseconds(info.tcpi_last_data_recv);
}

}  // namespace load_balancer::proxy
