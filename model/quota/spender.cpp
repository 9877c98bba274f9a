// SPDX-License-Identifier: Apache-2.0
#include "model/quota/spender.h"

#include <algorithm>

namespace load_balancer::model {
namespace {

constexpr int kMostAtOnce = 20'000;  // charges of one cost

}  // namespace

bool Spender::Spend(Time now, quota::Account& account, const std::string& partner, double units) {
  const quota::ChargeResult charged = account.Charge(now, partner, units);
  const bool inside = charged.verdict == quota::ChargeVerdict::kWithinBudget;
  const bool ran =
      !inside || greed_.credited <= 0 || std::uniform_real_distribution<>(0, 1)(random_) >= greed_.credited;
  tell_(partner, units, inside, ran);
  if (!ran) {
    const auto in = std::uniform_int_distribution<Span::rep>(0, greed_.proven.count())(random_);
    unproven_.push_back({now + Span(in), &account, charged.receipt});
  }
  return inside;
}

void Spender::Serve(Time now, const std::vector<quota::Account*>& accounts,
                    const std::vector<std::string>& partners, bool saving) {
  if (now < next_) return;
  next_ = now + greed_.step;
  std::erase_if(unproven_, [&](const Unproven& one) {
    if (one.at > now) return false;
    one.account->Credit(now, one.receipt);
    return true;
  });
  if (saving) return;
  for (quota::Account* account : accounts)
    for (const std::string& partner : partners) {
      for (const double units : {greed_.cost, greed_.cost / 8})
        for (int n = 0; n < kMostAtOnce && Spend(now, *account, partner, units);) ++n;
      Spend(now, *account, partner, greed_.probe);
    }
}

}  // namespace load_balancer::model
