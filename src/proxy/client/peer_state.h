// SPDX-License-Identifier: Apache-2.0
//
// What the operating system knows of a connection without reading from it.
#ifndef LOAD_BALANCER_PROXY_CLIENT_PEER_STATE_H_
#define LOAD_BALANCER_PROXY_CLIENT_PEER_STATE_H_

#include <chrono>
#include <cstdint>
#include <optional>

namespace load_balancer::proxy {

// Returns whether the peer of this connected socket has closed or reset the connection, as far as the
// operating system knows, even if unread bytes precede the close. Returns false if the operating system
// cannot tell.
bool PeerHasClosed(int socket);

// Returns how long ago bytes last arrived on this connected socket, or how long ago the connection was
// established if none have. Returns nothing if the operating system cannot tell. See tcp(7), TCP_INFO.
std::optional<std::chrono::milliseconds> TimeSinceLastArrival(int socket);

// Returns how many bytes the peer's system has acknowledged since the connection began, or nothing if the
// system does not tell.
std::optional<std::uint64_t> AcknowledgedBytes(int socket);

// Returns whether the peer's system has acknowledged all bytes written to the socket. A peer that has closed
// its connection answers them with a reset instead. Also true if the system does not tell.
bool HasAcknowledgedAll(int socket);

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_CLIENT_PEER_STATE_H_
