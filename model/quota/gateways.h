// SPDX-License-Identifier: Apache-2.0
//
// The gateways of several sites in the model. Each gateway has a quota account and can become the holder of
// allocators' leases. A scenario sets the load that clients put on each gateway.
#ifndef LOAD_BALANCER_MODEL_QUOTA_GATEWAYS_H_
#define LOAD_BALANCER_MODEL_QUOTA_GATEWAYS_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "model/quota/lease_member.h"
#include "model/quota/overspend_check.h"
#include "model/quota/spender.h"
#include "model/world.h"
#include "quota/account.h"
#include "quota/allocator.h"

namespace load_balancer::model {

// The size of the modelled federation, its clocks, network faults and clients.
struct GatewaysOptions {
  std::uint64_t seed = 1;
  std::size_t sites = 3, per_site = 3, allocators = 2;  // per_site: the number of gateways of a site
  quota::Timings timings;
  double clock_error = 1;          // largest clock error as a fraction of the allowed drift; 0: exact clocks
  double credited_fraction = 0;    // fraction of the admitted requests that are proven not to have run
  double delayed_fraction = 0;     // fraction of the quota messages that are delayed
  double duplicated_fraction = 0;  // fraction of the quota messages that are sent again after a delay
  Span max_delay = std::chrono::seconds(4);  // the longest delay of delayed and duplicated messages
  double mean_cost = 1;                      // mean units per request; if over 1, costs vary
  SpenderOptions spender;                    // if enabled, used instead of the clients of SetLoad
  bool record_admissions = true;             // false: requests are counted, but admissions are not recorded
};

// Counts of one partner's requests. The ideal limiter sees the requests of all gateways at once.
struct PartnerTally {
  std::vector<Admission> admissions;               // in order of time, without credited requests
  std::vector<std::uint64_t> requests_by_gateway;  // by gateway
  std::vector<std::uint64_t> admitted_by_gateway;  // by gateway, without credited requests
  std::uint64_t wrongly_rejected = 0;  // rejected, though the ideal limiter would have admitted them
  std::uint64_t ideal_admitted = 0;    // requests that the ideal limiter would have admitted
  quota::MilliUnits spent = 0, ideal_spent = 0;
};

// Runs the gateways on machines 0 to size() - 1, in the order of the sites.
class Gateways {
 public:
  Gateways(const GatewaysOptions& options, std::shared_ptr<const quota::Budgets> budgets);
  ~Gateways();

  World& world() { return world_; }
  std::size_t size() const { return names_.size(); }
  static std::string SiteName(std::size_t site) { return std::string(1, 's').append(std::to_string(site)); }

  // Sets the rate at which clients send a partner's requests to a gateway from now on, as a Poisson process.
  void SetLoad(std::size_t gateway, const std::string& partner, double per_s);
  // Replaces the budgets of a gateway's configuration file. A running process applies them at once.
  void SetBudgets(std::size_t gateway, std::shared_ptr<const quota::Budgets> budgets);
  // Sets whether the worst-case clients (Spender) let the buckets of their accounts fill instead of spending
  // the tokens.
  void SetSaving(bool saving) { saving_ = saving; }
  // Makes another process take over the gateway's address. The previous process keeps running until its
  // grants expire.
  void HandOver(std::size_t gateway);
  // Makes the gateway stop issuing grants and release its leases once the grants that it issued have expired.
  void StepDown(std::size_t gateway);
  // Returns the machine that the other machines regard as the holder of the allocator's lease.
  std::optional<std::size_t> Holder(std::size_t allocator) const {
    return holders_.HolderAt(allocator, world_.now());
  }

  const std::map<std::string, PartnerTally>& tallies() const { return tallies_; }
  void ClearTallies();  // discards the counts so far

 private:
  class Program;
  friend class Program;
  // Counts a request in the partner's tally. `ran` is false for a request that is credited.
  void CountRequest(std::size_t gateway, const std::string& partner, Moment at, quota::MilliUnits cost,
                    bool admitted, bool ran);

  const GatewaysOptions options_;
  World world_;
  std::vector<std::string> names_;
  std::vector<Endpoint> addresses_;
  std::map<Endpoint, std::size_t> by_address_;
  quota::SiteLayout layout_;
  std::vector<std::shared_ptr<const quota::Budgets>> budgets_;  // by gateway
  std::vector<std::map<std::string, double>> loads_;            // by gateway and partner, requests per second
  std::vector<Endpoint> voters_;
  RoleHolders holders_;
  std::map<std::string, PartnerTally> tallies_;
  std::map<std::string, ExactTokenBucket> ideal_limiters_;  // by partner
  std::uint64_t last_incarnation_ = 0;
  bool saving_ = false;
};

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_QUOTA_GATEWAYS_H_
