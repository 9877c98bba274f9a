// SPDX-License-Identifier: Apache-2.0
#include "client/peer_end.h"

#include <poll.h>

namespace load_balancer::proxy {

bool PeerHasClosed(int socket) {
  pollfd entry{socket, POLLRDHUP, 0};
  return ::poll(&entry, 1, 0) > 0 && (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

}  // namespace load_balancer::proxy
