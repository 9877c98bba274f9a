// SPDX-License-Identifier: Apache-2.0
#include "proxy/failure_kinds.h"

#include "fleet/failures.h"
#include "fleet/lease/failures.h"
#include "overflow/failures.h"
#include "proxy/failures.h"
#include "quota/failures.h"
#include "state/failures.h"

namespace load_balancer::proxy {

std::vector<const FailureKind*> AllFailureKinds() {
  std::vector<const FailureKind*> all;
  const auto add = [&all](const auto& kinds) {
    for (const FailureKind* kind : kinds) all.push_back(kind);
  };
  add(kProxyFailures);
  add(fleet::kFleetFailures);
  add(fleet::kLeaseFailures);
  add(state::kStateFailures);
  add(overflow::kOverflowFailures);
  add(quota::kFailures);
  return all;
}

}  // namespace load_balancer::proxy
