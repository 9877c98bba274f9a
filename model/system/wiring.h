// SPDX-License-Identifier: Apache-2.0
//
// What all gateways of a system have in common: what the sections `sites`, `spill` and `quota` of each one's
// file say.
#ifndef LOAD_BALANCER_MODEL_SYSTEM_WIRING_H_
#define LOAD_BALANCER_MODEL_SYSTEM_WIRING_H_

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "model/program.h"
#include "overflow/options.h"
#include "quota/budget.h"
#include "quota/duty.h"

namespace load_balancer::model {

struct Wiring {
  std::vector<std::string> sites;             // by number
  std::map<std::string, Endpoint> addresses;  // of each gateway, in all pools
  overflow::Directory directory;
  quota::SiteLayout layout;
  overflow::Options spill;
  quota::Timings timings;
  std::size_t allocators = 2;
  std::shared_ptr<const quota::Budgets> budgets;
  std::vector<std::string> tenants;  // by the settings' numbers

  static std::string AmbassadorOf(const std::string& site) { return "ambassador/" + site; }
  static std::string AllocatorOf(std::size_t number) { return quota::AllocatorRoleName(number); }
};

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_SYSTEM_WIRING_H_
