// SPDX-License-Identifier: Apache-2.0
//
// Tracks the gateways of the other sites: which are present, and which are ejected for a while because they
// reject requests or fail. Ejection follows the failure percentage of gRFC A50, with its multiplied ejection
// time. Unlike in A50, all gateways may be ejected at once: no request depends on being forwarded.
#ifndef LOAD_BALANCER_OVERFLOW_REMOTE_GATEWAYS_H_
#define LOAD_BALANCER_OVERFLOW_REMOTE_GATEWAYS_H_

#include <compare>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "base/time.h"
#include "overflow/options.h"

namespace load_balancer::overflow {

// RemoteGateway names a gateway by its site and its name within the site.
struct RemoteGateway {
  std::string site, gateway;
  auto operator<=>(const RemoteGateway&) const = default;
};

// RemoteGateways stores the health of each gateway of the other sites.
class RemoteGateways {
 public:
  // The constants are named as in A50.
  static constexpr std::chrono::milliseconds kInterval{2000};
  static constexpr std::chrono::milliseconds kBaseEjectionTime{2000}, kMaxEjectionTime{30000};
  static constexpr int kRequestVolume = 5;       // minimum number of results in an interval for an ejection
  static constexpr int kFailurePercentage = 50;  // minimum percentage of results that were rejected or failed

  // `random` varies each ejection time by up to 25 % in both directions, so that the gateways of a site do
  // not all return to the ejected one at the same moment.
  RemoteGateways(const Directory& sites, const std::string& own_site, std::mt19937_64& random);
  // Applies a new directory. Keeps the health of the gateways that remain in it.
  void Configure(const Directory& sites, const std::string& own_site);

  // Records whether the gateway is present in the federation pool. A configured gateway counts as present
  // until the first call.
  void SetPresent(const RemoteGateway& gateway, bool present);
  // Counts the result of a forwarded request, and returns whether it caused the ejection of the gateway.
  bool RecordResult(Time now, const RemoteGateway& gateway, bool success);
  // Returns the gateways whose ejection has ended since the last call. Also ends the intervals that are due.
  std::vector<RemoteGateway> EndEjections(Time now);

  // Returns whether the gateway is present and not ejected.
  bool InService(Time now, const RemoteGateway& gateway) const;
  // Returns whether any gateway of the site is in service.
  bool AnyInService(Time now, const std::string& site) const;
  // Returns the site's gateways that are in service, ordered by name.
  std::vector<RemoteGateway> InService(Time now, const std::string& site) const;

 private:
  struct Health {
    bool present = true, ejected = false;
    int successes = 0, failures = 0;
    int multiplier = 0;
    Time interval_ends{}, return_at{};
  };
  void EndIntervalIfDue(Time now, Health& health) const;

  std::mt19937_64& random_;
  std::map<RemoteGateway, Health> health_;
};

}  // namespace load_balancer::overflow

#endif  // LOAD_BALANCER_OVERFLOW_REMOTE_GATEWAYS_H_
