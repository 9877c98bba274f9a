// SPDX-License-Identifier: Apache-2.0
/// @file
/// Deterministic subsetting: which servers a proxy sends to where it does not send to all.
#ifndef LOAD_BALANCER_SRC_POLICY_SERVER_SUBSET_H_
#define LOAD_BALANCER_SRC_POLICY_SERVER_SUBSET_H_

#include <cstddef>
#include <vector>

#include "policy/server.h"

namespace load_balancer {

/// Chooses from `ring`, the usable servers in the order of a hash that all proxies share, the arc that
/// belongs to this proxy; of its own zone and of the others apart, where crossing zones has a price. Proxies
/// stand evenly on the ring, by the golden ratio.
///
/// The subset has `judgeable` servers in service, as many as this proxy's traffic brings to the volume at
/// which outlier detection judges, and no fewer than a minimum that falls where many proxies share few
/// servers. Subsets bound the connections that each server has to accept.
std::vector<ServerIndex> ChooseSubset(const std::vector<Server>& servers,
                                      const std::vector<ServerIndex>& ring, const Settings& settings,
                                      std::size_t judgeable);

}  // namespace load_balancer

#endif  // LOAD_BALANCER_SRC_POLICY_SERVER_SUBSET_H_
