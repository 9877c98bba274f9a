// SPDX-License-Identifier: Apache-2.0
//
// Detects that a peer has closed its connection, even when unread bytes precede the close.
#ifndef LOAD_BALANCER_PROXY_CLIENT_PEER_END_H_
#define LOAD_BALANCER_PROXY_CLIENT_PEER_END_H_

namespace load_balancer::proxy {

// Returns whether the peer of this connected socket has closed or reset the connection, as far as the
// operating system knows. Returns false if the operating system cannot tell.
bool PeerHasClosed(int socket);

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_CLIENT_PEER_END_H_
