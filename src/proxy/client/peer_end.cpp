// SPDX-License-Identifier: Apache-2.0
#include "client/peer_end.h"

#include <poll.h>

namespace load_balancer::proxy {

bool PeerEnded(int socket) {
  pollfd look{socket, POLLRDHUP, 0};
  return ::poll(&look, 1, 0) > 0 && (look.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

}  // namespace load_balancer::proxy
