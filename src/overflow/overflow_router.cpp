// SPDX-License-Identifier: Apache-2.0
#include "overflow/overflow_router.h"

#include <algorithm>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <utility>

#include "overflow/failures.h"

namespace load_balancer::overflow {
namespace {

// Fraction of a bucket's depth that is reserved for requests of higher priority weight when those alone
// demand all of the offered capacity (trunk reservation: Kelly, "Loss networks", 1991).
constexpr double kMaxReservedFraction = 0.6;
constexpr std::chrono::seconds kMinLogInterval{1};  // between log lines about rejected estimates

}  // namespace

OverflowRouter::OverflowRouter(Options options, Directory sites, std::string own_site, std::uint64_t seed,
                               Time now)
    : now_(now),
      options_(options),
      sites_(std::move(sites)),
      own_site_(std::move(own_site)),
      random_(seed),
      estimates_(options_, sites_),
      remote_gateways_(sites_, own_site_, random_) {
  UpdateBuckets();
}

void OverflowRouter::Handle(Time now, const Event& event, std::vector<Action>* actions) {
  now_ = std::max(now_, now);
  actions_ = actions;
  std::visit([this](const auto& each) { On(each); }, event);
}

void OverflowRouter::On(const RejectedRequest& event) {
  if (open_.contains(event.request)) return;
  Open open{event, now_ + event.latency_objective_left, now_ + event.deadline_left, 0, 0, {}, {}};
  auto reason = CheckEligibility(event, options_);
  if (!reason && estimates_.MayForward(now_, own_site_) && !PassesThreshold(open))
    reason = RejectReason::kBelowThreshold;
  if (!reason) reason = TryForward(open);
  if (!reason) {
    open_.emplace(event.request, std::move(open));
    return;
  }
  ++counts_.given_up[static_cast<std::size_t>(*reason)];
  actions_->push_back(GiveUp{event.request, event.may_have_run, event.retry_after, *reason});
}

void OverflowRouter::On(const EstimateReceived& event) { UpdateEstimate(event); }

void OverflowRouter::UpdateEstimate(const EstimateReceived& event) {
  const auto is_newer = estimates_.Update(now_, event.wall, event.estimate);
  if (!is_newer) {
    LogFailure(is_newer.error());
    return;
  }
  if (!*is_newer) return;
  UpdateBuckets();
  LogState();
}

void OverflowRouter::On(const ForwardEnded& event) {
  if (event.estimate) UpdateEstimate(*event.estimate);
  const auto found = open_.find(event.request);
  if (found == open_.end() || found->second.destination != event.destination) return;
  Open& open = found->second;
  RecordResult(event.destination, event.outcome == ForwardOutcome::kOk);
  switch (event.outcome) {
    case ForwardOutcome::kOk:
      ++counts_.answered;
      affinities_.Record(now_, open.request.key, event.destination, options_.key_ttl);
      open_.erase(found);
      return;
    case ForwardOutcome::kRejected:
      ++counts_.rejected;
      break;
    case ForwardOutcome::kNotRun:
      ++counts_.not_run;
      break;
    case ForwardOutcome::kMayHaveRun:
      ++counts_.may_have_run;
      if (open.request.idempotency != Idempotency::kIdempotent)
        return End(event.request, RejectReason::kMayHaveRun, true);
      open.request.may_have_run = true;
      break;
  }
  auto reason = open.attempts >= MaxAttempts(open.request.idempotency)
                    ? std::optional(RejectReason::kAttemptsExhausted)
                    : TryForward(open);
  if (reason) End(event.request, *reason, open.request.may_have_run);
}

void OverflowRouter::On(const ClientGone& event) { counts_.client_gone += open_.erase(event.request); }

void OverflowRouter::On(const PresenceChanged& event) {
  remote_gateways_.SetPresent(event.gateway, event.present);
}

void OverflowRouter::On(const Tick&) {
  affinities_.Expire(now_);
  for (const RemoteGateway& gateway : remote_gateways_.EndEjections(now_))
    actions_->push_back(
        Log{nullptr, "gateway " + gateway.site + "/" + gateway.gateway + " is back in service"});
  UpdateBuckets();
  LogState();
  actions_->push_back(SetTimer{now_ + options_.estimate_interval});
}

void OverflowRouter::On(const NewSettings& event) {
  options_ = event.options;
  sites_ = event.sites;
  estimates_.Configure(options_, sites_);
  remote_gateways_.Configure(sites_, own_site_);
  UpdateBuckets();
  LogState();
}

bool OverflowRouter::PassesThreshold(Open& open) {
  const RejectedRequest& request = open.request;
  double offered = 0;
  for (const auto& [site, bucket] : buckets_)
    if (remote_gateways_.AnyInService(now_, site)) offered += bucket.rate();
  if (offered == 0) return true;  // CheckSite then finds a more specific reason
  const AdmissionThreshold::Decision decision =
      threshold_.Evaluate(now_, request.priority_weight, request.work_ms, offered);
  open.reserved_fraction = kMaxReservedFraction * decision.higher_demand;
  return decision.admit_probability >= 1 ||
         boost::random::uniform_01<double>()(random_) < decision.admit_probability;
}

std::optional<RejectReason> OverflowRouter::TryForward(Open& open) {
  if (!estimates_.MayForward(now_, own_site_)) return RejectReason::kNotOverCapacity;
  UpdateBuckets();
  RemoteGateway chosen;
  if (const auto reason = Choose(open, &chosen)) return reason;
  buckets_.at(chosen.site).Take(open.request.work_ms);
  ++open.attempts;
  open.tried.insert(chosen.site);
  open.destination = chosen;
  ++counts_.sent;
  actions_->push_back(ForwardTo{open.request.request, chosen, open.deadline_at - now_});
  return std::nullopt;
}

// Chooses the gateway that last served the key if it can take the request. Otherwise chooses two sites at
// random and takes the one whose bucket has the higher level (Mitzenmacher: "The power of two choices in
// randomized load balancing", 2001).
std::optional<RejectReason> OverflowRouter::Choose(const Open& open, RemoteGateway* chosen) {
  const RemoteGateway* last = affinities_.Find(now_, open.request.key);
  if (last && remote_gateways_.InService(now_, *last) && !CheckSite(open, last->site)) {
    *chosen = *last;
    return std::nullopt;
  }
  std::vector<std::string> candidates;
  RejectReason reason = RejectReason::kNoGateway;
  for (const auto& [site, bucket] : buckets_) {
    const auto site_reason = CheckSite(open, site);
    if (!site_reason) candidates.push_back(site);
    // If no site can take the request, reports kNoCapacity in preference to kTooLate, and kTooLate in
    // preference to kNoGateway.
    if (site_reason == RejectReason::kNoCapacity ||
        (site_reason == RejectReason::kTooLate && reason != RejectReason::kNoCapacity))
      reason = *site_reason;
  }
  if (candidates.empty()) return reason;
  const std::size_t first = RandomIndex(candidates.size());
  std::size_t second = candidates.size() > 1 ? RandomIndex(candidates.size() - 1) : first;
  if (candidates.size() > 1 && second >= first) ++second;
  const bool second_is_fuller =
      buckets_.at(candidates[second]).level() > buckets_.at(candidates[first]).level();
  *chosen = PickGateway(candidates[second_is_fuller ? second : first]);
  return std::nullopt;
}

std::optional<RejectReason> OverflowRouter::CheckSite(const Open& open, const std::string& site) {
  if (open.tried.contains(site) || !remote_gateways_.AnyInService(now_, site))
    return RejectReason::kNoGateway;
  const Estimate* estimate = estimates_.Find(site);
  if (!estimate) return RejectReason::kNoCapacity;
  const Time latest_end = std::min(open.objective_at, open.deadline_at);
  if (now_ + EstimateResponseTime(options_, estimate->wait_ms, open.request.work_ms) > latest_end)
    return RejectReason::kTooLate;
  TokenBucket& bucket = buckets_.at(site);
  return bucket.HasAtLeast(now_, open.reserved_fraction * bucket.depth())
             ? std::nullopt
             : std::optional(RejectReason::kNoCapacity);
}

RemoteGateway OverflowRouter::PickGateway(const std::string& site) {
  const auto in_service = remote_gateways_.InService(now_, site);
  return in_service[RandomIndex(in_service.size())];
}

void OverflowRouter::End(RequestId request, RejectReason reason, bool may_have_run) {
  const auto found = open_.find(request);
  const Span retry_after = found->second.request.retry_after;
  open_.erase(found);
  ++counts_.given_up[static_cast<std::size_t>(reason)];
  actions_->push_back(GiveUp{request, may_have_run, retry_after, reason});
}

void OverflowRouter::RecordResult(const RemoteGateway& gateway, bool success) {
  if (!remote_gateways_.RecordResult(now_, gateway, success)) return;
  actions_->push_back(Log{&kGatewayEjected, gateway.site + "/" + gateway.gateway});
}

void OverflowRouter::UpdateBuckets() {
  std::erase_if(buckets_, [&](const auto& bucket) { return !sites_.contains(bucket.first); });
  std::size_t all_senders = 0;
  for (const auto& [site, gateways] : sites_) all_senders += MayForward(site) ? gateways.size() : 0;
  for (const auto& [site, gateways] : sites_) {
    if (site == own_site_) continue;
    const std::size_t senders = all_senders - (MayForward(site) ? gateways.size() : 0);
    const double rate =
        senders > 0 ? estimates_.OfferedCapacity(now_, site) / static_cast<double>(senders) : 0;
    const double depth = rate * std::chrono::duration<double>(options_.slack).count();
    buckets_.try_emplace(site, now_).first->second.SetRate(now_, rate, depth);
  }
}

bool OverflowRouter::MayForward(const std::string& site) const {
  return site == own_site_ || !estimates_.HasSettledSpare(now_, site);
}

void OverflowRouter::LogFailure(const Failure& failure) {
  if (now_ < next_failure_log_at_) return;
  next_failure_log_at_ = now_ + kMinLogInterval;
  const std::string detail = failure.detail().empty() ? "" : " (" + failure.detail() + ")";
  actions_->push_back(Log{&failure.kind(), failure.where() + detail});
}

void OverflowRouter::LogState() {
  const bool is_forwarding = estimates_.MayForward(now_, own_site_);
  if (is_forwarding == is_forwarding_) return;
  is_forwarding_ = is_forwarding;
  actions_->push_back(Log{
      nullptr, is_forwarding ? "spilling begins: the site is over capacity"
                             : "spilling ends: the site has spare capacity again, or its estimate is stale"});
}

std::size_t OverflowRouter::RandomIndex(std::size_t bound) {
  return boost::random::uniform_int_distribution<std::size_t>(0, bound - 1)(random_);
}

std::string OverflowRouter::Describe(Time now) const {
  std::string line = is_forwarding_ ? "spilling" : "not spilling";
  for (const auto& [site, gateways] : sites_) {
    line += "; " + site;
    const Estimate* e = estimates_.Find(site);
    if (!e) {
      line += " unknown";
      continue;
    }
    const auto age = std::chrono::duration_cast<Milliseconds>(estimates_.Age(now, site));
    line += (e->over ? " over" : " spare") + (" mean " + std::to_string(e->mean)) + " low " +
            std::to_string(e->low) + " wait_ms " + std::to_string(e->wait_ms) + " members " +
            std::to_string(e->members) + " age_ms " + std::to_string(age.count());
    if (const auto bucket = buckets_.find(site); bucket != buckets_.end())
      line += " share " + std::to_string(static_cast<std::int64_t>(bucket->second.rate()));
  }
  line += "; sent " + std::to_string(counts_.sent) + " answered " + std::to_string(counts_.answered) +
          " refused " + std::to_string(counts_.rejected) + " not_run " + std::to_string(counts_.not_run) +
          " may_have_run " + std::to_string(counts_.may_have_run);
  for (std::size_t reason = 0; reason < kReasonCount; ++reason)
    if (counts_.given_up[reason] > 0)
      line += "; given up, " + std::string(Name(static_cast<RejectReason>(reason))) + ": " +
              std::to_string(counts_.given_up[reason]);
  return line;
}

}  // namespace load_balancer::overflow
