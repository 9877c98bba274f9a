// SPDX-License-Identifier: Apache-2.0
#include "model/system/quota_side.h"

#include <algorithm>
#include <utility>

namespace brackenspoke::model {
namespace {

constexpr const char *kTreasurerKey = "t", *kRequestKey = "q", *kAnswerKey = "a";

quota::AccountOptions OptionsOf(const Wiring& wiring, const PoolMember& pool, const Host& host) {
  const std::string& site = wiring.sites.at(pool.options().site);
  const auto life = static_cast<std::uint64_t>(host.True().count()) + 1;
  return {site, wiring.layout.at(site).size(), life, wiring.treasurers, wiring.timings};
}

}  // namespace

QuotaSide::QuotaSide(Host& host, PoolMember& pool, std::size_t machine, const Wiring& wiring, Checks& checks)
    : host_(host),
      pool_(pool),
      machine_(machine),
      wiring_(wiring),
      checks_(checks),
      account_(OptionsOf(wiring, pool, host), wiring.budgets, host.Now()) {
  for (std::size_t i = 0; i < wiring.treasurers; ++i)
    treasurers_.emplace_back(quota::TreasurerOptions{i, wiring.treasurers, wiring.layout, wiring.timings},
                             wiring.budgets);
}

quota::Charged QuotaSide::Charge(std::string_view partner, double work_ms) {
  const auto budget = wiring_.budgets->partners.find(partner);
  if (budget == wiring_.budgets->partners.end()) return {};
  return account_.Charge(host_.Now(), partner, budget->second.unit == quota::Unit::kRequests ? 1 : work_ms);
}

Time QuotaSide::OutUntil() const {
  const Time now = host_.Now();
  Time latest = now;
  for (const quota::Treasurer& treasurer : treasurers_) latest = std::max(latest, treasurer.OutUntil(now));
  return latest;
}

void QuotaSide::Send(const std::string& gateway, nlohmann::json payload) {
  if (gateway == host_.Name()) return posted_.push_back(std::move(payload));
  const auto to = wiring_.addresses.find(gateway);
  if (to != wiring_.addresses.end()) pool_.Send(to->second, kChannel, std::move(payload));
}

void QuotaSide::Receive(const std::string& gateway, const nlohmann::json& payload) {
  const auto treasurer = payload.at(kTreasurerKey).get<std::size_t>();
  if (const auto request = payload.find(kRequestKey); request != payload.end())
    TakeRequest(treasurer, gateway, *request);
  if (const auto answer = payload.find(kAnswerKey); answer != payload.end())
    TakeAnswer(treasurer, gateway, *answer);
}

std::optional<fleet::LeaseGuard> QuotaSide::Guard(std::size_t treasurer) const {
  return paused_ ? std::nullopt : pool_.Guard(Wiring::TreasurerOf(treasurer));
}

void QuotaSide::TakeRequest(std::size_t treasurer, const std::string& gateway, const nlohmann::json& json) {
  const auto guard = Guard(treasurer);
  if (!guard) return;
  const auto request = quota::RequestFromJson(json, gateway);
  if (!request) return;
  quota::TreasurerActions actions;
  treasurers_[treasurer].Receive(host_.Now(), *guard, gateway, *request, &actions);
  Do(treasurer, actions, *guard);
}

void QuotaSide::TakeAnswer(std::size_t treasurer, const std::string& gateway, const nlohmann::json& json) {
  const auto answer = quota::AnswerFromJson(json, gateway);
  if (!answer) return;
  quota::AccountActions actions;
  account_.Receive(host_.Now(), treasurer, *answer, &actions);
  Do(actions);
}

Time QuotaSide::Next() const {
  if (!posted_.empty()) return host_.Now();
  Time next = account_.Next();
  for (std::size_t i = 0; i < treasurers_.size(); ++i)
    if (Guard(i)) next = std::min(next, treasurers_[i].Next());
  return next;
}

void QuotaSide::Tick() {
  for (const nlohmann::json& payload : std::exchange(posted_, {})) Receive(host_.Name(), payload);
  const Time now = host_.Now();
  quota::AccountActions actions;
  account_.Tick(now, &actions);
  Do(actions);
  for (std::size_t i = 0; i < treasurers_.size(); ++i) {
    const auto guard = Guard(i);
    if (!guard) continue;
    quota::TreasurerActions handed_out;
    treasurers_[i].Tick(now, *guard, &handed_out);
    Do(i, handed_out, *guard);
  }
}

void QuotaSide::Do(const quota::AccountActions& actions) {
  for (const quota::AccountAction& action : actions)
    if (const auto* send = std::get_if<quota::SendRequest>(&action))
      Send(pool_.HolderOf(Wiring::TreasurerOf(send->treasurer)),
           {{kTreasurerKey, send->treasurer}, {kRequestKey, quota::ToJson(send->request)}});
}

void QuotaSide::Do(std::size_t treasurer, const quota::TreasurerActions& actions,
                   const fleet::LeaseGuard& guard) {
  for (const quota::TreasurerAction& action : actions) {
    const auto* send = std::get_if<quota::SendAnswer>(&action);
    if (!send) continue;
    checks_.Acted(machine_, kWidePool, guard.duty(), guard.token());
    Send(send->gateway, {{kTreasurerKey, treasurer}, {kAnswerKey, quota::ToJson(send->answer)}});
  }
}

}  // namespace brackenspoke::model
