// SPDX-License-Identifier: Apache-2.0
//
/// @file
/// Assigns numbers to the configured gateways.
#ifndef LOAD_BALANCER_QUOTA_GATEWAY_REGISTRY_H_
#define LOAD_BALANCER_QUOTA_GATEWAY_REGISTRY_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "quota/budget.h"

namespace load_balancer::quota {

/// The index of a gateway. Gateways are ordered by site, then by name.
using GatewayId = std::uint32_t;

/// A site and the number of its configured gateways.
struct SiteSize {
  std::string name;
  std::size_t gateways = 0;
};

/// Maps the names of the configured gateways to numbers and to their sites.
class GatewayRegistry {
 public:
  explicit GatewayRegistry(const SiteLayout& layout);

  std::size_t size() const { return names_.size(); }
  /// Returns null if the gateway is not configured.
  const GatewayId* Find(const std::string& name) const;
  const std::string& name(GatewayId gateway) const { return names_[gateway]; }
  /// Returns the index of the gateway's site in `sites()`.
  std::size_t site(GatewayId gateway) const { return site_of_[gateway]; }
  const std::vector<SiteSize>& sites() const { return sites_; }

 private:
  std::vector<SiteSize> sites_;
  std::vector<std::string> names_;
  std::vector<std::size_t> site_of_;
  std::map<std::string, GatewayId> by_name_;
};

}  // namespace load_balancer::quota

#endif  // LOAD_BALANCER_QUOTA_GATEWAY_REGISTRY_H_
