// SPDX-License-Identifier: Apache-2.0
//
// A run of the search for an overspent budget, drawn from its seed.
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

class Scenario {
 public:
  static constexpr Moment kRun = std::chrono::seconds(20);

  explicit Scenario(std::uint64_t seed);

  const GatewaysOptions& options() const { return options_; }
  // What the files hold, one after the other: one of them, or up to three. A partner may be gone in the
  // second.
  const std::vector<std::shared_ptr<const quota::Budgets>>& files() const { return files_; }
  // By then all gateways have the last file; zero: they have had it from the start.
  Moment reloaded() const { return reloaded_; }

  std::vector<Fault> Faults() const;
  // Where there is demand, when it is saved up, when files change, and who gives leases and addresses away.
  void Arrange(Gateways& gateways);

 private:
  using MilliUnits = quota::MilliUnits;
  template <typename Whole>
  Whole Draw(Whole low, Whole high) {
    return std::uniform_int_distribution<Whole>(low, high)(random_);
  }
  Moment DrawMoment(Moment low, Moment high) { return Moment(Draw(low.count(), high.count())); }
  bool Chance(int percent) { return Draw(1, 100) <= percent; }
  quota::Budget DrawBudget();
  void DrawFiles();
  void MoveDemand(Gateways& gateways, const std::string& partner);
  void Save(Gateways& gateways);
  void Reload(Gateways& gateways);

  const std::uint64_t seed_;
  std::mt19937_64 random_;
  GatewaysOptions options_;
  std::vector<std::string> partners_;
  MilliUnits rate_ = 0, burst_ = 0;  // of each partner, if they stay as they are
  std::vector<std::shared_ptr<const quota::Budgets>> files_;
  std::vector<std::vector<Moment>> reloads_;  // of each file but the first, by gateway
  Moment reloaded_{0};
};

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_QUOTA_SCENARIO_H_
