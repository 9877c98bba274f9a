// SPDX-License-Identifier: Apache-2.0
//
// Sites that spill to each other, in virtual time: each gateway runs the real Spill and, at its site's
// ambassador, the real Ambassador, over the world's network. Leases and gossip are stood in for: the holder
// of the duty is set by the scenario, and estimates go to each gateway in one message.
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

// How a request that its own site refuses is handed on.
enum class Strategy {
  kOff,
  kRandom,      // to any gateway of any neighbour, without estimates
  kEstimates,   // by the real Spill
  kInformed,    // as all-knowing, but by what is so when it is sent, and with the attempts that rules allow
  kAllKnowing,  // where it is worth the offer, to the neighbour that has the most room when it arrives there
};

struct SpillFederationOptions {
  std::size_t sites = 2, gateways = 3;  // gateways of each site
  int cores = 10;                       // of each site
  Strategy strategy = Strategy::kOff;
  std::uint64_t seed = 1;
  overflow::Options spill;
  std::chrono::milliseconds estimate_delay{0};  // of estimates between sites, beyond the network's
};

class SpillFederation {
 public:
  explicit SpillFederation(SpillFederationOptions options);

  World& world() { return world_; }
  const SpillFederationOptions& options() const { return options_; }
  const overflow::Directory& directory() const { return directory_; }
  Servers& servers(std::size_t site) { return servers_.at(site); }

  // Own traffic from now on, in parts of the site's capacity at the start.
  void SetLoad(std::size_t site, double load) { load_.at(site) = load; }
  double load(std::size_t site) const { return load_.at(site); }
  std::size_t Machine(std::size_t site, std::size_t gateway) const {
    return site * options_.gateways + gateway;
  }
  std::vector<std::size_t> Machines(std::size_t site) const;
  static std::string SiteName(std::size_t site);

  // The holder of the ambassador's duty, or none; each appointment has a greater token.
  void Appoint(std::size_t site, std::size_t gateway);
  void Vacate(std::size_t site) { holders_.at(site).reset(); }
  struct Holder {
    std::size_t gateway = 0;
    std::uint64_t token = 0;
  };
  const std::optional<Holder>& holder(std::size_t site) const { return holders_.at(site); }

  // Counts from now on only what comes in from now on.
  void StartCount();
  const Tally& tally(std::size_t site) const { return tallies_.at(site); }
  Tally Sum() const;
  // Requests of unsafe classes that servers have run more than once, of all sites; and final answers beyond
  // the first of a request.
  std::uint64_t ran_twice() const { return ran_twice_; }
  std::uint64_t answered_twice() const { return answered_twice_; }

  // For a spiller that knows all: whether the request is worth enough for what all others truly offer.
  bool WorthIt(const Ask& ask);

  // Of a site's cores, those that are free, less what is on the way there; and what is.
  int Room(std::size_t site) const { return servers_[site].free() - coming_[site]; }
  void Coming(std::size_t site, int more) { coming_[site] += more; }

  // Called by gateways.
  std::uint64_t NextId() { return ++last_id_; }
  void Asked(const Ask& ask);
  void Ran(const Ask& ask);
  // Its final answer: from servers (worth counts if in time), or a refusal.
  void Answered(const Ask& ask, bool elsewhere);
  void GivenUp(const Ask& ask, std::optional<overflow::Why> why = std::nullopt);
  void CountSpilled(const Ask& ask);

 private:
  bool Final(const Ask& ask);

  const SpillFederationOptions options_;
  World world_;
  overflow::Directory directory_;
  std::deque<Servers> servers_;
  std::vector<double> load_;
  std::vector<int> coming_;
  std::vector<std::optional<Holder>> holders_;
  std::uint64_t last_token_ = 0, last_id_ = 0;
  std::vector<Tally> tallies_;
  Moment count_from_{0};
  std::map<std::uint64_t, int> unsafe_runs_;
  std::vector<bool> final_;  // by id
  overflow::Price price_;
  std::uint64_t ran_twice_ = 0, answered_twice_ = 0;
};

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_OVERFLOW_FEDERATION_H_
