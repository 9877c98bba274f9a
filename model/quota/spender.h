// SPDX-License-Identifier: Apache-2.0
//
// The worst-case clients of a gateway. Either they spend tokens as soon as an account's bucket has them, or
// they let the bucket fill and then spend all tokens at once. Every excess allocation therefore becomes an
// overspend.
#ifndef LOAD_BALANCER_MODEL_QUOTA_SPENDER_H_
#define LOAD_BALANCER_MODEL_QUOTA_SPENDER_H_

#include <chrono>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "quota/account.h"

namespace load_balancer::model {

// The behaviour of a Spender, that is, of the worst-case clients of one process.
struct SpenderOptions {
  bool enabled = false;
  Span interval = std::chrono::milliseconds(4);  // between two series of charges
  double request_cost = 0.5;     // units per request; the rest of the bucket is spent in eighths of this cost
  double probe_cost = 1;         // units of a series' last request; its rejection counts as demand
  double credited_fraction = 0;  // fraction of admitted requests that turn out not to have run
  Span max_proof_delay = std::chrono::milliseconds(1500);  // the longest time from a charge to its credit
};

// The clients of one gateway's process. All times are readings of that process's clock.
class Spender {
 public:
  // Called for each charge with its partner, its cost, whether it was admitted, and whether the request ran.
  using ChargeCallback =
      std::function<void(const std::string& partner, double units, bool admitted, bool ran)>;

  Spender(const SpenderOptions& options, std::uint64_t seed, Time now, ChargeCallback on_charge)
      : options_(options), random_(seed), next_(now), on_charge_(std::move(on_charge)) {}

  // Credits the charges of requests that did not run, if this is known by `now`. Unless `saving` is true,
  // then charges requests of each partner to each account until the account rejects them.
  void Serve(Time now, const std::vector<quota::Account*>& accounts, const std::vector<std::string>& partners,
             bool saving);
  Time Next() const { return next_; }

 private:
  bool Spend(Time now, quota::Account& account, const std::string& partner, double units);

  // The charge of a request that did not run. The charge is credited at `credit_at`.
  struct PendingCredit {
    Time credit_at;
    quota::Account* account;
    quota::ChargeReceipt receipt;
  };
  const SpenderOptions options_;
  std::mt19937_64 random_;
  Time next_;
  const ChargeCallback on_charge_;
  std::vector<PendingCredit> pending_credits_;
};

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_QUOTA_SPENDER_H_
