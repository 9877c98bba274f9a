// SPDX-License-Identifier: Apache-2.0
//
// This gateway's part in the federation, where the configuration has a section `sites`: the pool, and what is
// done by way of it.
#ifndef LOAD_BALANCER_PROXY_FEDERATION_FEDERATION_H_
#define LOAD_BALANCER_PROXY_FEDERATION_FEDERATION_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "config.h"
#include "federation/pool.h"
#include "federation/quota_service.h"
#include "federation/spill_service.h"

namespace load_balancer::proxy {

class Federation : private Pool::Host {
 public:
  // Joins the pool at once, or as soon as another process of this gateway leaves its address. `votes` is the
  // file for this voter's votes; empty: none. `site` is the site's own fleet; `connections` tells how many
  // there may be to other sites. All that is given but `config` outlives this.
  Federation(boost::asio::io_context& io, const Config& config, const std::string& votes, fleet::Node& site,
             std::function<std::size_t()> connections, MemoryBudget& memory, SpillHost& host);

  // Null where the configuration has no section `spill`.
  SpillService* spill() { return spill_.get(); }
  const SpillService* spill() const { return spill_.get(); }

  // Whether a request that came in here is within its owner's budget; kUnknown without one.
  quota::ChargeResult Charge(std::string_view owner, double work_ms);
  void Credit(const quota::ChargeReceipt& receipt);

  void Reconfigure(const Config& config);
  // Out of the pool, and back. The leases are kept until what was done under them has ended.
  void Leave();
  void Rejoin();
  // Leaves for good, and leaves the address to another process.
  void Stop();

  // For the process's next life, and of one before. Throws json::exception on what is out of form.
  nlohmann::json Keep() const;
  void Restore(const nlohmann::json& kept);

  // What MEMBERS, STATE and LEASES say beyond the site's own fleet.
  std::string Members() const;
  std::string State();
  std::string Leases() const { return pool_.node().DescribeLeases(); }

 private:
  void OnPoolFact(const fleet::FencedValue& fact) override {
    if (spill_) spill_->OnPoolFact(fact);
  }
  void LeaveWhenDone(void (fleet::Node::*leave)());

  const fleet::SitesSection sites_;
  Pool pool_;
  std::unique_ptr<QuotaService> quota_;  // where the configuration has a section `quota`
  std::unique_ptr<SpillService> spill_;  // where it has a section `spill`
  boost::asio::steady_timer leave_timer_;
  bool stopped_ = false;
};

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_FEDERATION_FEDERATION_H_
