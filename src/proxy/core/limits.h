// SPDX-License-Identifier: Apache-2.0
//
// Limits divides the descriptors of this proxy between clients and servers, and between the processes of a
// hot restart.
#ifndef LOAD_BALANCER_PROXY_CORE_LIMITS_H_
#define LOAD_BALANCER_PROXY_CORE_LIMITS_H_

#include <cstddef>

#include "memory_budget.h"

namespace load_balancer::proxy {

class Backends;
class Clients;
class FederationLink;
class HotRestart;

class Limits {
 public:
  // `sockets` is the number of descriptors that one process may hold. The other arguments must outlive this
  // object. They may be constructed after it.
  Limits(int sockets, HotRestart& hot_restart, const MemoryBudget& memory, Clients& clients,
         Backends& backends, const FederationLink& federation)
      : sockets_(sockets),
        hot_restart_(hot_restart),
        memory_(memory),
        clients_(clients),
        backends_(backends),
        federation_(federation) {}

  // Return the present limits of this process on connections.
  std::size_t MostClients() const;
  std::size_t MostBackends() const;

  // Publishes the usage of this process. Two processes share the limits of one: each closes idle connections
  // beyond its fair share.
  void Share(int processes);

 private:
  void Publish() const;
  double Descriptors(int processes) const;
  // Returns how many connections of clients, or to servers, the memory allows.
  double MemoryConnections() const;

  const int sockets_;
  HotRestart& hot_restart_;
  const MemoryBudget& memory_;
  Clients& clients_;
  Backends& backends_;
  const FederationLink& federation_;
};

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_CORE_LIMITS_H_
