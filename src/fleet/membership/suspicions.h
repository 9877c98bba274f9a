// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Suspicions and their timeouts. As in Lifeguard, each further accuser shortens the timeout of a suspicion.
/// A suspicion raised by a single slow member therefore has a long timeout, in which it can be refuted.
#ifndef LOAD_BALANCER_FLEET_MEMBERSHIP_SUSPICIONS_H_
#define LOAD_BALANCER_FLEET_MEMBERSHIP_SUSPICIONS_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "fleet/membership/options.h"

namespace load_balancer::fleet {

/// The members that are suspected, with their accusers.
class Suspicions {
 public:
  /// Begins the suspicion that `update` reports. Replaces an existing suspicion of the same member.
  /// `present_members` counts the suspect, its accuser and the members that could confirm the suspicion.
  void Begin(Time now, const Update& update, Span min_timeout, std::size_t present_members);
  /// Adds the accuser of `update`. Returns whether it is a new accuser that shortened the timeout.
  bool Confirm(const Update& update);
  /// Ends the suspicion of the member, if there is one.
  void End(const std::string& name) { by_member_.erase(name); }
  void Clear() { by_member_.clear(); }
  /// Extends all timeouts by `stalled_for`, in which this member could not receive refutations.
  void Postpone(Span stalled_for);

  /// Returns the names of up to `max_count` suspects.
  std::vector<std::string> FirstSuspects(std::size_t max_count) const;
  /// Returns the names of the suspects whose timeout has passed.
  std::vector<std::string> ExpiredSuspects(Time now) const;
  /// Returns when the next timeout ends; Time::max() if there is no suspicion.
  Time NextExpiry() const;

 private:
  struct Suspicion {
    Time began_at{};
    Time expires_at{};
    Span min_timeout{};
    Span max_timeout{};
    int wanted_confirmations = 0;  // number of confirmations that reduces the timeout to min_timeout
    std::set<std::string> accusers;
  };

  std::map<std::string, Suspicion> by_member_;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_MEMBERSHIP_SUSPICIONS_H_
