// SPDX-License-Identifier: Apache-2.0
//
// Sites that forward requests to each other, in virtual time. Each gateway runs the real OverflowRouter over
// the simulated network. The holder of each site's publisher lease also runs the real EstimatePublisher.
// Leases and gossip are simplified: the scenario sets the holder, and each estimate reaches each gateway in
// one message.
#ifndef LOAD_BALANCER_MODEL_OVERFLOW_FEDERATION_H_
#define LOAD_BALANCER_MODEL_OVERFLOW_FEDERATION_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "model/overflow/servers.h"
#include "model/overflow/traffic.h"
#include "model/world.h"
#include "overflow/admission_threshold.h"
#include "overflow/options.h"

namespace load_balancer::model {

// Strategy selects how the model forwards a request that its own site has rejected.
enum class Strategy {
  kOff,
  kRandom,     // to a random gateway of another site, without estimates
  kEstimates,  // to the gateway that the real OverflowRouter selects from estimates
  // A request that passes the admission threshold goes to the site that has the most free cores when the
  // request is sent. It is attempted up to MaxAttempts times.
  kInformed,
  // A request that passes the admission threshold goes to the site with the most free cores at the moment
  // when the request arrives there.
  kOracle,
};

// OverflowFederationOptions describes one run of the model.
struct OverflowFederationOptions {
  std::size_t sites = 2, gateways = 3;  // `gateways` of each site
  int cores = 10;                       // of each site
  Strategy strategy = Strategy::kOff;
  std::uint64_t seed = 1;
  overflow::Options overflow_options;
  // Delay of estimates between sites, on top of the network's delay.
  std::chrono::milliseconds estimate_delay{0};
};

// OverflowFederation runs the sites and counts the outcomes of the requests.
class OverflowFederation {
 public:
  explicit OverflowFederation(OverflowFederationOptions options);

  World& world() { return world_; }
  const OverflowFederationOptions& options() const { return options_; }
  const overflow::Directory& directory() const { return directory_; }
  Servers& servers(std::size_t site) { return servers_.at(site); }

  // Sets the site's own traffic from now on, as a fraction of its initial capacity.
  void SetLoad(std::size_t site, double load) { load_.at(site) = load; }
  double load(std::size_t site) const { return load_.at(site); }
  // Returns the number of a gateway's machine in the world.
  std::size_t Machine(std::size_t site, std::size_t gateway) const {
    return site * options_.gateways + gateway;
  }
  std::vector<std::size_t> Machines(std::size_t site) const;
  static std::string SiteName(std::size_t site);

  // Makes the gateway the holder of the site's publisher lease, with a larger token than any before.
  void Appoint(std::size_t site, std::size_t gateway);
  // Leaves the site without a holder.
  void Vacate(std::size_t site) { holders_.at(site).reset(); }
  struct Holder {
    std::size_t gateway = 0;
    std::uint64_t token = 0;
  };
  const std::optional<Holder>& holder(std::size_t site) const { return holders_.at(site); }

  // Resets the tallies. From now on they count only requests that arrive from now on.
  void StartCount();
  const Tally& tally(std::size_t site) const { return tallies_.at(site); }
  // Returns the sum of all sites' tallies.
  Tally Sum() const;
  // Returns the number of requests that are not idempotent and that servers ran more than once.
  std::uint64_t ran_twice() const { return ran_twice_; }
  // Returns the number of final responses beyond the first one of each request.
  std::uint64_t answered_twice() const { return answered_twice_; }

  // Returns whether the request passes the admission threshold for the true capacity that all other sites
  // offer. Used by the strategies that do not depend on estimates.
  bool PassesThreshold(const ModelRequest& request);

  // Returns the free cores of the site, less the requests that are in transit to it.
  int FreeCores(std::size_t site) const { return servers_[site].free() - in_transit_[site]; }
  // Changes the number of requests that are in transit to the site.
  void AddInTransit(std::size_t site, int change) { in_transit_[site] += change; }

  // The gateways call the following functions.
  std::uint64_t NextId() { return ++last_id_; }
  void CountReceived(const ModelRequest& request);
  void CountRun(const ModelRequest& request);
  // Counts a final response of a server. Its weight counts as served if it meets the latency objective.
  void CountAnswer(const ModelRequest& request, bool elsewhere);
  // Counts a final rejection.
  void CountGivenUp(const ModelRequest& request, std::optional<overflow::RejectReason> reason = std::nullopt);
  void CountForwarded(const ModelRequest& request);

 private:
  // Records the final response of a request. Returns false if the request is too early to be counted in the
  // results.
  bool RecordFinal(const ModelRequest& request);

  const OverflowFederationOptions options_;
  World world_;
  overflow::Directory directory_;
  std::deque<Servers> servers_;
  std::vector<double> load_;
  std::vector<int> in_transit_;
  std::vector<std::optional<Holder>> holders_;
  std::uint64_t last_token_ = 0, last_id_ = 0;
  std::vector<Tally> tallies_;
  Moment count_from_{0};
  std::map<std::uint64_t, int> non_idempotent_runs_;  // by request id
  std::vector<bool> has_final_;                       // by request id
  overflow::AdmissionThreshold threshold_;
  std::uint64_t ran_twice_ = 0, answered_twice_ = 0;
};

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_OVERFLOW_FEDERATION_H_
