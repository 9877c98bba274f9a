// SPDX-License-Identifier: Apache-2.0
/// @file
/// The attempts that count against this proxy's limit in flight.
#ifndef LOAD_BALANCER_SRC_POLICY_ATTEMPTS_IN_FLIGHT_H_
#define LOAD_BALANCER_SRC_POLICY_ATTEMPTS_IN_FLIGHT_H_

#include <cstddef>
#include <set>

#include "policy/request.h"

namespace load_balancer {

/// Attempts whose response is awaited, until it begins or is overdue. The overflow of other sites is only
/// counted: it takes nothing of the limit.
class AttemptsInFlight {
 public:
  /// The last attempt of the request awaits its response from now on, until Attempt::overdue_at.
  void Add(const Request& request);

  /// True if the attempt was awaited.
  bool Remove(const Request& request, int attempt);

  /// Removes overdue attempts; true if there were any.
  bool RemoveOverdue(TimePoint now);

  [[nodiscard]] TimePoint next_overdue() const;  ///< kNever where no attempt is awaited
  [[nodiscard]] std::size_t size() const { return awaited_.size(); }
  [[nodiscard]] bool empty() const { return awaited_.empty(); }

  /// An attempt of an overflow request was sent, or has ended.
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
