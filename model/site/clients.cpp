// SPDX-License-Identifier: Apache-2.0
#include "model/site/clients.h"

#include <algorithm>
#include <utility>

namespace load_balancer::model {
namespace {

constexpr double kLeastRate = 1e-3;  // a pool without requests looks again after a quarter of an hour

Span OfMs(double ms) {
  return std::chrono::duration_cast<Span>(std::chrono::duration<double, std::milli>(ms));
}

}  // namespace

ClientPool::ClientPool(Host& host, ClientOptions options, Ledger& ledger)
    : host_(host),
      options_(std::move(options)),
      ledger_(ledger),
      random_(options_.seed),
      last_((static_cast<CallId>(options_.site) + 1) << 40) {
  wakes_.emplace(host_.Now() + UntilNext(), std::pair(kNew, 0));
}

Span ClientPool::UntilNext() {
  return OfMs(1000 * std::exponential_distribution<double>(std::max(kLeastRate, options_.per_s))(random_));
}

int ClientPool::Pick(const std::vector<double>& shares) {
  return std::discrete_distribution<int>(shares.begin(), shares.end())(random_);
}

void ClientPool::Tick() {
  while (!wakes_.empty() && wakes_.begin()->first <= host_.Now()) {
    const auto [call, tried] = wakes_.begin()->second;
    wakes_.erase(wakes_.begin());
    if (call != kNew) {
      OnWake(call, tried);
      continue;
    }
    if (options_.per_s > 0) Begin();
    wakes_.emplace(host_.Now() + UntilNext(), std::pair(kNew, 0));
  }
}

void ClientPool::Begin() {
  const CallId call = ++last_;
  ClientAsk ask;
  ask.call = call;
  ask.request_class = Pick(options_.class_shares);
  ask.tenant = Pick(options_.tenant_shares);
  ask.key = options_.keys > 0 ? 1 + random_() % options_.keys : 0;
  ask.work_ms = std::exponential_distribution<double>(1 / options_.work_ms)(random_);
  const ClassSettings& of = options_.classes.at(static_cast<std::size_t>(ask.request_class));
  ask.left = OfMs(of.deadline.count());
  if (options_.marked > 0 && std::generate_canonical<double, 53>(random_) < options_.marked)
    ask.mark = options_.mark;
  ledger_.Asked(call, {options_.site,
                       ask.request_class,
                       ask.tenant,
                       of.idempotency == Idempotency::kNotIdempotent,
                       of.priority_weight,
                       ask.work_ms,
                       host_.TrueTime(),
                       Moment(0),
                       0,
                       0,
                       {},
                       {},
                       Ending::kExpired});
  open_[call].ask = ask;
  Send(call);
}

void ClientPool::Send(CallId call) {
  Open& open = open_.at(call);
  open.waits = false;
  open.gateway = options_.gateways.at(random_() % options_.gateways.size());
  wakes_.emplace(host_.Now() + open.ask.left, std::pair(call, open.ask.tried));
  host_.Send(open.gateway, open.ask, kAskBytes);
}

void ClientPool::OnWake(CallId call, int tried) {
  const auto found = open_.find(call);
  if (found == open_.end() || found->second.ask.tried != tried) return;
  if (found->second.waits) return Send(call);
  End(call, Ending::kExpired);
}

void ClientPool::Receive(const Packet& packet) {
  const auto* answer = std::any_cast<ClientAnswer>(packet.content.get());
  if (!answer) return;
  const auto found = open_.find(answer->call);
  if (found == open_.end()) return;
  Open& open = found->second;
  if (open.ask.tried != answer->tried || open.waits) return;
  if (answer->ending != Ending::kRefused || open.ask.tried + 1 >= options_.most_tries)
    return End(answer->call, answer->ending);
  ++open.ask.tried;
  open.waits = true;
  const double stretch = 1 + std::generate_canonical<double, 53>(random_);
  const Span wait = answer->retry_after > Span(0)
                        ? answer->retry_after
                        : std::chrono::duration_cast<Span>(options_.backoff * stretch);
  wakes_.emplace(host_.Now() + wait, std::pair(answer->call, open.ask.tried));
}

void ClientPool::End(CallId call, Ending ending) {
  ledger_.Ended(call, ending, host_.TrueTime());
  open_.erase(call);
}

}  // namespace load_balancer::model
