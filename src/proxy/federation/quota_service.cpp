// SPDX-License-Identifier: Apache-2.0
#include "federation/quota_service.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "base/log.h"
#include "quota/duty.h"
#include "quota/message_codec.h"

namespace load_balancer::proxy {
namespace {

using quota::kAllocatorKey;
using quota::kChannel;
using quota::kRequestKey;
using quota::kResponseKey;
using quota::kUnit;
using quota::MilliUnits;
using Source = quota::PartnerAccount::Source;

constexpr std::chrono::milliseconds kLook{50};  // for the pool's address and for leases that come

double Units(MilliUnits amount) { return static_cast<double>(amount) / static_cast<double>(kUnit); }

// In STATE and in the log a reserved minimum is called a floor, and a grant a draw.
const char* Name(Source source) {
  switch (source) {
    case Source::kNone:
      return "none";
    case Source::kReservedMinimum:
      return "floor";
    case Source::kGrant:
      return "draw";
  }
  return "";
}

quota::SiteLayout LayoutOf(const fleet::SitesSection& sites) {
  quota::SiteLayout layout;
  for (const auto& [site, gateways] : sites.gateways)
    for (const auto& [name, at] : gateways) layout[site].insert(name);
  return layout;
}

quota::Timings TimingsOf(const fleet::SitesSection& sites, const quota::QuotaSection& section) {
  return {section.max_grant_lifetime, section.request_interval, sites.lease_term, sites.lease_drift};
}

quota::AccountOptions AccountOptionsOf(const fleet::SitesSection& sites, const quota::QuotaSection& section,
                                       std::uint64_t incarnation) {
  return {sites.site, sites.gateways.at(sites.site).size(), incarnation, section.allocators,
          TimingsOf(sites, section)};
}

}  // namespace

std::vector<std::string> QuotaService::Duties(const quota::QuotaSection& section) {
  std::vector<std::string> duties;
  for (std::size_t i = 0; section.on && i < section.allocators; ++i)
    duties.push_back(quota::AllocatorRoleName(i));
  return duties;
}

QuotaService::QuotaService(boost::asio::io_context& io, const fleet::SitesSection& sites,
                           const quota::QuotaSection& section, std::uint64_t incarnation, Pool& pool)
    : io_(io),
      pool_(pool),
      options_(AccountOptionsOf(sites, section, incarnation)),
      budgets_(std::make_shared<const quota::Budgets>(section.budgets)),
      timer_(io) {
  for (std::size_t i = 0; i < section.allocators; ++i)
    allocators_.emplace_back(
        quota::AllocatorOptions{i, section.allocators, LayoutOf(sites), TimingsOf(sites, section)}, budgets_);
  pool_.Subscribe(kChannel, [this](const std::string& gateway, const nlohmann::json& payload) {
    Receive(gateway, payload);
  });
  Begin();
  Arm();
}

void QuotaService::Begin() {
  if (account_ || stopped_ || !pool_.HasAddress()) return;
  account_.emplace(options_, budgets_, Steady::now());
}

quota::ChargeResult QuotaService::Charge(std::string_view partner, double work_ms) {
  const auto budget = budgets_->partners.find(partner);
  if (budget == budgets_->partners.end()) return {};
  Begin();
  quota::ChargeResult charged;
  charged.verdict = quota::ChargeVerdict::kOverBudget;
  charged.over_limit_action = budget->second.over_limit_action;
  charged.retry_after = options_.timings.max_grant_lifetime;
  if (account_)
    charged =
        account_->Charge(Steady::now(), partner, budget->second.unit == quota::Unit::kRequests ? 1 : work_ms);
  Arm();
  return charged;
}

void QuotaService::Credit(const quota::ChargeReceipt& receipt) {
  if (account_) account_->Credit(Steady::now(), receipt);
}

void QuotaService::UpdateBudgets(const quota::QuotaSection& section) {
  budgets_ = std::make_shared<const quota::Budgets>(section.budgets);
  for (quota::Allocator& allocator : allocators_) allocator.UpdateBudgets(budgets_);
  if (account_) {
    quota::AccountActions actions;
    account_->UpdateBudgets(Steady::now(), budgets_, &actions);
    Do(actions);
  }
  log::Info("quota",
            fmt::format("budgets revision={} partners={}", budgets_->revision, budgets_->partners.size()));
  Arm();
}

void QuotaService::Resume() {
  paused_ = false;
  Arm();
}

void QuotaService::Stop() {
  if (std::exchange(stopped_, true)) return;
  timer_.cancel();
  if (account_) account_->Retire(Steady::now());
}

Steady::time_point QuotaService::GrantsExpireAt() const {
  auto latest = Steady::now();
  const auto now = latest;
  for (const quota::Allocator& allocator : allocators_)
    latest = std::max(latest, allocator.GrantsExpireAt(now));
  return latest;
}

nlohmann::json QuotaService::Ledger() const {
  auto ledgers = nlohmann::json::array();
  const auto now = Steady::now();
  for (const quota::Allocator& allocator : allocators_) ledgers.push_back(allocator.Ledger(now));
  return ledgers;
}

void QuotaService::Load(const nlohmann::json& ledger) {
  for (std::size_t i = 0; ledger.is_array() && i < std::min(ledger.size(), allocators_.size()); ++i)
    if (const auto loaded = allocators_[i].Load(Steady::now(), ledger[i]); !loaded)
      log::Warn("quota", loaded.error());
}

// ---- messages -----------------------------------------------------------------------------------------
// To this process itself not from within what it does now.
void QuotaService::Send(const std::string& gateway, nlohmann::json payload) {
  if (gateway != pool_.self()) return pool_.Send(gateway, kChannel, std::move(payload));
  boost::asio::post(io_, [this, alive = std::weak_ptr(alive_), payload = std::move(payload)] {
    if (!alive.expired()) Receive(pool_.self(), payload);
  });
}

void QuotaService::Receive(const std::string& gateway, const nlohmann::json& payload) {
  if (stopped_ || !payload.is_object()) return;
  const auto allocator = payload.find(kAllocatorKey);
  if (allocator == payload.end() || !allocator->is_number_unsigned()) return;
  const auto index = allocator->get<std::size_t>();
  if (index >= allocators_.size()) return;
  if (const auto request = payload.find(kRequestKey); request != payload.end())
    TakeRequest(index, gateway, *request);
  if (const auto response = payload.find(kResponseKey); response != payload.end())
    TakeResponse(index, gateway, *response);
  Arm();
}

// The right to issue grants.
std::optional<fleet::LeaseProof> QuotaService::ProveLease(std::size_t allocator) const {
  return paused_ || stopped_ ? std::nullopt : pool_.ProveLease(quota::AllocatorRoleName(allocator));
}

void QuotaService::TakeRequest(std::size_t allocator, const std::string& gateway,
                               const nlohmann::json& json) {
  const auto proof = ProveLease(allocator);
  if (!proof) return;  // another process holds it by now: the gateway repeats its request
  const auto request = quota::AllocationRequestFromJson(json, gateway);
  if (!request) return log::Warn("quota", request.error());
  quota::AllocatorActions actions;
  allocators_[allocator].OnRequest(Steady::now(), *proof, gateway, *request, &actions);
  Do(allocator, actions);
}

void QuotaService::TakeResponse(std::size_t allocator, const std::string& gateway,
                                const nlohmann::json& json) {
  const auto response = quota::AllocationResponseFromJson(json, gateway);
  if (!response) return log::Warn("quota", response.error());
  Begin();
  if (!account_) return;
  quota::AccountActions actions;
  account_->OnResponse(Steady::now(), allocator, *response, &actions);
  Do(actions);
}

// ---- time ---------------------------------------------------------------------------------------------
Steady::time_point QuotaService::Next() const {
  auto next = account_ ? account_->Next() : Steady::now() + kLook;
  for (std::size_t i = 0; i < allocators_.size(); ++i)
    if (ProveLease(i)) next = std::min(next, allocators_[i].Next());
  return next;
}

void QuotaService::Arm() {
  const auto next = Next();
  if (stopped_ || next >= armed_) return;
  armed_ = next;
  timer_.expires_at(next);
  timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled) Tick();
  });
}

void QuotaService::Tick() {
  armed_ = Steady::time_point::max();
  if (stopped_) return;
  Begin();
  if (account_) {
    quota::AccountActions actions;
    account_->Tick(Steady::now(), &actions);
    Do(actions);
  }
  for (std::size_t i = 0; i < allocators_.size(); ++i) {
    const auto proof = ProveLease(i);
    if (!proof) continue;
    quota::AllocatorActions actions;
    allocators_[i].Tick(Steady::now(), *proof, &actions);
    Do(i, actions);
  }
  Arm();
}

// ---- actions ------------------------------------------------------------------------------------------
void QuotaService::Do(const quota::AccountActions& actions) {
  for (const auto& action : actions) std::visit([this](const auto& a) { Do(a); }, action);
}

void QuotaService::Do(const quota::SendRequest& action) {
  Send(pool_.HolderOf(quota::AllocatorRoleName(action.allocator)),
       {{kAllocatorKey, action.allocator}, {kRequestKey, quota::ToJson(action.request)}});
}

void QuotaService::Do(const quota::SourceChanged& action) {
  log::Info("quota", fmt::format("partner={} source={} per_s={:.3f} depth={:.3f} draw={}/{}", action.partner,
                                 Name(action.source), Units(action.in_force.rate),
                                 Units(action.in_force.depth), action.grant.token, action.grant.number));
}

void QuotaService::Do(const quota::LogWarning& action) { log::Warn("quota", action.failure); }

void QuotaService::Do(std::size_t allocator, const quota::AllocatorActions& actions) {
  for (const auto& action : actions) {
    if (const auto* begun = std::get_if<quota::TermBegan>(&action))
      log::Info("quota", fmt::format("duty={} token={} hands out draws", quota::AllocatorRoleName(allocator),
                                     begun->token));
    else if (const auto* warning = std::get_if<quota::LogWarning>(&action))
      log::Warn("quota", warning->failure);
    else if (const auto* send = std::get_if<quota::SendResponse>(&action))
      Send(send->gateway, {{kAllocatorKey, allocator}, {kResponseKey, quota::ToJson(send->response)}});
  }
}

// ---- operators ----------------------------------------------------------------------------------------
std::string QuotaService::Describe() {
  const auto now = Steady::now();
  std::string line = fmt::format("revision={}{}", budgets_->revision,
                                 account_ && account_->is_agreed() ? "" : " not agreed");
  if (account_)
    for (const auto& each : account_->Statuses(now)) {
      const auto& budget = budgets_->partners.at(each.partner);
      const auto floor = quota::ReservedMinimumOf(budget, options_.site, options_.gateways);
      line +=
          fmt::format(", {} per_s={:.3f} burst={:.3f} floor={:.3f} source={} in_force={:.3f} demand={:.3f}",
                      each.partner, Units(budget.rate), Units(budget.burst), Units(floor.rate),
                      Name(each.source), Units(each.in_force.rate), Units(each.demand));
    }
  for (std::size_t i = 0; i < allocators_.size(); ++i) {
    if (!ProveLease(i)) continue;
    for (const auto& each : allocators_[i].Statuses(now))
      line += fmt::format(", {} {} per_s={:.3f} committed={:.3f} asking={}", quota::AllocatorRoleName(i),
                          each.partner, Units(each.rate), Units(each.committed), each.demand.size());
  }
  return line;
}

}  // namespace load_balancer::proxy
