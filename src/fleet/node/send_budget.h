// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// A token bucket that limits the bytes that a member sends.
#ifndef LOAD_BALANCER_FLEET_NODE_SEND_BUDGET_H_
#define LOAD_BALANCER_FLEET_NODE_SEND_BUDGET_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <utility>

#include "base/time.h"

namespace load_balancer::fleet {

/// Limits the bytes sent to `max_bytes_per_second`, with bursts of up to the bytes of one second.
class SendBudget {
 public:
  /// The share of the capacity that bulk traffic must leave for probes, leases and other urgent messages.
  static constexpr double kReservedShare = 0.5;

  SendBudget(double max_bytes_per_second, Time now)
      : max_bytes_per_second_(max_bytes_per_second), available_(max_bytes_per_second), refilled_at_(now) {}

  /// Spends `bytes` if that many are available; otherwise returns false.
  bool TrySpend(Time now, std::size_t bytes) { return TrySpendAbove(now, bytes, 0); }
  /// Spends `bytes` for bulk traffic if that many are available above the reserved share.
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
