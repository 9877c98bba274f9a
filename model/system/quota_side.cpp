// SPDX-License-Identifier: Apache-2.0
#include "model/system/quota_side.h"

#include <algorithm>
#include <utility>

#include "quota/message_codec.h"

namespace load_balancer::model {
namespace {

using quota::kAllocatorKey;
using quota::kRequestKey;
using quota::kResponseKey;

quota::AccountOptions OptionsOf(const Wiring& wiring, const PoolMember& pool, const Host& host) {
  const std::string& site = wiring.sites.at(pool.options().site);
  const auto incarnation = static_cast<std::uint64_t>(host.TrueTime().count()) + 1;
  return {site, wiring.layout.at(site).size(), incarnation, wiring.allocators, wiring.timings};
}

}  // namespace

QuotaSide::QuotaSide(Host& host, PoolMember& pool, std::size_t machine, const Wiring& wiring, Checks& checks)
    : host_(host),
      pool_(pool),
      machine_(machine),
      wiring_(wiring),
      checks_(checks),
      account_(OptionsOf(wiring, pool, host), wiring.budgets, host.Now()) {
  for (std::size_t i = 0; i < wiring.allocators; ++i)
    allocators_.emplace_back(quota::AllocatorOptions{i, wiring.allocators, wiring.layout, wiring.timings},
                             wiring.budgets);
}

quota::ChargeResult QuotaSide::Charge(std::string_view partner, double work_ms) {
  const auto budget = wiring_.budgets->partners.find(partner);
  if (budget == wiring_.budgets->partners.end()) return {};
  return account_.Charge(host_.Now(), partner, budget->second.unit == quota::Unit::kRequests ? 1 : work_ms);
}

Time QuotaSide::GrantsExpireAt() const {
  const Time now = host_.Now();
  Time latest = now;
  for (const quota::Allocator& allocator : allocators_)
    latest = std::max(latest, allocator.GrantsExpireAt(now));
  return latest;
}

void QuotaSide::Send(const std::string& gateway, nlohmann::json payload) {
  if (gateway == host_.Name()) return posted_.push_back(std::move(payload));
  const auto to = wiring_.addresses.find(gateway);
  if (to != wiring_.addresses.end()) pool_.Send(to->second, kChannel, std::move(payload));
}

void QuotaSide::Receive(const std::string& gateway, const nlohmann::json& payload) {
  const auto allocator = payload.at(kAllocatorKey).get<std::size_t>();
  if (const auto request = payload.find(kRequestKey); request != payload.end())
    TakeRequest(allocator, gateway, *request);
  if (const auto response = payload.find(kResponseKey); response != payload.end())
    TakeResponse(allocator, gateway, *response);
}

std::optional<fleet::LeaseProof> QuotaSide::ProveLease(std::size_t allocator) const {
  return paused_ ? std::nullopt : pool_.ProveLease(Wiring::AllocatorOf(allocator));
}

void QuotaSide::TakeRequest(std::size_t allocator, const std::string& gateway, const nlohmann::json& json) {
  const auto proof = ProveLease(allocator);
  if (!proof) return;
  const auto request = quota::AllocationRequestFromJson(json, gateway);
  if (!request) return;
  quota::AllocatorActions actions;
  allocators_[allocator].OnRequest(host_.Now(), *proof, gateway, *request, &actions);
  Do(allocator, actions, *proof);
}

void QuotaSide::TakeResponse(std::size_t allocator, const std::string& gateway, const nlohmann::json& json) {
  const auto response = quota::AllocationResponseFromJson(json, gateway);
  if (!response) return;
  quota::AccountActions actions;
  account_.OnResponse(host_.Now(), allocator, *response, &actions);
  Do(actions);
}

Time QuotaSide::Next() const {
  if (!posted_.empty()) return host_.Now();
  Time next = account_.Next();
  for (std::size_t i = 0; i < allocators_.size(); ++i)
    if (ProveLease(i)) next = std::min(next, allocators_[i].Next());
  return next;
}

void QuotaSide::Tick() {
  for (const nlohmann::json& payload : std::exchange(posted_, {})) Receive(host_.Name(), payload);
  const Time now = host_.Now();
  quota::AccountActions actions;
  account_.Tick(now, &actions);
  Do(actions);
  for (std::size_t i = 0; i < allocators_.size(); ++i) {
    const auto proof = ProveLease(i);
    if (!proof) continue;
    quota::AllocatorActions issued;
    allocators_[i].Tick(now, *proof, &issued);
    Do(i, issued, *proof);
  }
}

void QuotaSide::Do(const quota::AccountActions& actions) {
  for (const quota::AccountAction& action : actions)
    if (const auto* send = std::get_if<quota::SendRequest>(&action))
      Send(pool_.HolderOf(Wiring::AllocatorOf(send->allocator)),
           {{kAllocatorKey, send->allocator}, {kRequestKey, quota::ToJson(send->request)}});
}

void QuotaSide::Do(std::size_t allocator, const quota::AllocatorActions& actions,
                   const fleet::LeaseProof& proof) {
  for (const quota::AllocatorAction& action : actions) {
    const auto* send = std::get_if<quota::SendResponse>(&action);
    if (!send) continue;
    checks_.Acted(machine_, kFederationPool, proof.lease_name(), proof.token());
    Send(send->gateway, {{kAllocatorKey, allocator}, {kResponseKey, quota::ToJson(send->response)}});
  }
}

}  // namespace load_balancer::model
