// SPDX-License-Identifier: Apache-2.0
//
// Sites of gateways in one world, each site a fleet, all together a federation, and checks on them.
#ifndef LOAD_BALANCER_MODEL_FLEET_FEDERATION_H_
#define LOAD_BALANCER_MODEL_FLEET_FEDERATION_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "model/fleet/program.h"
#include "model/world.h"

namespace load_balancer::model {

struct FederationOptions {
  std::size_t sites = 1, members = 5;     // members of each site
  fleet::FleetSection fleet;              // of each site's pool; its seeds are set here
  std::size_t seeds = 3;                  // the first members of each site; they vote
  std::vector<fleet::LeasedRole> duties;  // of each site
  bool federated = false;                 // whether there is a pool of all
  fleet::FleetSection wide;               // of that pool; its seeds are set here
  std::size_t wide_seeds = 3;             // the first members of the first sites, going round the sites
  std::vector<fleet::LeasedRole> wide_duties;
  Link link;  // within a site
  Link wide_link{0, 0, 0, std::chrono::milliseconds(5), std::chrono::milliseconds(8)};
  double most_rate_error = 0;  // each clock runs at a rate of 1 plus or minus up to this
  Observer* observer = nullptr;
};

class Federation {
 public:
  // A machine's program, made anew at each start.
  using Maker = std::function<std::unique_ptr<FleetProgram>(Host&, const FleetSetup&)>;
  static std::unique_ptr<FleetProgram> PlainProgram(Host& host, const FleetSetup& setup);

  // All start at once.
  Federation(std::uint64_t seed, FederationOptions options, Maker maker = PlainProgram);

  World& world() { return world_; }
  const FederationOptions& options() const { return options_; }
  std::size_t size() const { return options_.sites * options_.members; }
  std::size_t Machine(std::size_t site, std::size_t member) const { return site * options_.members + member; }
  static Endpoint AddressOf(std::size_t machine);
  // Null while it is down.
  FleetProgram* program(std::size_t machine);
  // Null while it is down, or without such a pool.
  PoolMember* member(std::size_t machine, std::size_t pool);
  // Those of the machine's pool, itself among them.
  std::vector<std::size_t> PoolOf(std::size_t machine, std::size_t pool) const;

 private:
  void Start(std::size_t machine);
  FleetSetup SetupOf(std::size_t machine) const;

  const std::uint64_t seed_;
  const FederationOptions options_;
  const Maker maker_;
  std::vector<fleet::FleetSection> sections_;  // of each site's pool
  fleet::FleetSection wide_;
  World world_;
};

// One line for each wrong view: a running member that another running one does not hold as alive, or one that
// is down held as present. Nothing if all views are right.
std::vector<std::string> WrongViews(Federation& federation, std::size_t pool);
// One line for each running member whose shared state differs from that of the first of its pool.
std::vector<std::string> WrongStates(Federation& federation, std::size_t pool);
// Running members of the machine's pool that hold the duty now, by their own clocks.
std::vector<std::size_t> Holders(Federation& federation, std::size_t machine, std::size_t pool,
                                 const std::string& duty);

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_FLEET_FEDERATION_H_
