// SPDX-License-Identifier: Apache-2.0
//
// How much of a partner's traffic comes to one gateway now.
#ifndef LOAD_BALANCER_QUOTA_DEMAND_ESTIMATOR_H_
#define LOAD_BALANCER_QUOTA_DEMAND_ESTIMATOR_H_

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>

#include "base/time.h"
#include "quota/amount.h"

namespace load_balancer::quota {

// Two scales of two windows each: the last second beside its last 150 to 200 ms, and the last 8 s beside
// their last 1.2 to 1.6 s. The finer scale counts where it holds so many charges that their number tells the
// rate; sparse traffic is measured by the coarser one, or its noise would move the partner's budget to and
// fro. Traffic is counted anew from a short window's begin where that differs from the long one by more than
// three standard deviations of a Poisson process of the long one's rate, so a shift of heavy traffic is
// noticed within 200 ms, up or down. Silence of 150 ms or more in which seven charges were expected
// is the end of the traffic.
class Demand {
 public:
  static constexpr Span kBin = std::chrono::milliseconds(50);

  void Add(Time now, Milli cost);
  // A second. 0 once the silence is the end of the traffic, 8 s after the last charge at the latest.
  Milli Estimate(Time now);
  // The largest single cost of the last 8 s or more; 0: none.
  Milli Largest(Time now);

 private:
  static constexpr int kLong = 20, kShort = 3;                 // bins; each window has the present bin, too
  static constexpr std::int64_t kFar = std::int64_t{1} << 40;  // over the number of any bin, also under zero
  static constexpr Span kCoarse = 8 * kBin;
  static constexpr Milli kTelling = 32;  // charges of the largest cost that tell a rate

  // One scale.
  class Scale {
   public:
    Scale(Span bin, Span least) : width_(bin), least_(least) {}
    void Advance(Time now);
    void Add(Milli cost) { Bin(bin_) += cost; }
    Milli Sum(int bins) const;
    Milli Counted() const { return Sum(kLong); }
    // Whether the traffic is now another than it was.
    bool Shifted(Time now, double largest) const;
    double Rate(Time now) const;
    // Counts only from so many bins before the present one on.
    void CountFrom(int bins) { first_ = std::max(first_, bin_ - bins); }
    // Begins anew with the present bin as if `sum` were all that came.
    void Restart(Milli sum);

   private:
    Milli& Bin(std::int64_t number) {
      return bins_[static_cast<std::uint64_t>(number + kFar) % bins_.size()];
    }
    Milli Bin(std::int64_t number) const {
      return bins_[static_cast<std::uint64_t>(number + kFar) % bins_.size()];
    }
    // A window in seconds: so many whole bins and what has passed of the present one, and no more than there
    // has been traffic for, but `least`.
    double Window(Time now, int bins) const;

    const Span width_, least_;
    std::array<Milli, kLong + 1> bins_{};
    std::int64_t bin_ = -kFar;  // the present one's number
    std::int64_t first_ = 0;    // of the traffic that is counted
  };

  void Advance(Time now);

  Scale fine_{kBin, kBin}, coarse_{kCoarse, kCoarse / 2};  // one charge alone stands for 200 ms
  Time last_;                                              // charge
  std::int64_t period_ = -kFar;                            // of the largest cost
  Milli largest_ = 0, largest_before_ = 0;                 // of this and the last period
};

}  // namespace load_balancer::quota

#endif  // LOAD_BALANCER_QUOTA_DEMAND_ESTIMATOR_H_
