// SPDX-License-Identifier: Apache-2.0
//
// The descriptors that the processes of this proxy share, for clients and for backends.
#ifndef LOAD_BALANCER_PROXY_CORE_LIMITS_H_
#define LOAD_BALANCER_PROXY_CORE_LIMITS_H_

#include <cstddef>

#include "body.h"

namespace load_balancer::proxy {

class Backends;
class Clients;
class FederationLink;
class HotRestart;

class Limits {
 public:
  // `sockets` is the descriptors that one process may hold. All else outlives the last call; it need not be
  // made yet.
  Limits(int sockets, HotRestart& hot_restart, const Buffers& buffers, Clients& clients, Backends& backends,
         const FederationLink& federation)
      : sockets_(sockets),
        hot_restart_(hot_restart),
        buffers_(buffers),
        clients_(clients),
        backends_(backends),
        federation_(federation) {}

  // Connections that this process may have now.
  std::size_t MostClients() const;
  std::size_t MostBackends() const;

  // Tells the other process what this one holds. Two processes have the limits of one: what stands idle over
  // a fair share is closed for the other.
  void Share(int processes);

 private:
  void Publish() const;
  double Descriptors(int processes) const;

  const int sockets_;
  HotRestart& hot_restart_;
  const Buffers& buffers_;
  Clients& clients_;
  Backends& backends_;
  const FederationLink& federation_;
};

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_CORE_LIMITS_H_
