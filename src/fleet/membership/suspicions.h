// SPDX-License-Identifier: Apache-2.0
//
// Members that are suspected, until a refutation comes or the time for one is over: Lifeguard's dogpile, by
// which each further accuser shortens that time.
#ifndef LOAD_BALANCER_FLEET_MEMBERSHIP_SUSPICIONS_H_
#define LOAD_BALANCER_FLEET_MEMBERSHIP_SUSPICIONS_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "fleet/membership/options.h"

namespace load_balancer::fleet {

class Suspicions {
 public:
  // Of the update's member by its accuser, while `present` members could confirm it or are the two of them.
  // Takes the place of one that is under way.
  void Begin(Time now, const Update& update, Span shortest, std::size_t present);
  // True if the accuser is one more that counts.
  bool Confirm(const Update& update);
  void End(const std::string& name) { open_.erase(name); }
  void Clear() { open_.clear(); }
  // This member stood still for so long: so long longer.
  void Delay(Span late);

  // Names, up to `most`; and of those whose time is over.
  std::vector<std::string> First(std::size_t most) const;
  std::vector<std::string> Over(Time now) const;
  // When the next one's time is over; Time::max(): there is none.
  Time Next() const;

 private:
  struct Suspicion {
    Time began{}, ends{};
    Span shortest{}, longest{};
    int wanted = 0;  // confirmations that bring it down to the shortest
    std::set<std::string> accusers;
  };

  std::map<std::string, Suspicion> open_;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_MEMBERSHIP_SUSPICIONS_H_
