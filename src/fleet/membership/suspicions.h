// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Suspicions and their timeouts. By Lifeguard's dogpile, each further accuser shortens the timeout, so that
/// a suspicion that only a slow member has takes long to become a death.
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
  /// Begins the suspicion that `update` makes known, in place of one of the same member. `present_members`
  /// counts the suspect, its accuser and those that could confirm it.
  void Begin(Time now, const Update& update, Span min_timeout, std::size_t present_members);
  /// Adds the accuser of `update`. Returns whether it is one more that counts.
  bool Confirm(const Update& update);
  void End(const std::string& name) { by_member_.erase(name); }
  void Clear() { by_member_.clear(); }
  /// Extends all timeouts, since this member heard no refutation while it stalled.
  void Postpone(Span stalled_for);

  /// Names of up to `max_count` suspects.
  std::vector<std::string> FirstSuspects(std::size_t max_count) const;
  /// Names of the suspects whose timeout is over.
  std::vector<std::string> ExpiredSuspects(Time now) const;
  /// When the next timeout is over; Time::max() if there is no suspicion.
  Time NextExpiry() const;

 private:
  struct Suspicion {
    Time began_at{};
    Time expires_at{};
    Span min_timeout{};
    Span max_timeout{};
    int wanted_confirmations = 0;  // that bring the timeout down to the shortest
    std::set<std::string> accusers;
  };

  std::map<std::string, Suspicion> by_member_;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_MEMBERSHIP_SUSPICIONS_H_
