// SPDX-License-Identifier: Apache-2.0
/// @file
/// The attempts that count against this proxy's limit on attempts in flight.
#ifndef LOAD_BALANCER_SRC_POLICY_ATTEMPTS_IN_FLIGHT_H_
#define LOAD_BALANCER_SRC_POLICY_ATTEMPTS_IN_FLIGHT_H_

#include <cstddef>
#include <set>

#include "policy/request.h"

namespace load_balancer {

/// Holds the attempts whose response has neither begun nor become overdue. Attempts for overflow from
/// other sites do not count against the limit, so they are counted separately.
class AttemptsInFlight {
 public:
  /// Adds the last attempt of the request. RemoveOverdue removes it after Attempt::overdue_at.
  void Add(const Request& request);

  /// Removes an attempt; returns whether it was present.
  bool Remove(const Request& request, int attempt);

  /// Removes the overdue attempts; returns whether there were any.
  bool RemoveOverdue(TimePoint now);

  [[nodiscard]] TimePoint next_overdue() const;  ///< kNever if there is no attempt
  [[nodiscard]] std::size_t size() const { return awaited_.size(); }
  [[nodiscard]] bool empty() const { return awaited_.empty(); }

  /// Counts an overflow attempt that was sent (AddOverflow) or has ended (RemoveOverflow).
  void AddOverflow() { ++overflow_; }
  void RemoveOverflow() { --overflow_; }
  [[nodiscard]] int overflow() const { return overflow_; }

 private:
  struct Awaited {
    TimePoint overdue_at{};
    RequestId request = 0;
    int attempt = 0;

    bool operator<(const Awaited& other) const;
  };

  std::set<Awaited> awaited_;
  int overflow_ = 0;
};

}  // namespace load_balancer

#endif  // LOAD_BALANCER_SRC_POLICY_ATTEMPTS_IN_FLIGHT_H_
