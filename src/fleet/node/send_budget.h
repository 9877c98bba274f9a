// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// A token bucket for the bytes that a member sends.
#ifndef LOAD_BALANCER_FLEET_NODE_SEND_BUDGET_H_
#define LOAD_BALANCER_FLEET_NODE_SEND_BUDGET_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <utility>

#include "base/time.h"

namespace load_balancer::fleet {

/// Refills at `max_bytes_per_second` and holds one second's worth.
class SendBudget {
 public:
  /// The part of a second's worth that bulk traffic leaves to probes, leases and what else cannot wait.
  static constexpr double kReservedShare = 0.5;

  SendBudget(double max_bytes_per_second, Time now)
      : max_bytes_per_second_(max_bytes_per_second), available_(max_bytes_per_second), refilled_at_(now) {}

  /// Spends `bytes` if so many are available.
  bool TrySpend(Time now, std::size_t bytes) { return TrySpendAbove(now, bytes, 0); }
  /// The same, but leaves the reserve.
  bool TrySpendBulk(Time now, std::size_t bytes) {
    return TrySpendAbove(now, bytes, kReservedShare * max_bytes_per_second_);
  }

 private:
  bool TrySpendAbove(Time now, std::size_t bytes, double reserve) {
    Refill(now);
    if (available_ - reserve < static_cast<double>(bytes)) return false;
    available_ -= static_cast<double>(bytes);
    return true;
  }

  void Refill(Time now) {
    const std::chrono::duration<double> elapsed = now - std::exchange(refilled_at_, now);
    available_ = std::min(max_bytes_per_second_, available_ + max_bytes_per_second_ * elapsed.count());
  }

  const double max_bytes_per_second_;
  double available_;  // bytes
  Time refilled_at_;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_NODE_SEND_BUDGET_H_
