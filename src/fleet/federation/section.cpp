// SPDX-License-Identifier: Apache-2.0
#include "fleet/federation/section.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>

#include "base/config/endpoint.h"
#include "base/config/section.h"
#include "fleet/section_limits.h"

namespace load_balancer::fleet {
namespace {

using nlohmann::json;
using Tcp = boost::asio::ip::tcp;
using Udp = boost::asio::ip::udp;

constexpr const char* kPoolName = "federation";
constexpr std::size_t kMinVoters = 3;
constexpr std::size_t kMaxSiteNameBytes = 64;
constexpr std::int64_t kMinLeaseTermMs = 100;
constexpr char kNotAName[] = "is no name of 1 to 64 bytes without blanks and / , ;";

// Returns the key path "gateways.SITE.GATEWAY".
std::string GatewayPath(const std::string& site, const std::string& gateway) {
  return "gateways." + site + "." + gateway;
}

// Names occur in messages, in headers and in answers to operators. The excluded characters are separators
// there.
bool IsNameCharacter(unsigned char c) { return c > ' ' && c < 0x7f && c != '/' && c != ',' && c != ';'; }

bool IsValidName(const std::string& name) {
  return !name.empty() && name.size() <= kMaxSiteNameBytes &&
         std::all_of(name.begin(), name.end(), IsNameCharacter);
}

std::optional<Udp::endpoint> ReadEndpoint(const json& gateway, const char* key) {
  const auto found = gateway.find(key);
  return found != gateway.end() && found->is_string() ? ParseUdpEndpoint(found->get<std::string>())
                                                      : std::nullopt;
}

GatewayAddresses ReadGateway(const json& gateway, const std::string& path, Section* section) {
  GatewayAddresses addresses;
  if (!gateway.is_object()) {
    section->Fault(path, "is no object");
    return addresses;
  }
  for (const auto& [key, value] : gateway.items())
    if (key != "pool" && key != "clients") section->Fault(path + "." + key, "is no known key");
  const auto pool = ReadEndpoint(gateway, "pool");
  const auto clients = ReadEndpoint(gateway, "clients");
  if (!pool) section->Fault(path + ".pool", "is no host:port");
  if (!clients) section->Fault(path + ".clients", "is no host:port");
  if (pool) addresses.pool = *pool;
  if (clients) addresses.clients = Tcp::endpoint(clients->address(), clients->port());
  return addresses;
}

SiteGateways ReadSite(const json& site, const std::string& path, Section* section) {
  SiteGateways gateways;
  if (!site.is_object() || site.empty()) {
    section->Fault(path, "is no object of gateways");
    return gateways;
  }
  for (const auto& [name, gateway] : site.items()) {
    const std::string gateway_path = path + "." + name;
    if (!IsValidName(name)) section->Fault(gateway_path, kNotAName);
    gateways[name] = ReadGateway(gateway, gateway_path, section);
  }
  return gateways;
}

void ReadGateways(Section* section, SitesSection* sites) {
  const json* all = section->Find("gateways");
  if (!all) return section->Fault("gateways", "is missing");
  if (!all->is_object()) return section->Fault("gateways", "is no object");
  for (const auto& [site, gateways] : all->items()) {
    const std::string path = "gateways." + site;
    if (!IsValidName(site)) section->Fault(path, kNotAName);
    sites->gateways[site] = ReadSite(gateways, path, section);
  }
}

// Checks that no two gateways share a name or an address.
void CheckDistinct(const SitesSection& sites, Section* section) {
  std::set<std::string> names;
  std::set<Udp::endpoint> pool_addresses;
  std::set<Tcp::endpoint> client_addresses;
  for (const auto& [site, gateways] : sites.gateways) {
    for (const auto& [name, addresses] : gateways) {
      const std::string path = GatewayPath(site, name);
      if (!names.insert(name).second) section->Fault(path, "is a gateway of another site, too");
      // Port 0 means that the address is missing, which ReadGateway has reported already.
      if (addresses.pool.port() != 0 && !pool_addresses.insert(addresses.pool).second)
        section->Fault(path + ".pool", "is another gateway's, too");
      if (addresses.clients.port() != 0 && !client_addresses.insert(addresses.clients).second)
        section->Fault(path + ".clients", "is another gateway's, too");
    }
  }
}

std::set<Udp::endpoint> PoolAddresses(const SitesSection& sites) {
  std::set<Udp::endpoint> addresses;
  for (const auto& [site, gateways] : sites.gateways)
    for (const auto& [name, gateway] : gateways) addresses.insert(gateway.pool);
  return addresses;
}

void CheckVoters(const SitesSection& sites, Section* section) {
  if (sites.voters.size() < kMinVoters || sites.voters.size() % 2 == 0)
    section->Fault("voters", "are not three or more, and odd in number");
  const std::set<Udp::endpoint> pool_addresses = PoolAddresses(sites);
  std::set<Udp::endpoint> seen;
  for (std::size_t i = 0; i < sites.voters.size(); ++i) {
    const std::string path = "voters." + std::to_string(i);
    if (!pool_addresses.contains(sites.voters[i])) section->Fault(path, "is no gateway's pool address");
    if (!seen.insert(sites.voters[i]).second) section->Fault(path, "is listed twice");
  }
}

void ReadPool(Section* section, SitesSection* sites) {
  section->Text("site", &sites->site);
  section->Address("bind", true, &sites->bind);
  sites->advertise = sites->bind;
  section->Address("advertise", false, &sites->advertise);
  section->Addresses("voters", &sites->voters);
  section->Time("probe_interval_ms", kProbeIntervalMs, &sites->probe_interval);
  section->Whole("suspicion_multiplier", kSuspicionMultiplier, &sites->suspicion_multiplier);
  section->Time("sync_interval_ms", kSyncIntervalMs, &sites->sync_interval);
  section->Time("lease_term_ms", kMinLeaseTermMs, kMaxLeaseTermMs, &sites->lease_term);
  section->Time("lease_drift_ms", kLeaseDriftMs, &sites->lease_drift);
  section->Whole("most_bytes_per_second", kMaxBytesPerSecond, &sites->max_bytes_per_second);
  section->RequireMultiple("lease_term_ms", sites->lease_term, kLeaseTermsPerDrift, "lease_drift_ms",
                           sites->lease_drift);
}

void CheckOwnSite(const SitesSection& sites, Section* section) {
  if (sites.site.empty())
    section->Fault("site", "is missing");
  else if (!sites.gateways.contains(sites.site))
    section->Fault("gateways", "has no site " + sites.site + ", which is this one");
}

}  // namespace

SitesSection ReadSites(const json& root, std::vector<std::string>* faults) {
  SitesSection sites;
  Section section(
      root, "sites",
      {"site", "bind", "advertise", "gateways", "voters", "probe_interval_ms", "suspicion_multiplier",
       "sync_interval_ms", "lease_term_ms", "lease_drift_ms", "most_bytes_per_second"},
      faults);
  sites.on = section.present();
  if (!sites.on) return sites;
  ReadPool(&section, &sites);
  ReadGateways(&section, &sites);
  CheckOwnSite(sites, &section);
  CheckDistinct(sites, &section);
  CheckVoters(sites, &section);
  return sites;
}

void CheckSelf(const SitesSection& sites, const std::string& name, const Tcp::endpoint& listen,
               std::vector<std::string>* faults) {
  if (!sites.on) return;
  const std::string path = "sites." + GatewayPath(sites.site, name);
  const auto site = sites.gateways.find(sites.site);
  if (site == sites.gateways.end()) return;  // CheckOwnSite has reported this fault
  const auto self = site->second.find(name);
  if (self == site->second.end()) return faults->push_back(path + " is missing, which is this gateway");
  if (self->second.pool != sites.advertise)
    faults->push_back(path + ".pool is not sites.advertise or, without it, sites.bind");
  if (self->second.clients != listen) faults->push_back(path + ".clients is not listen");
}

std::string SiteOf(const SitesSection& sites, const std::string& gateway) {
  for (const auto& [site, gateways] : sites.gateways)
    if (gateways.contains(gateway)) return site;
  return "";
}

FleetSection PoolOf(const SitesSection& sites) {
  FleetSection pool;
  pool.on = sites.on;
  pool.name = kPoolName;
  pool.bind = sites.bind;
  pool.advertise = sites.advertise;
  pool.seeds = sites.voters;
  pool.probe_interval = sites.probe_interval;
  pool.suspicion_multiplier = sites.suspicion_multiplier;
  pool.sync_interval = sites.sync_interval;
  pool.lease_term = sites.lease_term;
  pool.lease_drift = sites.lease_drift;
  pool.max_bytes_per_second = sites.max_bytes_per_second;
  pool.share_ejections = false;
  pool.forget_after = std::max(pool.forget_after, LongestSuspicion(pool));
  return pool;
}

}  // namespace load_balancer::fleet
