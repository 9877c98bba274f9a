// SPDX-License-Identifier: Apache-2.0
//
// How evenly a budget was shared among gateways.
#ifndef LOAD_BALANCER_MODEL_QUOTA_SCALE_FAIRNESS_H_
#define LOAD_BALANCER_MODEL_QUOTA_SCALE_FAIRNESS_H_

#include <algorithm>
#include <vector>

namespace load_balancer::model::scale {

// Max-min fair shares of `capacity`, none over its demand.
inline std::vector<double> MaxMin(double capacity, const std::vector<double>& demands) {
  std::vector<double> sorted = demands;
  std::sort(sorted.begin(), sorted.end());
  double level = 0, left = capacity;
  for (std::size_t i = 0; i < sorted.size(); ++i) {
    level = std::max(left, 0.0) / static_cast<double>(sorted.size() - i);
    if (sorted[i] >= level) break;
    left -= sorted[i];
    level = sorted[i];
  }
  std::vector<double> shares;
  for (const double demand : demands) shares.push_back(std::min(demand, level));
  return shares;
}

// Jain's index of what each got against its max-min fair share of all that was got: 1 where all got the same
// part of their share, 1 / n where one of n got all. Those without a share do not count; 1 if nobody counts.
inline double JainIndex(const std::vector<double>& got, const std::vector<double>& demands) {
  double all = 0;
  for (const double one : got) all += one;
  const std::vector<double> fair = MaxMin(all, demands);
  double sum = 0, squares = 0, count = 0;
  for (std::size_t i = 0; i < got.size(); ++i) {
    if (fair[i] <= 0) continue;
    const double part = got[i] / fair[i];
    sum += part;
    squares += part * part;
    ++count;
  }
  return squares > 0 ? sum * sum / (count * squares) : 1;
}

}  // namespace load_balancer::model::scale

#endif  // LOAD_BALANCER_MODEL_QUOTA_SCALE_FAIRNESS_H_
