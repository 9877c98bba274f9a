// SPDX-License-Identifier: Apache-2.0
//
// Measures how evenly a budget was shared among gateways.
#ifndef LOAD_BALANCER_MODEL_QUOTA_SCALE_FAIRNESS_H_
#define LOAD_BALANCER_MODEL_QUOTA_SCALE_FAIRNESS_H_

#include <algorithm>
#include <vector>

namespace load_balancer::model::scale {

// Returns the max-min fair shares of `capacity`. No share exceeds its demand.
inline std::vector<double> MaxMinShares(double capacity, const std::vector<double>& demands) {
  std::vector<double> sorted = demands;
  std::sort(sorted.begin(), sorted.end());
  double level = 0, remaining = capacity;
  for (std::size_t i = 0; i < sorted.size(); ++i) {
    level = std::max(remaining, 0.0) / static_cast<double>(sorted.size() - i);
    if (sorted[i] >= level) break;
    remaining -= sorted[i];
    level = sorted[i];
  }
  std::vector<double> shares;
  for (const double demand : demands) shares.push_back(std::min(demand, level));
  return shares;
}

// Divides the sum of `received` into max-min fair shares, and returns Jain's fairness index of the ratios of
// received amount to fair share. The index is 1 if all ratios are equal, and 1 / n if one of n entries
// received everything. Entries whose fair share is 0 are ignored. Returns 1 if there are no other entries.
inline double JainIndex(const std::vector<double>& received, const std::vector<double>& demands) {
  double total = 0;
  for (const double amount : received) total += amount;
  const std::vector<double> fair_shares = MaxMinShares(total, demands);
  double sum = 0, squares = 0, count = 0;
  for (std::size_t i = 0; i < received.size(); ++i) {
    if (fair_shares[i] <= 0) continue;
    const double ratio = received[i] / fair_shares[i];
    sum += ratio;
    squares += ratio * ratio;
    ++count;
  }
  return squares > 0 ? sum * sum / (count * squares) : 1;
}

}  // namespace load_balancer::model::scale

#endif  // LOAD_BALANCER_MODEL_QUOTA_SCALE_FAIRNESS_H_
