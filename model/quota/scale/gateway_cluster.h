// SPDX-License-Identifier: Apache-2.0
//
// Many gateways under many partners' clients, in virtual time: each with its account of quotas, and some that
// may come to be allocators. What goes between them is packed as on the wire.
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

struct CrowdOptions {
  std::uint64_t seed = 1;
  std::size_t sites = 3, per_site = 3;
  std::size_t allocators = 4;
  std::size_t candidates = 9;  // gateways that ask for the allocators' leases, one a site in turn
  quota::Timings timings;
  double (*processor_s)() = nullptr;  // processor time of this thread so far; null: costs are not timed
  double clocks_apart = 0.001;        // of what the drift allows
  Moment wide_least = std::chrono::milliseconds(8),
         wide_most = std::chrono::milliseconds(15);  // between sites
};

// One request as it was offered and judged.
struct Offered {
  Moment at;
  std::uint32_t gateway = 0;
  bool inside = false;
};

// Of all gateways, or of all allocators, together.
struct Costs {
  std::uint64_t messages = 0, bytes = 0;  // sent
  std::uint64_t entries = 0;  // grant requests, acks, grants, recalls and reserved minimums in them
  std::uint64_t charges = 0;
  double charges_s = 0, rest_s = 0;  // processor time in the classes: charging; all else
};

class Crowd {
 public:
  Crowd(const CrowdOptions& options, std::shared_ptr<const quota::Budgets> budgets);
  ~Crowd();

  World& world() { return world_; }
  const CrowdOptions& options() const { return options_; }
  std::size_t size() const { return names_.size(); }
  static std::string SiteName(std::size_t site) { return std::string(1, 's').append(std::to_string(site)); }
  std::size_t SiteOf(std::size_t gateway) const { return gateway / options_.per_site; }
  const std::string& partner(PartnerId id) const { return partners_[id]; }

  Clients& clients(std::size_t gateway) { return clients_[gateway]; }
  // After its clients got a change that may come before what it waits for.
  void Wake(std::size_t gateway);
  // Its clients go to the next gateway of its site.
  void Crash(std::size_t gateway);

  // Requests since the last call, of each partner, in order.
  std::vector<std::vector<Offered>> TakeOffered();
  // The machine that holds the duty as others see it, while it runs.
  std::optional<std::size_t> Holder(std::size_t allocator);

  const Costs& gateways() const { return gateway_costs_; }
  const Costs& allocators() const { return allocator_costs_; }
  void ClearCosts() { gateway_costs_ = allocator_costs_ = {}; }

 private:
  class Program;
  friend class Program;
  // A measurement's own cost is taken off.
  void Timed(double begin, double* sum, double times = 1) const {
    *sum += times * (Processor() - begin - clock_s_);
  }
  double Processor() const { return options_.processor_s ? options_.processor_s() : 0; }

  const CrowdOptions options_;
  const std::shared_ptr<const quota::Budgets> budgets_;
  World world_;
  std::vector<std::string> names_, partners_;
  std::vector<Endpoint> addresses_;
  std::map<Endpoint, std::size_t> by_address_;
  std::map<std::string, std::size_t> by_name_;
  quota::SiteLayout layout_;
  std::vector<MachineClock> clocks_;
  std::vector<Endpoint> voters_;
  std::vector<bool> candidate_;
  Holders holders_;
  std::vector<Clients> clients_;
  std::vector<std::vector<Offered>> offered_;
  Costs gateway_costs_, allocator_costs_;
  double clock_s_ = 0;
  std::uint64_t incarnations_ = 0;
};

}  // namespace load_balancer::model::scale

#endif  // LOAD_BALANCER_MODEL_QUOTA_SCALE_GATEWAY_CLUSTER_H_
