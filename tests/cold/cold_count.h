// SPDX-License-Identifier: Apache-2.0
//
// The operators' rule on cold servers, counted over all processes: a server that is not warm yet falls when
// it gets more than N + 2 roots of N + 2 requests of mean work within the time that the settings name, N
// being what they allow it at that moment. Shares no code with the module.
#ifndef LOAD_BALANCER_TESTS_COLD_COLD_COUNT_H_
#define LOAD_BALANCER_TESTS_COLD_COLD_COUNT_H_

#include <algorithm>
#include <cmath>
#include <deque>

namespace load_balancer::cold {

struct Received {
  double at = 0, work = 0;
  bool told = false;  // by a process that knew of the server's start
};

// Of what came to what may come: by the number of requests, and by their work in mean requests.
struct Ratios {
  double by_number = 0, by_work = 0;
};

class ColdCount {
 public:
  ColdCount(double window, double mean_work) : window_(window), mean_work_(mean_work) {}

  void Clear() { received_.clear(), work_ = 0, told_ = 0; }

  // Counts a request, with all that came within the window before it, against what the server may get then.
  // `allowed_work` is multiple x present capacity x window.
  Ratios Add(const Received& request, double allowed_work) {
    received_.push_back(request);
    work_ += request.work, told_ += request.told;
    while (request.at - received_.front().at > window_) {
      work_ -= received_.front().work, told_ -= received_.front().told;
      received_.pop_front();
    }
    const double n = allowed_work / mean_work_;
    const double most = n + 2 * std::sqrt(n) + 2;
    return {static_cast<double>(received_.size()) / most, work_ / mean_work_ / most};
  }

  std::size_t size() const { return received_.size(); }
  double told_share() const { return static_cast<double>(told_) / static_cast<double>(received_.size()); }

 private:
  double window_, mean_work_, work_ = 0;
  int told_ = 0;
  std::deque<Received> received_;
};

}  // namespace load_balancer::cold

#endif  // LOAD_BALANCER_TESTS_COLD_COLD_COUNT_H_
