// SPDX-License-Identifier: Apache-2.0
//
// A cluster of many gateways with clients of many partners, in virtual time. Each gateway has a quota
// account, and some gateways can become holders of allocators' leases. Message sizes are those of the wire
// format.
#ifndef LOAD_BALANCER_MODEL_QUOTA_SCALE_GATEWAY_CLUSTER_H_
#define LOAD_BALANCER_MODEL_QUOTA_SCALE_GATEWAY_CLUSTER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "model/quota/lease_member.h"
#include "model/quota/scale/clients.h"
#include "model/world.h"
#include "quota/account.h"
#include "quota/allocator.h"

namespace load_balancer::model::scale {

// The size of a cluster, its clocks and its network.
struct GatewayClusterOptions {
  std::uint64_t seed = 1;
  std::size_t sites = 3, per_site = 3;  // per_site: the number of gateways of a site
  std::size_t allocators = 4;
  std::size_t candidates = 9;  // gateways that request the allocators' leases, spread over the sites
  quota::Timings timings;
  double (*cpu_seconds)() = nullptr;  // returns the CPU time of this thread; null: costs are not measured
  double clock_error = 0.001;         // largest clock error as a fraction of the allowed drift
  // The range of the one-way network delay between sites.
  Moment min_intersite_delay = std::chrono::milliseconds(8),
         max_intersite_delay = std::chrono::milliseconds(15);
};

// One request and whether its gateway admitted it.
struct ChargedRequest {
  Moment at;
  std::uint32_t gateway = 0;
  bool admitted = false;
};

// The costs of all gateways or of all allocators.
struct Costs {
  std::uint64_t messages = 0, bytes = 0;  // messages sent and their total size
  std::uint64_t entries = 0;  // grant requests, acks, grants, recalls and reserved minimums in the messages
  std::uint64_t charges = 0;
  double charge_cpu_s = 0, other_cpu_s = 0;  // CPU time of charges, and of all other calls
};

// The cluster and its virtual world.
class GatewayCluster {
 public:
  GatewayCluster(const GatewayClusterOptions& options, std::shared_ptr<const quota::Budgets> budgets);
  ~GatewayCluster();

  World& world() { return world_; }
  const GatewayClusterOptions& options() const { return options_; }
  std::size_t size() const { return names_.size(); }
  static std::string SiteName(std::size_t site) { return std::string(1, 's').append(std::to_string(site)); }
  std::size_t SiteOf(std::size_t gateway) const { return gateway / options_.per_site; }
  const std::string& partner(PartnerId id) const { return partners_[id]; }

  Clients& clients(std::size_t gateway) { return clients_[gateway]; }
  // Makes the gateway recompute when to act next. Call this function after a change of the gateway's clients.
  void Wake(std::size_t gateway);
  // Crashes the gateway. Its clients move to the next gateway of the same site.
  void Crash(std::size_t gateway);

  // Returns the requests since the last call, by partner, in order of time.
  std::vector<std::vector<ChargedRequest>> TakeRequests();
  // Returns the machine that the other machines regard as the holder of the allocator's lease. Returns
  // nothing if that machine is down.
  std::optional<std::size_t> Holder(std::size_t allocator);

  const Costs& gateways() const { return gateway_costs_; }
  const Costs& allocators() const { return allocator_costs_; }
  void ClearCosts() { gateway_costs_ = allocator_costs_ = {}; }

 private:
  class Program;
  friend class Program;
  // Adds to `sum` the CPU time since `begin`, multiplied by `times`. Excludes the time of reading the CPU
  // clock.
  void AddCpuTime(double begin, double* sum, double times = 1) const {
    *sum += times * (CpuSeconds() - begin - clock_read_s_);
  }
  double CpuSeconds() const { return options_.cpu_seconds ? options_.cpu_seconds() : 0; }

  const GatewayClusterOptions options_;
  const std::shared_ptr<const quota::Budgets> budgets_;
  World world_;
  std::vector<std::string> names_, partners_;
  std::vector<Endpoint> addresses_;
  std::map<Endpoint, std::size_t> by_address_;
  std::map<std::string, std::size_t> by_name_;
  quota::SiteLayout layout_;
  std::vector<MachineClock> clocks_;
  std::vector<Endpoint> voters_;
  std::vector<bool> is_candidate_;  // by gateway
  RoleHolders holders_;
  std::vector<Clients> clients_;                       // by gateway
  std::vector<std::vector<ChargedRequest>> requests_;  // by partner
  Costs gateway_costs_, allocator_costs_;
  double clock_read_s_ = 0;  // CPU time of one reading of the CPU clock
  std::uint64_t last_incarnation_ = 0;
};

}  // namespace load_balancer::model::scale

#endif  // LOAD_BALANCER_MODEL_QUOTA_SCALE_GATEWAY_CLUSTER_H_
