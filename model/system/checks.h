// SPDX-License-Identifier: Apache-2.0
//
// What must hold of a whole system, by true time: gateways tell what they do, and this says what is broken.
#ifndef LOAD_BALANCER_MODEL_SYSTEM_CHECKS_H_
#define LOAD_BALANCER_MODEL_SYSTEM_CHECKS_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "model/fleet/federation.h"
#include "model/quota/overspend_check.h"
#include "model/site/ledger.h"
#include "model/system/offer_check.h"
#include "model/system/wiring.h"

namespace load_balancer::model {

class SystemGateway;

class Checks {
 public:
  using Try = std::pair<CallId, int>;
  static constexpr Moment kSample = std::chrono::milliseconds(100);

  // `skew_kept`: all wall clocks are within overflow::Options::max_clock_skew of each other throughout.
  // `tokens_grow`: tokens are kept, by disks or by wall clocks, as docs/leases.md has it.
  Checks(const Wiring& wiring, bool skew_kept, bool tokens_grow)
      : wiring_(wiring), skew_kept_(skew_kept), tokens_grow_(tokens_grow) {}
  // Before the first event; `federation` is of SystemGateways and outlives this.
  void Watch(Federation& federation);

  // ---- told by gateways ------------------------------------------------------------------------------
  // An act for an exclusive duty of that pool under a lease of this token.
  void Acted(std::size_t machine, std::size_t pool, const std::string& duty, fleet::FencingToken token);
  // A request was charged as inside its budget; returns the charge's number among its partner's.
  std::size_t Admitted(const std::string& partner, Try one, quota::MilliUnits cost);
  void Credited(const std::string& partner, std::size_t number);
  // A request got its answer because its partner is over a budget that refuses.
  void OverBudget(Try one) { over_budget_.insert(one); }
  // A request that came in at `site` goes to a gateway of `to`.
  void Spilled(const std::string& site, const std::string& to, const RequestReceived& request, Try one);
  // The ambassador of a site has made an estimate of which so much is offered, ms of work a second.
  void Estimated(const std::string& site, double offer);

  // ---- called by the scenario ------------------------------------------------------------------------
  // Every kSample.
  void Sample();
  // Long enough after the last fault: views, holders and estimates are as they should be.
  void Recovered();
  // Long enough after the clients have stopped: nothing is left open, and what only the end can tell.
  void Over(const Ledger& ledger);

  const std::vector<std::string>& broken() const { return broken_; }
  struct Counts {
    std::uint64_t acts = 0, admitted = 0, credited = 0, over_budget = 0, spilled = 0;
  };
  Counts counts() const;

 private:
  struct Charge {
    Admission admission;
    Try one;
    bool credited = false;
  };
  void Break(std::string line);
  SystemGateway* Gateway(std::size_t machine);
  std::size_t SiteOf(std::size_t machine) const { return machine / federation_->options().members; }
  Moment now() { return federation_->world().now(); }
  void CheckDuty(std::size_t machine, std::size_t pool, const std::string& duty);
  void CheckBudgets(const Ledger& ledger);

  const Wiring& wiring_;
  const bool skew_kept_, tokens_grow_;
  Federation* federation_ = nullptr;
  std::map<std::pair<std::size_t, std::string>, fleet::FencingToken> tokens_;  // by pool and duty
  std::map<std::string, std::vector<Charge>> charges_;                         // by partner, in their order
  std::set<Try> over_budget_;
  std::map<std::string, OfferCheck> offers_;  // by site
  std::map<std::string, Moment> no_spare_since_;
  std::uint64_t acts_ = 0, spilled_ = 0;
  std::vector<std::string> broken_;
};

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_SYSTEM_CHECKS_H_
