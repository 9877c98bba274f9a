// SPDX-License-Identifier: Apache-2.0
//
// The limit on what the system buffers for a connection, which no budget of the process can count.
#ifndef LOAD_BALANCER_PROXY_SOCKET_BUFFERS_H_
#define LOAD_BALANCER_PROXY_SOCKET_BUFFERS_H_

#include <boost/asio/socket_base.hpp>
#include <boost/system/error_code.hpp>

namespace load_balancer::proxy {

// As requested, in each direction. Linux doubles it and would otherwise go up to several megabytes.
inline constexpr int kSocketBufferBytes = 128 * 1024;

// Limits the buffers of a socket before it connects, or of the connections that a listener will accept.
// Errors are ignored: the limits of the system apply then.
template <typename Socket>
void LimitSocketBuffers(Socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(boost::asio::socket_base::receive_buffer_size(kSocketBufferBytes), ignored);
  socket.set_option(boost::asio::socket_base::send_buffer_size(kSocketBufferBytes), ignored);
}

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_SOCKET_BUFFERS_H_
