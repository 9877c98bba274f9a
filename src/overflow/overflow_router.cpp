// SPDX-License-Identifier: Apache-2.0
#include "overflow/overflow_router.h"

#include <algorithm>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <utility>

#include "overflow/failures.h"

namespace load_balancer::overflow {
namespace {

// Of a share's depth, for requests of higher worth, when these alone ask for all that is offered (trunk
// reservation: Kelly, "Loss networks", 1991).
constexpr double kMostKeptFree = 0.6;
constexpr std::chrono::seconds kLogGap{1};  // log lines of estimates not taken no closer than this

}  // namespace

Spill::Spill(Options options, Directory sites, std::string own_site, std::uint64_t seed, Time now)
    : now_(now),
      options_(options),
      sites_(std::move(sites)),
      own_site_(std::move(own_site)),
      random_(seed),
      estimates_(options_, sites_),
      neighbours_(sites_, own_site_, random_) {
  UpdateShares();
}

void Spill::Handle(Time now, const Event& event, std::vector<Action>* actions) {
  now_ = std::max(now_, now);
  out_ = actions;
  std::visit([this](const auto& each) { On(each); }, event);
}

void Spill::On(const Refused& event) {
  if (open_.contains(event.request)) return;
  Open open{event, now_ + event.latency_objective_left, now_ + event.deadline_left, 0, 0, {}, {}};
  auto why = Forbids(event, options_);
  if (!why && estimates_.MaySpill(now_, own_site_) && !WorthIt(open)) why = Why::kLittleWorth;
  if (!why) why = TrySend(open);
  if (!why) {
    open_.emplace(event.request, std::move(open));
    return;
  }
  ++counts_.given_up[static_cast<std::size_t>(*why)];
  out_->push_back(GiveUp{event.request, event.may_have_run, event.retry_after, *why});
}

void Spill::On(const EstimateHeard& event) { Hear(event); }

void Spill::Hear(const EstimateHeard& event) {
  const auto heard = estimates_.Hear(now_, event.wall, event.estimate);
  if (!heard) {
    Complain(heard.error());
    return;
  }
  if (!*heard) return;
  UpdateShares();
  ReportState();
}

void Spill::On(const SpillAnswered& event) {
  if (event.estimate) Hear(*event.estimate);
  const auto found = open_.find(event.request);
  if (found == open_.end() || found->second.at != event.neighbour) return;
  Open& open = found->second;
  Judge(event.neighbour, event.outcome == SpillOutcome::kOk);
  switch (event.outcome) {
    case SpillOutcome::kOk:
      ++counts_.answered;
      keys_.Met(now_, open.request.key, event.neighbour, options_.key_ttl);
      open_.erase(found);
      return;
    case SpillOutcome::kRefused:
      ++counts_.refused;
      break;
    case SpillOutcome::kNotRun:
      ++counts_.not_run;
      break;
    case SpillOutcome::kMayHaveRun:
      ++counts_.may_have_run;
      if (open.request.idempotency != Idempotency::kIdempotent)
        return End(event.request, Why::kMayHaveRun, true);
      open.request.may_have_run = true;
      break;
  }
  auto why = open.attempts >= MostAttempts(open.request.idempotency) ? std::optional(Why::kAttempted)
                                                                     : TrySend(open);
  if (why) End(event.request, *why, open.request.may_have_run);
}

void Spill::On(const ClientGone& event) { counts_.gone += open_.erase(event.request); }

void Spill::On(const Presence& event) { neighbours_.SetPresent(event.neighbour, event.present); }

void Spill::On(const Tick&) {
  keys_.Expire(now_);
  for (const Neighbour& neighbour : neighbours_.Advance(now_))
    out_->push_back(
        Log{nullptr, "neighbour " + neighbour.site + "/" + neighbour.gateway + " is tried again"});
  UpdateShares();
  ReportState();
  out_->push_back(SetTimer{now_ + options_.estimate_interval});
}

void Spill::On(const NewSettings& event) {
  options_ = event.options;
  sites_ = event.sites;
  estimates_.Configure(options_, sites_);
  neighbours_.Configure(sites_, own_site_);
  UpdateShares();
  ReportState();
}

bool Spill::WorthIt(Open& open) {
  const Refused& request = open.request;
  double offered = 0;
  for (const auto& [site, share] : shares_)
    if (neighbours_.AnyInService(now_, site)) offered += share.rate();
  if (offered == 0) return true;  // then nobody takes it, which says more
  const Price::Verdict verdict = price_.Ask(now_, request.priority_weight, request.work_ms, offered);
  open.kept_free = kMostKeptFree * verdict.above;
  return verdict.chance >= 1 || boost::random::uniform_01<double>()(random_) < verdict.chance;
}

std::optional<Why> Spill::TrySend(Open& open) {
  if (!estimates_.MaySpill(now_, own_site_)) return Why::kNotOver;
  UpdateShares();
  Neighbour chosen;
  if (const auto why = Choose(open, &chosen)) return why;
  shares_.at(chosen.site).Take(open.request.work_ms);
  ++open.attempts;
  open.tried.insert(chosen.site);
  open.at = chosen;
  ++counts_.sent;
  out_->push_back(SendTo{open.request.request, chosen, open.deadline_at - now_});
  return std::nullopt;
}

// The key's neighbour if it is fit; otherwise the one with more left of its share, of two at random
// (Mitzenmacher: "The power of two choices in randomized load balancing", 2001).
std::optional<Why> Spill::Choose(const Open& open, Neighbour* chosen) {
  const Neighbour* warm = keys_.Find(now_, open.request.key);
  if (warm && neighbours_.InService(now_, *warm) && !Unfit(open, warm->site)) {
    *chosen = *warm;
    return std::nullopt;
  }
  std::vector<std::string> fit;
  Why why = Why::kNoNeighbour;
  for (const auto& [site, share] : shares_) {
    const auto unfit = Unfit(open, site);
    if (!unfit) fit.push_back(site);
    // What came closest: a share, then time, then a neighbour.
    if (unfit == Why::kNoShare || (unfit == Why::kNoTime && why != Why::kNoShare)) why = *unfit;
  }
  if (fit.empty()) return why;
  const std::size_t first = Below(fit.size());
  std::size_t second = fit.size() > 1 ? Below(fit.size() - 1) : first;
  if (fit.size() > 1 && second >= first) ++second;
  const bool better = shares_.at(fit[second]).level() > shares_.at(fit[first]).level();
  *chosen = PickGateway(fit[better ? second : first]);
  return std::nullopt;
}

std::optional<Why> Spill::Unfit(const Open& open, const std::string& site) {
  if (open.tried.contains(site) || !neighbours_.AnyInService(now_, site)) return Why::kNoNeighbour;
  const Estimate* estimate = estimates_.Find(site);
  if (!estimate) return Why::kNoShare;
  const Time by = std::min(open.aim_at, open.deadline_at);
  if (now_ + Needs(options_, estimate->wait_ms, open.request.work_ms) > by) return Why::kNoTime;
  Share& share = shares_.at(site);
  return share.Has(now_, open.kept_free * share.depth()) ? std::nullopt : std::optional(Why::kNoShare);
}

Neighbour Spill::PickGateway(const std::string& site) {
  const auto in_service = neighbours_.InService(now_, site);
  return in_service[Below(in_service.size())];
}

void Spill::End(RequestId request, Why why, bool may_have_run) {
  const auto found = open_.find(request);
  const Span retry_after = found->second.request.retry_after;
  open_.erase(found);
  ++counts_.given_up[static_cast<std::size_t>(why)];
  out_->push_back(GiveUp{request, may_have_run, retry_after, why});
}

void Spill::Judge(const Neighbour& neighbour, bool good) {
  if (!neighbours_.Answered(now_, neighbour, good)) return;
  out_->push_back(Log{&kNeighbourLeft, neighbour.site + "/" + neighbour.gateway});
}

void Spill::UpdateShares() {
  std::erase_if(shares_, [&](const auto& share) { return !sites_.contains(share.first); });
  std::size_t all = 0;
  for (const auto& [site, gateways] : sites_) all += MaySpill(site) ? gateways.size() : 0;
  for (const auto& [site, gateways] : sites_) {
    if (site == own_site_) continue;
    const std::size_t spillers = all - (MaySpill(site) ? gateways.size() : 0);
    const double rate = spillers > 0 ? estimates_.Offer(now_, site) / static_cast<double>(spillers) : 0;
    const double depth = rate * std::chrono::duration<double>(options_.slack).count();
    shares_.try_emplace(site, now_).first->second.Set(now_, rate, depth);
  }
}

bool Spill::MaySpill(const std::string& site) const {
  return site == own_site_ || !estimates_.Quiet(now_, site);
}

void Spill::Complain(const Failure& failure) {
  if (now_ < next_complaint_) return;
  next_complaint_ = now_ + kLogGap;
  const std::string detail = failure.detail().empty() ? "" : " (" + failure.detail() + ")";
  out_->push_back(Log{&failure.kind(), failure.where() + detail});
}

void Spill::ReportState() {
  const bool spilling = estimates_.MaySpill(now_, own_site_);
  if (spilling == spilling_) return;
  spilling_ = spilling;
  out_->push_back(Log{nullptr, spilling ? "spilling begins: the site is over capacity"
                                        : "spilling ends: the site has spare again, or its estimate is old"});
}

std::size_t Spill::Below(std::size_t bound) {
  return boost::random::uniform_int_distribution<std::size_t>(0, bound - 1)(random_);
}

std::string Spill::Describe(Time now) const {
  std::string line = spilling_ ? "spilling" : "not spilling";
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
    if (const auto share = shares_.find(site); share != shares_.end())
      line += " share " + std::to_string(static_cast<std::int64_t>(share->second.rate()));
  }
  line += "; sent " + std::to_string(counts_.sent) + " answered " + std::to_string(counts_.answered) +
          " refused " + std::to_string(counts_.refused) + " not_run " + std::to_string(counts_.not_run) +
          " may_have_run " + std::to_string(counts_.may_have_run);
  for (std::size_t why = 0; why < kWhys; ++why)
    if (counts_.given_up[why] > 0)
      line += "; given up, " + std::string(Name(static_cast<Why>(why))) + ": " +
              std::to_string(counts_.given_up[why]);
  return line;
}

}  // namespace load_balancer::overflow
