// SPDX-License-Identifier: Apache-2.0
/// @file
/// Deterministic subsetting: chooses the servers that a proxy uses if it does not use all of them.
#ifndef LOAD_BALANCER_SRC_POLICY_SERVER_SUBSET_H_
#define LOAD_BALANCER_SRC_POLICY_SERVER_SUBSET_H_

#include <cstddef>
#include <vector>

#include "policy/server.h"

namespace load_balancer {

/// Returns the servers on this proxy's arc of `ring`, which holds the usable servers in the order of a hash
/// that is the same at all proxies. The proxies' arcs start at evenly spaced points, by the golden ratio. If
/// crossing zones has a cost, this proxy's zone and the other zones have separate arcs.
///
/// An arc contains `evaluable_servers` servers in service, the number for which this proxy's traffic reaches
/// the request volume of outlier detection. It contains at least a minimum number, which is lower if many
/// proxies share few servers. Subsets limit the number of connections to each server.
std::vector<ServerIndex> ChooseSubset(const std::vector<Server>& servers,
                                      const std::vector<ServerIndex>& ring, const Settings& settings,
                                      std::size_t evaluable_servers);

}  // namespace load_balancer

#endif  // LOAD_BALANCER_SRC_POLICY_SERVER_SUBSET_H_
