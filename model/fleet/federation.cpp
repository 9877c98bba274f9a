// SPDX-License-Identifier: Apache-2.0
#include "model/fleet/federation.h"

#include <xxhash.h>

#include <array>
#include <utility>

namespace load_balancer::model {
namespace {

constexpr unsigned short kPort = 7900;
constexpr std::uint32_t kFirstAddress = 0x0a000001;  // 10.0.0.1

// Returns "sS.gG" for member G of site S, both counted from 1.
std::string MemberName(std::size_t site, std::size_t member) {
  std::string name = std::to_string(site + 1);
  name.insert(name.begin(), 's');
  return name.append(".g").append(std::to_string(member + 1));
}

}  // namespace

std::unique_ptr<FleetProgram> Federation::MakeProgram(Host& host, const FleetSetup& setup) {
  return std::make_unique<FleetProgram>(host, setup);
}

Endpoint Federation::AddressOf(std::size_t machine) {
  return {boost::asio::ip::address_v4(kFirstAddress + static_cast<std::uint32_t>(machine)), kPort};
}

Federation::Federation(std::uint64_t seed, FederationOptions options, ProgramFactory factory)
    : seed_(seed),
      options_(std::move(options)),
      factory_(std::move(factory)),
      federation_section_(options_.federation_pool),
      world_(seed) {
  world_.network().SetDefault(options_.link);
  world_.network().SetInterSite(options_.inter_site_link);
  for (std::size_t site = 0; site < options_.sites; ++site) {
    sections_.push_back(options_.fleet);
    for (std::size_t i = 0; i < std::min(options_.seeds, options_.members); ++i)
      sections_.back().seeds.push_back(AddressOf(MachineIndex(site, i)));
  }
  for (std::size_t i = 0; i < std::min(options_.federation_seeds, size()); ++i)
    federation_section_.seeds.push_back(AddressOf(MachineIndex(i % options_.sites, i / options_.sites)));
  for (std::size_t machine = 0; machine < size(); ++machine) Start(machine);
}

FleetSetup Federation::SetupOf(std::size_t machine) const {
  FleetSetup setup;
  setup.machine = machine;
  setup.site = machine / options_.members;
  setup.member = machine % options_.members;
  setup.site_pool = {sections_[setup.site], kSitePool, setup.site, options_.duties, 0, options_.observer};
  if (options_.federated)
    setup.federation_pool = {federation_section_, kFederationPool, setup.site, options_.federation_duties, 0,
                             options_.observer};
  return setup;
}

void Federation::Start(std::size_t machine) {
  MachineClock clock;
  std::uniform_real_distribution<double> error(-options_.max_rate_error, options_.max_rate_error);
  clock.rate += options_.max_rate_error > 0 ? error(world_.random()) : 0;
  clock.offset = std::chrono::seconds(1 + world_.random()() % 100000);
  FleetSetup setup = SetupOf(machine);
  world_.network().Place(machine, setup.site);
  const auto make = [this, setup, incarnation = std::uint64_t{0}](Host& host) mutable {
    const std::array<std::uint64_t, 2> seed_input{setup.machine, ++incarnation};
    setup.site_pool.seed = XXH64(seed_input.data(), sizeof seed_input, seed_);
    if (setup.federation_pool) setup.federation_pool->seed = setup.site_pool.seed + 1;
    return factory_(host, setup);
  };
  world_.Add(MemberName(setup.site, setup.member), AddressOf(machine), make, clock);
}

FleetProgram* Federation::program(std::size_t machine) {
  return static_cast<FleetProgram*>(world_.program(machine));
}

PoolMember* Federation::member(std::size_t machine, std::size_t pool) {
  FleetProgram* running = program(machine);
  if (!running) return nullptr;
  return pool == kSitePool ? &running->site() : running->federation_member();
}

std::vector<std::size_t> Federation::PoolOf(std::size_t machine, std::size_t pool) const {
  std::vector<std::size_t> machines;
  const std::size_t first = pool == kSitePool ? machine - machine % options_.members : 0;
  const std::size_t count = pool == kSitePool ? options_.members : size();
  for (std::size_t i = first; i < first + count; ++i) machines.push_back(i);
  return machines;
}

std::vector<std::string> FindWrongViews(Federation& federation, std::size_t pool) {
  std::vector<std::string> wrong;
  for (std::size_t machine = 0; machine < federation.size(); ++machine) {
    PoolMember* viewer = federation.member(machine, pool);
    if (!viewer) continue;
    const auto& others = viewer->membership().others();
    for (const std::size_t other : federation.PoolOf(machine, pool)) {
      if (other == machine) continue;
      const std::string& name = federation.world().host(other).Name();
      const auto found = others.find(name);
      const bool alive = found != others.end() && found->second.update.state == fleet::MemberState::kAlive;
      const bool present =
          alive || (found != others.end() && found->second.update.state == fleet::MemberState::kSuspect);
      const bool up = federation.member(other, pool) != nullptr;
      if (up ? alive : !present) continue;
      std::string line = federation.world().host(machine).Name();
      line.append(" sees ").append(name).append(up ? ", which is running, as " : ", which is down, as ");
      wrong.push_back(line.append(found == others.end() ? "unknown" : Name(found->second.update.state)));
    }
  }
  return wrong;
}

std::vector<std::string> FindDifferingStates(Federation& federation, std::size_t pool) {
  std::vector<std::string> wrong;
  for (std::size_t machine = 0; machine < federation.size(); ++machine) {
    PoolMember* one = federation.member(machine, pool);
    PoolMember* first = nullptr;
    for (const std::size_t other : federation.PoolOf(machine, pool))
      if (!first) first = federation.member(other, pool);
    if (!one ||
        one->state().ComputeDigest(one->host().Wall()) == first->state().ComputeDigest(first->host().Wall()))
      continue;
    std::string line = one->host().Name();
    wrong.push_back(line.append(" has a different state than ").append(first->host().Name()));
  }
  return wrong;
}

std::vector<std::size_t> FindHolders(Federation& federation, std::size_t machine, std::size_t pool,
                                     const std::string& duty) {
  std::vector<std::size_t> holders;
  for (const std::size_t other : federation.PoolOf(machine, pool)) {
    const PoolMember* member = federation.member(other, pool);
    if (member && member->HoldsLease(duty)) holders.push_back(other);
  }
  return holders;
}

}  // namespace load_balancer::model
