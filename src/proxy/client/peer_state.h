// SPDX-License-Identifier: Apache-2.0
//
// What the operating system knows of a connection without reading from it.
#ifndef LOAD_BALANCER_PROXY_CLIENT_PEER_STATE_H_
#define LOAD_BALANCER_PROXY_CLIENT_PEER_STATE_H_

#include <chrono>
#include <optional>

namespace load_balancer::proxy {

// Returns whether the peer of this connected socket has closed or reset the connection, as far as the
// operating system knows, even if unread bytes precede the close. Returns false if the operating system
// cannot tell.
bool PeerHasClosed(int socket);

// Returns how long ago bytes last arrived on this connected socket, or how long ago the connection was
// established if none have. Returns nothing if the operating system cannot tell. See tcp(7), TCP_INFO.
std::optional<std::chrono::milliseconds> TimeSinceLastArrival(int socket);

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_CLIENT_PEER_STATE_H_
