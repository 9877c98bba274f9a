// SPDX-License-Identifier: Apache-2.0
//
// Door decides when this process accepts clients: from the first endpoint list until the stop, alone or
// during a hot restart.
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
  // All arguments must outlive this object.
  Door(boost::asio::io_context& io, Clients& clients, HotRestart& hot_restart,
       const ServerDirectory& servers);

  // Starts to listen: at once, or, during a hot restart, when discovery has answered or a time limit has
  // passed.
  void Begin();
  // Handles a list from discovery.
  void OnList();

  // Returns whether this process accepts clients.
  bool Taking() const;
  // Returns whether this process or the one that replaces it accepts clients.
  bool Open() const;
  // Publishes Taking() to the other process of a hot restart.
  void Tell();

  void Drain();
  void Rejoin();
  // Stops for good. Calls `done` when no request is pending.
  void Stop(const Settings& settings, std::function<void()> done);

  // The state as reported to operators.
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
