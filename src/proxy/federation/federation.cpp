// SPDX-License-Identifier: Apache-2.0
#include "federation/federation.h"

#include <unistd.h>

#include <chrono>
#include <utility>

#include "members.h"

namespace load_balancer::proxy {
namespace {

// Of the pool's random numbers; those of the site's fleet have another.
std::uint64_t SeedOf(const Config& config) { return config.seed ^ StableHash("sites/" + config.name); }

// Two lives of a gateway begin in different milliseconds or are different processes.
std::uint64_t LifeOf() {
  const auto unix = std::chrono::system_clock::now().time_since_epoch();
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(unix).count();
  return (static_cast<std::uint64_t>(ms) << 22) | (static_cast<std::uint64_t>(::getpid()) & 0x3fffff);
}

}  // namespace

Federation::Federation(boost::asio::io_context& io, const Config& config, const std::string& votes,
                       fleet::Node& site, std::function<std::size_t()> connections, MemoryBudget& memory,
                       SpillHost& host)
    : sites_(config.sites),
      pool_(io, sites_, config.name, SeedOf(config), QuotaService::Duties(config.quota), votes, *this),
      leave_timer_(io) {
  if (config.quota.on) quota_ = std::make_unique<QuotaService>(io, sites_, config.quota, LifeOf(), pool_);
  if (config.spill.on)
    spill_ = std::make_unique<SpillService>(io, sites_, config.spill, config.name, SeedOf(config),
                                            std::move(connections), memory, pool_, site, host);
}

quota::ChargeResult Federation::Charge(std::string_view owner, double work_ms) {
  return quota_ ? quota_->Charge(owner, work_ms) : quota::ChargeResult{};
}

void Federation::Credit(const quota::ChargeReceipt& receipt) {
  if (quota_) quota_->Credit(receipt);
}

void Federation::Reconfigure(const Config& config) {
  if (quota_ && !stopped_) quota_->UpdateBudgets(config.quota);
}

// A lease given back while grants are out would let the next allocator hand them out a second time.
void Federation::LeaveWhenDone(void (fleet::Node::*leave)()) {
  leave_timer_.expires_at(quota_ ? quota_->GrantsExpireAt() : Steady::now());
  leave_timer_.async_wait([this, leave](const boost::system::error_code& cancelled) {
    if (!cancelled) (pool_.node().*leave)();
  });
}

void Federation::Leave() {
  if (stopped_) return;
  if (quota_) quota_->Pause();
  LeaveWhenDone(&fleet::Node::Leave);
}

void Federation::Rejoin() {
  if (stopped_) return;
  leave_timer_.cancel();
  pool_.node().Rejoin();
  if (quota_) quota_->Resume();
}

void Federation::Stop() {
  if (std::exchange(stopped_, true)) return;
  if (quota_) quota_->Stop();
  LeaveWhenDone(&fleet::Node::Stop);
}

nlohmann::json Federation::Keep() const {
  const auto saved = pool_.node().Save();
  nlohmann::json body = {{"incarnation", saved.incarnation}, {"tokens", saved.tokens}};
  if (quota_) body["ledger"] = quota_->Ledger();
  return body;
}

void Federation::Restore(const nlohmann::json& kept) {
  pool_.node().Restore({kept.at("incarnation").get<std::uint64_t>(),
                        kept.at("tokens").get<std::map<std::string, fleet::FencingToken>>()});
  if (quota_ && kept.contains("ledger")) quota_->Load(kept.at("ledger"));
}

std::string Federation::Members() const {
  const auto present = pool_.Present();
  std::string line = "sites";
  for (const auto& [site, gateways] : sites_.gateways)
    for (const auto& [name, at] : gateways) {
      const auto found = present.find(name);
      const bool here = found != present.end() && found->second;
      line += " " + site + "/" + name + (here ? " present," : " absent,");
    }
  return line + " pool " + pool_.node().DescribeMembers();
}

std::string Federation::State() {
  std::string line = "sites " + pool_.node().DescribeState();
  if (quota_) line += "; quota " + quota_->Describe();
  if (spill_) line += "; spill " + spill_->Describe();
  return line;
}

}  // namespace load_balancer::proxy
