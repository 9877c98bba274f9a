// SPDX-License-Identifier: Apache-2.0
//
// Gateways of several sites in the model, each with its account of quotas and the allocators that it may come
// to be, under clients that send to them as a scenario says.
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

struct GatewaysOptions {
  std::uint64_t seed = 1;
  std::size_t sites = 3, per_site = 3, allocators = 2;
  quota::Timings timings;
  double clocks_apart = 1;  // of what the drift allows: 0: all clocks are true
  double credited = 0;      // share of the admitted requests that prove not to have run
  double late = 0;          // share of the quota's messages that are sent late
  double again = 0;         // and that are sent once more, late
  Span latest = std::chrono::seconds(4);
  double cost = 1;       // mean units of a request; over 1: costs vary
  Greed greed;           // on: in place of clients that come at a rate
  bool keep_all = true;  // admissions, for the check; false: count only
};

// What became of one partner's requests.
struct Tally {
  std::vector<Admission> admitted;           // in order; without those that were credited
  std::vector<std::uint64_t> asked, inside;  // of each gateway
  std::uint64_t refused_in_error = 0;        // that an all-knowing gate would have let through
  std::uint64_t possible = 0;                // that it would have let through in all
  quota::MilliUnits spent = 0, possible_spent = 0;
};

// Programs are on machines 0 to size() - 1, in the order of the sites.
class Gateways {
 public:
  Gateways(const GatewaysOptions& options, std::shared_ptr<const quota::Budgets> budgets);
  ~Gateways();

  World& world() { return world_; }
  std::size_t size() const { return names_.size(); }
  static std::string SiteName(std::size_t site) { return std::string(1, 's').append(std::to_string(site)); }

  // Clients send a partner's requests to a gateway at this rate from now on, as a Poisson process.
  void SetLoad(std::size_t gateway, const std::string& partner, double per_s);
  // The file of a gateway's machine from now on; a process that runs takes it at once.
  void SetBudgets(std::size_t gateway, std::shared_ptr<const quota::Budgets> budgets);
  // Greedy clients save up from now on, or spend again.
  void Save(bool saving) { saving_ = saving; }
  // Another process takes over the gateway's address; the one before lets its grants end beside it.
  void HandOver(std::size_t gateway);
  // The gateway hands out no grants until those that it has handed out have ended, and gives its leases back.
  void StepDown(std::size_t gateway);
  // The machine that holds a duty, as others see it.
  std::optional<std::size_t> Holder(std::size_t allocator) const {
    return holders_.At(allocator, world_.now());
  }

  const std::map<std::string, Tally>& tallies() const { return tallies_; }
  void ClearTallies();  // counts only what comes from now on

 private:
  class Program;
  friend class Program;
  void Count(std::size_t gateway, const std::string& partner, Moment at, quota::MilliUnits cost, bool inside,
             bool counts);

  const GatewaysOptions options_;
  World world_;
  std::vector<std::string> names_;
  std::vector<Endpoint> addresses_;
  std::map<Endpoint, std::size_t> by_address_;
  quota::SiteLayout layout_;
  std::vector<std::shared_ptr<const quota::Budgets>> files_;
  std::vector<std::map<std::string, double>> loads_;
  std::vector<Endpoint> voters_;
  Holders holders_;
  std::map<std::string, Tally> tallies_;
  std::map<std::string, Window> ideal_;
  std::uint64_t incarnations_ = 0;
  bool saving_ = false;
};

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_QUOTA_GATEWAYS_H_
