// SPDX-License-Identifier: Apache-2.0
//
// ModuleDriver runs the Balancer in real time: it queues the events, sets the timers and passes on the
// actions.
#ifndef LOAD_BALANCER_PROXY_CORE_MODULE_DRIVER_H_
#define LOAD_BALANCER_PROXY_CORE_MODULE_DRIVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <map>

#include "clock.h"
#include "load_balancer/balancer.h"

namespace load_balancer::proxy {

class Actions;

class ModuleDriver {
 public:
  // `actions` must outlive this object and is not used before the first Feed.
  ModuleDriver(boost::asio::io_context& io, const Settings& settings, std::uint64_t seed, Actions& actions);
  ModuleDriver(const ModuleDriver&) = delete;
  ModuleDriver& operator=(const ModuleDriver&) = delete;

  // Handles an event and carries out the resulting actions before it returns. An event that an action causes
  // is queued and handled after the actions of the present event.
  void Feed(Event event);

  const ModuleClock& clock() const { return clock_; }
  TimePoint Now() const { return clock_.Now(); }
  LearnedRates learned_rates() const { return balancer_.learned_rates(); }
  // Returns the mean work of the requests served, in ms on a standard core; 1 if it is unknown.
  double MeanWork() const;
  load_balancer::SpareCapacity EstimateSpareCapacity() const {
    return balancer_.EstimateSpareCapacity(Now());
  }

 private:
  void HandleQueued();
  void ArmTimer();

  ModuleClock clock_;
  Actions& actions_;
  Balancer balancer_;
  std::deque<Event> events_;
  bool handling_ = false;
  std::multimap<TimePoint, std::uint64_t> timers_;
  TimePoint armed_for_;
  boost::asio::steady_timer timer_;
};

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_CORE_MODULE_DRIVER_H_
