// SPDX-License-Identifier: Apache-2.0
#include "model/quota/spender.h"

#include <algorithm>

namespace load_balancer::model {
namespace {

constexpr int kMaxChargesPerSeries = 20'000;  // charges of the same cost in one call of Serve

}  // namespace

bool Spender::Spend(Time now, quota::Account& account, const std::string& partner, double units) {
  const quota::ChargeResult charged = account.Charge(now, partner, units);
  const bool admitted = charged.verdict == quota::ChargeVerdict::kWithinBudget;
  const bool ran = !admitted || options_.credited_fraction <= 0 ||
                   std::uniform_real_distribution<>(0, 1)(random_) >= options_.credited_fraction;
  on_charge_(partner, units, admitted, ran);
  if (!ran) {
    const auto delay = std::uniform_int_distribution<Span::rep>(0, options_.max_proof_delay.count())(random_);
    pending_credits_.push_back({now + Span(delay), &account, charged.receipt});
  }
  return admitted;
}

void Spender::Serve(Time now, const std::vector<quota::Account*>& accounts,
                    const std::vector<std::string>& partners, bool saving) {
  if (now < next_) return;
  next_ = now + options_.interval;
  std::erase_if(pending_credits_, [&](const PendingCredit& pending) {
    if (pending.credit_at > now) return false;
    pending.account->Credit(now, pending.receipt);
    return true;
  });
  if (saving) return;
  for (quota::Account* account : accounts)
    for (const std::string& partner : partners) {
      for (const double units : {options_.request_cost, options_.request_cost / 8})
        for (int n = 0; n < kMaxChargesPerSeries && Spend(now, *account, partner, units);) ++n;
      Spend(now, *account, partner, options_.probe_cost);
    }
}

}  // namespace load_balancer::model
