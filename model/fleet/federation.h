// SPDX-License-Identifier: Apache-2.0
//
// A federation in one world: several sites of gateways, each site a fleet, with checks on the members' views.
#ifndef LOAD_BALANCER_MODEL_FLEET_FEDERATION_H_
#define LOAD_BALANCER_MODEL_FLEET_FEDERATION_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "model/fleet/program.h"
#include "model/world.h"

namespace load_balancer::model {

// Options of a Federation.
struct FederationOptions {
  std::size_t sites = 1, members = 5;  // number of sites and of members of each site
  fleet::FleetSection fleet;           // configuration of each site's pool; Federation sets the seeds
  std::size_t seeds = 3;  // number of seeds of each site: its first members, which are the voters
  std::vector<fleet::LeasedRole> duties;  // leased roles of each site
  bool federated = false;                 // whether there is also a pool of all gateways
  fleet::FleetSection federation_pool;    // configuration of that pool; Federation sets the seeds
  std::size_t federation_seeds = 3;       // number of seeds of that pool, taken from the sites in turn
  std::vector<fleet::LeasedRole> federation_duties;
  Link link;  // link between members of one site
  // The link between members of different sites.
  Link inter_site_link{0, 0, 0, std::chrono::milliseconds(5), std::chrono::milliseconds(8)};
  double max_rate_error = 0;  // maximum difference of a clock's rate from 1
  Observer* observer = nullptr;
};

// Creates the machines of all sites and starts their programs.
class Federation {
 public:
  // Creates a machine's program. Called at each start of the machine.
  using ProgramFactory = std::function<std::unique_ptr<FleetProgram>(Host&, const FleetSetup&)>;
  static std::unique_ptr<FleetProgram> MakeProgram(Host& host, const FleetSetup& setup);

  // Starts all machines.
  Federation(std::uint64_t seed, FederationOptions options, ProgramFactory factory = MakeProgram);

  World& world() { return world_; }
  const FederationOptions& options() const { return options_; }
  std::size_t size() const { return options_.sites * options_.members; }
  // Returns the number of the machine on which a site's member runs.
  std::size_t MachineIndex(std::size_t site, std::size_t member) const {
    return site * options_.members + member;
  }
  static Endpoint AddressOf(std::size_t machine);
  // Returns the machine's program, or null while it is down.
  FleetProgram* program(std::size_t machine);
  // Returns the PoolMember of a machine in a pool, or null if the machine is down or there is no such pool.
  PoolMember* member(std::size_t machine, std::size_t pool);
  // Returns the numbers of all machines in the machine's pool, including the machine itself.
  std::vector<std::size_t> PoolOf(std::size_t machine, std::size_t pool) const;

 private:
  void Start(std::size_t machine);
  FleetSetup SetupOf(std::size_t machine) const;

  const std::uint64_t seed_;
  const FederationOptions options_;
  const ProgramFactory factory_;
  std::vector<fleet::FleetSection> sections_;  // by site
  fleet::FleetSection federation_section_;
  World world_;
};

// Returns one line for each wrong view. A view is wrong if a running member does not see another running
// member as alive, or if it sees a member that is down as present (alive or suspect).
std::vector<std::string> FindWrongViews(Federation& federation, std::size_t pool);
// Returns one line for each running member whose shared state differs from that of the first running member
// of its pool.
std::vector<std::string> FindDifferingStates(Federation& federation, std::size_t pool);
// Returns the running members of the machine's pool that hold the lease of the role `duty` according to their
// own clocks.
std::vector<std::size_t> FindHolders(Federation& federation, std::size_t machine, std::size_t pool,
                                     const std::string& duty);

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_FLEET_FEDERATION_H_
