// SPDX-License-Identifier: Apache-2.0
#include "model/system/scenario.h"

#include <algorithm>
#include <random>
#include <string>
#include <utility>

#include "model/system/gateway.h"

namespace load_balancer::model {
namespace {

using quota::kUnit;
using quota::MilliUnits;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kServers = 2, kCores = 4, kPartners = 3;
constexpr double kWork = 40;                                    // ms of a request, in the mean
constexpr double kCapacity = kServers * kCores * 1000 / kWork;  // of a site, requests a second
constexpr double kSmallError = 0.002, kSmallJump = 60;          // of clocks that stay together
constexpr Moment kMove = seconds(4);                            // at most, until partners' traffic moves

class Dice {
 public:
  Dice(std::uint64_t seed, std::uint64_t part) : random_(seed * 1'000'003 + part) {}
  double Real(double low, double high) { return std::uniform_real_distribution<>(low, high)(random_); }
  std::size_t Below(std::size_t bound) {
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random_);
  }
  bool Chance(double share) { return Real(0, 1) < share; }
  Moment At(Moment low, Moment high) {
    return Moment(std::uniform_int_distribution<Moment::rep>(low.count(), high.count())(random_));
  }

 private:
  std::mt19937_64 random_;
};

enum Part : std::uint64_t { kBudgets = 1, kClocks, kLoads, kFaultsOfGateways, kFaultsOfServers, kDrains };

// In half of the seeds clocks run at the bounds and jump far.
bool ClocksApart(std::uint64_t seed) { return seed % 2 == 1; }

std::shared_ptr<const quota::Budgets> DrawBudgets(std::uint64_t seed, const Wiring& wiring) {
  Dice dice(seed, kBudgets);
  auto budgets = std::make_shared<quota::Budgets>();
  budgets->revision = 1;
  const double all = kCapacity * static_cast<double>(wiring.sites.size());
  for (std::size_t i = 0; i < kPartners; ++i) {
    quota::Budget& budget = budgets->partners[wiring.tenants[i]];
    budget.unit = i == 1 ? quota::Unit::kWork : quota::Unit::kRequests;
    budget.over_limit_action = i == 2 ? quota::OverLimitAction::kMark : quota::OverLimitAction::kReject;
    const double per_s = all / kPartners * dice.Real(0.2, 1) * (i == 1 ? kWork : 1);
    budget.rate = static_cast<MilliUnits>(per_s) * kUnit;
    // Small bursts leave an overspend little to hide in.
    const auto share = static_cast<MilliUnits>(2 + dice.Below(80));
    const MilliUnits largest = (i == 1 ? static_cast<MilliUnits>(10 * kWork) : 1) * kUnit;
    budget.burst =
        std::max(budget.rate * share / 100, largest * static_cast<MilliUnits>(wiring.addresses.size()));
    if (i == 0) continue;
    const auto minimum = budget.rate * static_cast<MilliUnits>(1 + dice.Below(9)) / 10;
    for (const std::string& site : wiring.sites)
      budget.reserved_minimums[site] = minimum / static_cast<MilliUnits>(wiring.sites.size());
  }
  return budgets;
}

std::vector<ClassSettings> Classes() {
  ClassSettings safe, unsafe, slow;
  safe.idempotency = slow.idempotency = Idempotency::kIdempotent;
  safe.latency_objective = Duration(400);
  safe.deadline = Duration(1000);
  unsafe.idempotency = Idempotency::kNotIdempotent;
  unsafe.latency_objective = Duration(800);
  unsafe.deadline = Duration(1500);
  unsafe.priority_weight = 4;
  slow.latency_objective = Duration(1000);
  slow.deadline = Duration(2000);
  slow.priority_weight = 0.5;
  return {safe, unsafe, slow};
}

fleet::FleetSection PoolSection(milliseconds probe, int suspicion, milliseconds sync) {
  fleet::FleetSection section;
  section.on = true;
  section.probe_interval = probe;
  section.suspicion_multiplier = suspicion;
  section.sync_interval = sync;
  section.lease_term = seconds(3);
  return section;
}

}  // namespace

Wiring WiringOf(std::uint64_t seed, const SystemOptions& options) {
  Wiring wiring;
  for (std::size_t site = 0; site < options.sites; ++site) {
    wiring.sites.push_back(std::string(1, 's').append(std::to_string(site + 1)));
    for (std::size_t i = 0; i < options.gateways; ++i) {
      const std::string name = wiring.sites.back() + ".g" + std::to_string(i + 1);
      const Endpoint address = Federation::AddressOf(site * options.gateways + i);
      wiring.addresses[name] = address;
      wiring.directory[wiring.sites.back()][name] = {address, {address.address(), 8080}};
      wiring.layout[wiring.sites.back()].insert(name);
    }
  }
  for (std::size_t i = 0; i < kPartners; ++i)
    wiring.tenants.push_back(std::string("partner-").append(std::to_string(i)));
  wiring.tenants.push_back("without-budget");
  wiring.budgets = DrawBudgets(seed, wiring);
  return wiring;
}

SceneOptions SceneOf(std::uint64_t seed, const SystemOptions& options, const Wiring& wiring) {
  SceneOptions scene;
  FederationOptions& federation = scene.federation;
  federation.sites = options.sites;
  federation.members = options.gateways;
  federation.fleet = PoolSection(milliseconds(300), 4, seconds(3));
  federation.federated = true;
  federation.federation_pool = PoolSection(milliseconds(500), 5, seconds(3));
  federation.federation_pool.name = "sites";
  federation.federation_pool.share_ejections = false;
  federation.federation_pool.max_bytes_per_second = 131072;
  for (std::size_t i = 0; i < wiring.allocators; ++i)
    federation.federation_duties.push_back({Wiring::AllocatorOf(i), fleet::LeasedRoleKind::kExclusive});
  for (const std::string& site : wiring.sites)
    federation.duties.push_back({Wiring::AmbassadorOf(site), fleet::LeasedRoleKind::kExclusive});
  const double bound = std::chrono::duration<double>(wiring.timings.clock_drift) / wiring.timings.lease_term;
  federation.max_rate_error = ClocksApart(seed) ? bound : kSmallError;
  scene.settings.classes = Classes();
  scene.settings.tenants.assign(wiring.tenants.size(), TenantSettings{kCapacity});
  scene.settings.max_attempts = 3;
  scene.settings.max_retry_after = Duration(1000);
  scene.servers = kServers;
  scene.server.cores = kCores;
  scene.clients.per_s = 0.5 * kCapacity;
  scene.clients.class_shares = {5, 4, 1};
  scene.clients.tenant_shares.assign(wiring.tenants.size(), 1);
  scene.clients.work_ms = kWork;
  scene.clients.most_tries = 3;
  scene.clients.marked = 0.05;
  scene.clients.mark = wiring.sites.back() + "/" + wiring.sites.back() + ".g1";
  return scene;
}

std::vector<Fault> SystemFaults(std::uint64_t seed, const SystemOptions& options) {
  using enum FaultKind;
  Dice dice(seed, kClocks);
  FaultOptions of;
  of.machines = options.sites * options.gateways;
  of.count = 4 + dice.Below(8);
  of.from = kFaultsFrom;
  of.to = std::max(kFaultsFrom + seconds(1), options.length - kRecovery);
  if (!ClocksApart(seed)) of.max_jump_ms = kSmallJump;
  std::vector<Fault> faults = DrawFaults(seed * 1'000'003 + kFaultsOfGateways, of);
  // Machines of a site after the gateways: its servers, then its clients.
  of.machines = options.sites * kServers;
  of.count = dice.Below(4);
  of.kinds = {kCrash, kStall};
  for (Fault fault : DrawFaults(seed * 1'000'003 + kFaultsOfServers, of)) {
    for (std::size_t& who : fault.machines)
      who = options.sites * options.gateways + who / kServers * (kServers + 1) + who % kServers;
    faults.push_back(std::move(fault));
  }
  std::stable_sort(faults.begin(), faults.end(), [](const Fault& a, const Fault& b) { return a.at < b.at; });
  return faults;
}

bool SkewKept(std::uint64_t seed, const std::vector<Fault>& faults, const Wiring& wiring) {
  if (ClocksApart(seed)) return false;
  double forward = 0, back = 0;
  for (const Fault& fault : faults) {
    if (fault.kind != FaultKind::kWallJump) continue;
    forward += std::max(0.0, fault.magnitude);
    back += std::max(0.0, -fault.magnitude);
  }
  return forward + back < static_cast<double>(wiring.spill.max_clock_skew.count()) / 2;
}

bool LosesDisks(const std::vector<Fault>& faults) {
  return std::any_of(faults.begin(), faults.end(),
                     [](const Fault& fault) { return fault.kind == FaultKind::kCrashNoDisk; });
}

void Schedule(std::uint64_t seed, const SystemOptions& options, Scene& scene) {
  Dice dice(seed, kLoads);
  World& world = scene.world();
  const bool all_over = seed % 4 == 0;
  const std::size_t over = dice.Below(options.sites);
  for (std::size_t site = 0; site < options.sites; ++site) {
    const double load = all_over || site == over ? dice.Real(1.3, 2) : dice.Real(0.2, 0.9);
    const double later = all_over ? load : dice.Real(0.2, 1.6);
    const Moment changes = dice.At(options.length / 2, options.length);
    world.At(Moment(0), [&scene, site, load] { scene.pool(site)->SetRate(load * kCapacity); });
    world.At(changes, [&scene, site, later] { scene.pool(site)->SetRate(later * kCapacity); });
    world.At(options.length, [&scene, site] { scene.pool(site)->SetRate(0); });
    for (Moment at{0}; at < options.length; at += dice.At(seconds(1), kMove)) {
      std::vector<double> shares;
      for (std::size_t i = 0; i <= kPartners; ++i)
        shares.push_back(dice.Chance(0.6) ? dice.Real(0, 1) : 0.01);
      world.At(at, [&scene, site, shares] { scene.pool(site)->SetTenants(shares); });
    }
  }
  Dice drains(seed, kDrains);
  for (std::size_t n = drains.Below(3); n > 0; --n) {
    const std::size_t site = drains.Below(options.sites), gateway = drains.Below(options.gateways);
    const Moment at = drains.At(kFaultsFrom, options.length - kRecovery);
    const auto of = [&scene, site, gateway] {
      return static_cast<SystemGateway*>(scene.gateway(site, gateway));
    };
    world.At(at, [of] { of() ? of()->Leave() : void(); });
    world.At(std::min(at + drains.At(milliseconds(500), seconds(5)), options.length - kRecovery),
             [of] { of() ? of()->Rejoin() : void(); });
  }
}

}  // namespace load_balancer::model
