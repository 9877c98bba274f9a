// SPDX-License-Identifier: Apache-2.0
//
// The floors of one partner's budget, gateway by gateway.
#ifndef LOAD_BALANCER_QUOTA_RESERVED_MINIMUMS_H_
#define LOAD_BALANCER_QUOTA_RESERVED_MINIMUMS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "quota/budget.h"

namespace load_balancer::quota {

using GatewayId = std::uint32_t;  // in the order of sites and names

// The configured gateways as numbers.
class Gateways {
 public:
  explicit Gateways(const Layout& layout);
  std::size_t size() const { return names_.size(); }
  const GatewayId* Find(const std::string& name) const;  // null: not configured
  const std::string& name(GatewayId gateway) const { return names_[gateway]; }
  std::size_t site(GatewayId gateway) const { return sites_of_[gateway]; }
  const std::vector<std::pair<std::string, std::size_t>>& sites() const {
    return sites_;
  }  // with their sizes

 private:
  std::vector<std::pair<std::string, std::size_t>> sites_;
  std::vector<std::string> names_;
  std::vector<std::size_t> sites_of_;
  std::map<std::string, GatewayId> by_name_;
};

// Which gateways have told that they have the present budgets, and what the others may go by.
struct Revisions {
  std::shared_ptr<const Budgets> present;
  std::vector<std::shared_ptr<const Budgets>> before;  // since the last time that all had the same
  std::vector<bool> heard;                             // by gateway
  std::size_t count = 0;                               // of those heard
  Time complete = Time::min();                         // since when all are

  // A floor that grew may be had: all have told since `wait` ago, so that grants by files of before are over.
  bool Agreed(Time now, Span wait) const { return count == heard.size() && now - wait >= complete; }
  void Hear(Time now, GatewayId gateway, bool present_one);
  void Renew(std::shared_ptr<const Budgets> budgets);
};

// A gateway that may still go by other budgets has the larger floor of all of them.
class Floors {
 public:
  Floors(const std::string& partner, const Gateways& gateways, const Revisions& revisions);
  Part Of(GatewayId gateway) const {
    const auto& by_site = doubtful_.empty() || (*heard_)[gateway] ? sure_ : doubtful_;
    return by_site[gateways_->site(gateway)];
  }
  // By the present budgets, whatever the gateway goes by.
  Part Sure(GatewayId gateway) const { return sure_[gateways_->site(gateway)]; }
  Part total() const { return total_; }

 private:
  const Gateways* gateways_;
  const std::vector<bool>* heard_;
  std::vector<Part> sure_, doubtful_;  // by site; doubtful_: empty if there is no doubt
  Part total_;
};

}  // namespace load_balancer::quota

#endif  // LOAD_BALANCER_QUOTA_RESERVED_MINIMUMS_H_
