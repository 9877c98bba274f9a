// SPDX-License-Identifier: Apache-2.0
//
// The Balancer on this machine's clock: events one after the other, its timers, its actions to who carries
// them out.
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
  // `actions` outlives this, and is not called before the first Feed.
  ModuleDriver(boost::asio::io_context& io, const Settings& settings, std::uint64_t seed, Actions& actions);
  ModuleDriver(const ModuleDriver&) = delete;
  ModuleDriver& operator=(const ModuleDriver&) = delete;

  // Carries out what the module makes of the event before it returns; from within an action, soon after.
  void Feed(Event event);

  const ModuleClock& clock() const { return clock_; }
  TimePoint Now() const { return clock_.Now(); }
  LearnedRates learned_rates() const { return balancer_.learned_rates(); }
  // Of a request without a hint, in ms on a standard core: the mean of those answered.
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
