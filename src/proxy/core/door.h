// SPDX-License-Identifier: Apache-2.0
//
// Whether clients may come: from the first list to the stop, beside another process of this proxy or alone.
#ifndef LOAD_BALANCER_PROXY_CORE_DOOR_H_
#define LOAD_BALANCER_PROXY_CORE_DOOR_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "load_balancer/balancer.h"

namespace load_balancer::proxy {

class Clients;
class HotRestart;
class ServerDirectory;

class Door {
 public:
  // All that is given outlives this.
  Door(boost::asio::io_context& io, Clients& clients, HotRestart& hot_restart,
       const ServerDirectory& servers);

  // Listens at once, or beside another process of this proxy once the list is fresh.
  void Begin();
  // Fresh news have come.
  void OnList();

  bool Taking() const;
  // To clients all processes of this proxy are one.
  bool Open() const;
  // Makes Taking known to the other process.
  void Tell();

  void Drain();
  void Rejoin();
  // For good; `done` is called when nothing is held any more.
  void Stop(const Settings& settings, std::function<void()> done);

  // What an operator is told who asks.
  enum class State { kTaking, kStopping, kDraining, kUnlisted, kStarting };
  State state() const;

 private:
  void OpenWhenListed();

  Clients& clients_;
  HotRestart& hot_restart_;
  const ServerDirectory& servers_;
  boost::asio::steady_timer timer_;
};

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_CORE_DOOR_H_
