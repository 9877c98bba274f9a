// SPDX-License-Identifier: Apache-2.0
//
// The worst clients that a gateway can have: they spend whatever an account lets through as soon as it does,
// or save it up and spend it at once, so that nothing given too much stays unspent.
#ifndef LOAD_BALANCER_MODEL_QUOTA_SPENDER_H_
#define LOAD_BALANCER_MODEL_QUOTA_SPENDER_H_

#include <chrono>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "quota/account.h"

namespace load_balancer::model {

struct Greed {
  bool on = false;
  Span step = std::chrono::milliseconds(4);       // between two looks at an account
  double cost = 0.5;                              // units of a request; then an eighth of it for what is left
  double probe = 1;                               // of one more that is refused and so tells demand
  double credited = 0;                            // share of what is let through that proves not to have run
  Span proven = std::chrono::milliseconds(1500);  // by then
};

// At one gateway's process. Moments are of its clock.
class Spender {
 public:
  // Of each charge: its partner and units, whether it was inside, and whether it ran.
  using Tell = std::function<void(const std::string& partner, double units, bool inside, bool ran)>;

  Spender(const Greed& greed, std::uint64_t seed, Time now, Tell tell)
      : greed_(greed), random_(seed), next_(now), tell_(std::move(tell)) {}

  // Spends of each partner at each account, unless they save; gives back what proved not to have run.
  void Serve(Time now, const std::vector<quota::Account*>& accounts, const std::vector<std::string>& partners,
             bool saving);
  Time Next() const { return next_; }

 private:
  bool Spend(Time now, quota::Account& account, const std::string& partner, double units);

  struct Unproven {
    Time at;
    quota::Account* account;
    quota::ChargeReceipt receipt;
  };
  const Greed greed_;
  std::mt19937_64 random_;
  Time next_;
  const Tell tell_;
  std::vector<Unproven> unproven_;
};

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_QUOTA_SPENDER_H_
