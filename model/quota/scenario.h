// SPDX-License-Identifier: Apache-2.0
//
// The scenario of one run of the search for an overspent budget. The run's seed determines the scenario.
#ifndef LOAD_BALANCER_MODEL_QUOTA_SCENARIO_H_
#define LOAD_BALANCER_MODEL_QUOTA_SCENARIO_H_

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "model/fault.h"
#include "model/quota/gateways.h"

namespace load_balancer::model {

// A random scenario: options, budgets, faults and scheduled events.
class QuotaScenario {
 public:
  static constexpr Moment kRunLength = std::chrono::seconds(20);

  explicit QuotaScenario(std::uint64_t seed);

  const GatewaysOptions& options() const { return options_; }
  // Returns the one to three revisions of the budgets, oldest first. The second one may have no partners.
  const std::vector<std::shared_ptr<const quota::Budgets>>& revisions() const { return revisions_; }
  // Returns the time at which all gateways have the last revision; zero if they have it from the start.
  Moment all_reloaded_at() const { return all_reloaded_at_; }

  // Draws the faults of the run.
  std::vector<Fault> Faults() const;
  // Schedules the events that are not faults: changes of demand, periods in which the
  // worst-case clients (Spender) save tokens, reloads of budgets, handovers of gateway addresses, and
  // gateways that step down as lease holders.
  void ScheduleEvents(Gateways& gateways);

 private:
  using MilliUnits = quota::MilliUnits;
  template <typename Integer>
  Integer Draw(Integer low, Integer high) {
    return std::uniform_int_distribution<Integer>(low, high)(random_);
  }
  Moment DrawMoment(Moment low, Moment high) { return Moment(Draw(low.count(), high.count())); }
  bool Chance(int percent) { return Draw(1, 100) <= percent; }
  quota::Budget DrawBudget();
  void DrawRevisions();
  void ScheduleDemand(Gateways& gateways, const std::string& partner);
  void ScheduleSaving(Gateways& gateways);
  void ScheduleReloads(Gateways& gateways);

  const std::uint64_t seed_;
  std::mt19937_64 random_;
  GatewaysOptions options_;
  std::vector<std::string> partners_;
  MilliUnits rate_ = 0, burst_ = 0;  // of each partner's budget; a later revision may differ
  std::vector<std::shared_ptr<const quota::Budgets>> revisions_;
  std::vector<std::vector<Moment>> reload_times_;  // by revision (except the first), then by gateway
  Moment all_reloaded_at_{0};
};

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_QUOTA_SCENARIO_H_
