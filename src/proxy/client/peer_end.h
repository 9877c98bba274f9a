// SPDX-License-Identifier: Apache-2.0
//
// The end of a peer's sending, seen without reading what came before it.
#ifndef LOAD_BALANCER_PROXY_CLIENT_PEER_END_H_
#define LOAD_BALANCER_PROXY_CLIENT_PEER_END_H_

namespace load_balancer::proxy {

// Whether the peer of this connected socket has closed or reset it, as far as the system has heard; false
// where the system does not say.
bool PeerEnded(int socket);

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_CLIENT_PEER_END_H_
