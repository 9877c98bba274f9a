// SPDX-License-Identifier: Apache-2.0
#include "federation/pool.h"

#include <utility>

#include "base/log.h"
#include "proxy/failures.h"

namespace load_balancer::proxy {
namespace {

std::map<std::string, fleet::Udp::endpoint> AddressesOf(const fleet::SitesSection& sites) {
  std::map<std::string, fleet::Udp::endpoint> addresses;
  for (const auto& [site, gateways] : sites.gateways)
    for (const auto& [name, at] : gateways) addresses[name] = at.pool;
  return addresses;
}

fleet::NodeOptions OptionsOf(const std::vector<std::string>& duties, const std::string& votes) {
  fleet::NodeOptions options;
  options.component = "sites";
  options.votes = votes;
  options.duties.clear();
  for (const std::string& duty : duties) options.duties.push_back({duty, fleet::LeasedRoleKind::kExclusive});
  return options;
}

}  // namespace

Pool::Pool(boost::asio::io_context& io, const fleet::SitesSection& sites, const std::string& self,
           std::uint64_t seed, const std::vector<std::string>& duties, const std::string& votes, Host& host)
    : self_(self),
      addresses_(AddressesOf(sites)),
      host_(host),
      node_(io, fleet::PoolOf(sites), self, seed, *this, OptionsOf(duties, votes)) {}

void Pool::Send(const std::string& gateway, const std::string& channel, nlohmann::json payload) {
  const auto to = addresses_.find(gateway);
  if (to == addresses_.end() || !HasAddress()) return;
  if (!node_.Send(to->second, channel, std::move(payload)))
    log::Error("sites", Failure(kNotSent, "gateway=" + gateway, "channel=" + channel));
}

void Pool::Subscribe(const std::string& channel, Take take) {
  node_.Subscribe(channel,
                  [this, take = std::move(take)](const fleet::Update& sender, const nlohmann::json& payload) {
                    const auto known = addresses_.find(sender.name);
                    if (known != addresses_.end() && known->second == sender.address)
                      take(sender.name, payload);
                  });
}

// Holders are named as "gateway/life".
std::string Pool::HolderOf(const std::string& duty) const {
  const std::string holder = node_.HolderOf(duty);
  return holder.substr(0, holder.find('/'));
}

std::map<std::string, bool> Pool::Present() const {
  std::map<std::string, bool> present;
  if (!HasAddress()) return present;
  present[self_] = true;
  for (const auto& [name, member] : node_.membership()->others())
    present[name] = member.update.state == fleet::MemberState::kAlive ||
                    member.update.state == fleet::MemberState::kSuspect;
  return present;
}

}  // namespace load_balancer::proxy
