// SPDX-License-Identifier: Apache-2.0
#include "model/overflow/gateway.h"

#include <algorithm>

#include "model/overflow/federation.h"

namespace load_balancer::model {
namespace {

using overflow::SpillOutcome;

struct SpareTold {
  std::string member;
  overflow::MemberSpare spare;
};
struct Spilled {
  Ask ask;
  overflow::Neighbour from;
};
struct Answer {
  std::uint64_t id = 0;
  overflow::Neighbour from;
  bool ok = false;
  std::optional<overflow::Estimate> estimate;
};

constexpr std::size_t kRequestBytes = 600, kStateBytes = 120;

// Of the machine in this life; draws for clients are the same in each run of a seed.
std::uint64_t SeedOf(std::uint64_t seed, std::size_t site, std::size_t gateway, int part) {
  std::seed_seq sequence{static_cast<std::size_t>(seed), site, gateway, static_cast<std::size_t>(part)};
  std::uint64_t out[1];
  sequence.generate(out, out + 1);
  return out[0];
}

class Lease {
 public:
  Lease(bool holds, std::uint64_t token) : holds_(holds), token_(token) {}
  bool IsValid(Time) const { return holds_; }
  std::uint64_t token() const { return token_; }

 private:
  bool holds_;
  std::uint64_t token_;
};

}  // namespace

SpillGateway::SpillGateway(SpillFederation& federation, Host& host, std::size_t site, std::size_t gateway)
    : federation_(federation),
      host_(host),
      site_(site),
      gateway_(gateway),
      self_{SpillFederation::SiteName(site), "gateway-" + std::to_string(gateway)},
      clients_(SeedOf(federation.options().seed, site, gateway, 0)),
      random_(SeedOf(federation.options().seed, site, gateway, 1)),
      meter_(host.Now()),
      spill_(federation.options().spill, federation.directory(), self_.site,
             SeedOf(federation.options().seed, site, gateway, 2), host.Now()) {
  next_arrival_ = next_report_ = host.Now();
}

Time SpillGateway::Next() const {
  const Time next = std::min(next_arrival_, next_report_);
  return timeouts_.empty() ? next : std::min(next, timeouts_.begin()->first);
}

void SpillGateway::Tick() {
  const Time now = host_.Now();
  while (!timeouts_.empty() && timeouts_.begin()->first <= now) {
    const Pending& late = pending_.at(timeouts_.begin()->second);
    Ended({late.ask.id, late.at, SpillOutcome::kMayHaveRun, {}, {}});
  }
  if (now >= next_report_) {
    Report();
    next_report_ = now + federation_.options().spill.estimate_interval;
  }
  while (now >= next_arrival_) Arrive();
}

void SpillGateway::Arrive() {
  const double load = federation_.load(site_);
  if (load <= 0) {
    next_arrival_ = next_report_;  // it may be set by then
    return;
  }
  const SpillFederationOptions& options = federation_.options();
  const double per_s = load * 1000.0 * options.cores / kMeanWork / static_cast<double>(options.gateways);
  next_arrival_ += std::max(Moment(1), clients_.Gap(per_s));
  Ask ask = clients_.Draw();
  ask.id = federation_.NextId();
  ask.site = site_;
  ask.at = host_.True();
  federation_.Asked(ask);
  const bool taken = federation_.servers(site_).Own(ask.work_ms, [&federation = federation_, ask] {
    federation.Ran(ask);
    federation.Answered(ask, false);
  });
  if (taken) return meter_.Admitted(host_.Now(), ask.work_ms);
  meter_.Refused(host_.Now());
  Refuse(ask);
}

void SpillGateway::Refuse(const Ask& ask) {
  const Demand& demand = *ask.demand;
  const Strategy strategy = federation_.options().strategy;
  if (strategy == Strategy::kOff) return federation_.GivenUp(ask);
  if (strategy == Strategy::kAllKnowing) return SendKnowing(ask);
  if (strategy == Strategy::kInformed)
    return federation_.WorthIt(ask) ? SendInformed(ask, {}) : federation_.GivenUp(ask);
  if (strategy == Strategy::kRandom) return HandOn({ask, {}, host_.Now() + demand.deadline, {}});
  overflow::Refused refused;
  refused.request = ask.id;
  refused.idempotency = demand.idempotency;
  refused.latency_objective_left = demand.latency_objective;
  refused.deadline_left = demand.deadline;
  refused.work_ms = ask.work_ms;
  refused.priority_weight = demand.priority_weight;
  refused.key = ask.key;
  Handle(refused, ask);
}

void SpillGateway::Handle(const overflow::Event& event, const Ask& ask) {
  std::vector<overflow::Action> actions;
  spill_.Handle(host_.Now(), event, &actions);
  for (const overflow::Action& action : actions) {
    if (const auto* send = std::get_if<overflow::SendTo>(&action))
      Send({ask, send->neighbour, host_.Now() + send->timeout, {}});
    else if (const auto* given = std::get_if<overflow::GiveUp>(&action))
      federation_.GivenUp(ask, given->why);
  }
}

std::optional<overflow::Neighbour> SpillGateway::PickRandom(const std::set<std::string>& tried) {
  std::vector<overflow::Neighbour> others;
  for (const auto& [site, gateways] : federation_.directory()) {
    if (site == self_.site || tried.contains(site)) continue;
    for (const auto& [gateway, addresses] : gateways) others.push_back({site, gateway});
  }
  if (others.empty()) return std::nullopt;
  return others[Below(others.size())];
}

void SpillGateway::SendKnowing(const Ask& ask) {
  if (!federation_.WorthIt(ask)) return federation_.GivenUp(ask);
  const Moment way = federation_.options().spill.way * 3 / 4;  // the mean of the links
  World& world = federation_.world();
  world.At(world.now() + way, [&federation = federation_, &world, ask, way] {
    Servers* best = nullptr;
    for (std::size_t s = 0; s < federation.options().sites; ++s) {
      Servers& servers = federation.servers(s);
      if (s != ask.site && servers.Takes(ask.work_ms) && (!best || servers.free() > best->free()))
        best = &servers;
    }
    if (!best) return federation.GivenUp(ask);
    federation.CountSpilled(ask);
    best->Spilled(ask.work_ms, [&federation, &world, ask, way] {
      federation.Ran(ask);
      world.At(world.now() + way, [&federation, ask] { federation.Answered(ask, true); });
    });
  });
}

void SpillGateway::SendInformed(const Ask& ask, std::set<std::size_t> tried) {
  const auto most = static_cast<std::size_t>(overflow::MostAttempts(ask.demand->idempotency));
  std::size_t best = site_;
  for (std::size_t s = 0; s < federation_.options().sites && tried.size() < most; ++s) {
    if (s == site_ || tried.contains(s) || federation_.servers(s).Offer() == 0) continue;
    if (best == site_ || federation_.Room(s) > federation_.Room(best)) best = s;
  }
  if (best == site_) return federation_.GivenUp(ask);
  tried.insert(best);
  federation_.Coming(best, 1);
  const Moment way = federation_.options().spill.way * 3 / 4;  // the mean of the links
  World& world = federation_.world();
  world.At(world.now() + way, [this, &world, ask, way, best, tried = std::move(tried)] {
    federation_.CountSpilled(ask);
    federation_.Coming(best, -1);
    const bool taken = federation_.servers(best).Spilled(ask.work_ms, [this, &world, ask, way] {
      federation_.Ran(ask);
      world.At(world.now() + way, [this, ask] { federation_.Answered(ask, true); });
    });
    if (!taken) world.At(world.now() + way, [this, ask, tried] { SendInformed(ask, tried); });
  });
}

void SpillGateway::HandOn(Pending pending) {
  const bool may = pending.tried.size() <
                   static_cast<std::size_t>(overflow::MostAttempts(pending.ask.demand->idempotency));
  std::optional<overflow::Neighbour> to;
  if (may) to = PickRandom(pending.tried);
  if (!to) return federation_.GivenUp(pending.ask);
  pending.at = *to;
  pending.tried.insert(to->site);
  Send(std::move(pending));
}

void SpillGateway::Send(Pending pending) {
  const std::uint64_t id = pending.ask.id;
  federation_.CountSpilled(pending.ask);
  const auto& address = federation_.directory().at(pending.at.site).at(pending.at.gateway).pool;
  host_.Send(address, Spilled{pending.ask, self_}, kRequestBytes);
  timeouts_.emplace(pending.timeout, id);
  pending_[id] = std::move(pending);
}

void SpillGateway::Ended(overflow::SpillAnswered answer) {
  const auto found = pending_.find(answer.request);
  if (found == pending_.end()) return;
  Pending pending = std::move(found->second);
  timeouts_.erase({pending.timeout, answer.request});
  pending_.erase(found);
  const bool ok = answer.outcome == SpillOutcome::kOk;
  if (ok) federation_.Answered(pending.ask, true);
  if (federation_.options().strategy == Strategy::kEstimates) return Handle(answer, pending.ask);
  if (ok) return;
  const bool again =
      pending.ask.demand->idempotency == Idempotency::kIdempotent && host_.Now() < pending.timeout;
  if (!again) return federation_.GivenUp(pending.ask);
  HandOn(std::move(pending));
}

void SpillGateway::Receive(const Packet& packet) {
  if (const auto* told = std::any_cast<SpareTold>(packet.content.get())) {
    if (ambassador_) ambassador_->Heard(host_.Now(), told->member, told->spare);
  } else if (const auto* estimate = std::any_cast<overflow::Estimate>(packet.content.get())) {
    Handle(overflow::EstimateHeard{*estimate, host_.Wall()}, {});
  } else if (const auto* answer = std::any_cast<Answer>(packet.content.get())) {
    overflow::SpillAnswered ended{
        answer->id, answer->from, answer->ok ? SpillOutcome::kOk : SpillOutcome::kRefused, {}, {}};
    if (answer->estimate) ended.estimate = overflow::EstimateHeard{*answer->estimate, host_.Wall()};
    Ended(std::move(ended));
  } else if (const auto* spilled = std::any_cast<Spilled>(packet.content.get())) {
    Answer reply{spilled->ask.id, self_, true, {}};
    if (const auto* own = spill_.EstimateOf(self_.site)) reply.estimate = *own;
    const auto done = [&federation = federation_, &host = host_, ask = spilled->ask, reply,
                       to = packet.from] {
      federation.Ran(ask);
      host.Send(to, reply, kRequestBytes);
    };
    if (federation_.servers(site_).Spilled(spilled->ask.work_ms, done)) return;
    reply.ok = false;
    host_.Send(packet.from, reply, kStateBytes);
  }
}

void SpillGateway::Report() {
  const Time now = host_.Now();
  const auto& holder = federation_.holder(site_);
  const bool holds = holder && holder->gateway == gateway_;
  if (!holds) ambassador_.reset();
  if (holds && (!ambassador_ || token_ != holder->token)) {
    ambassador_.emplace(federation_.options().spill, self_.site);
    token_ = holder->token;
  }
  Servers& servers = federation_.servers(site_);
  const auto wait = std::chrono::duration_cast<overflow::Milliseconds>(servers.Wait());
  const double capacity = servers.capacity() / static_cast<double>(federation_.options().gateways);
  const SpareTold told{self_.gateway, meter_.Spare(now, capacity, wait)};
  if (ambassador_) {
    ambassador_->Heard(now, told.member, told.spare);
    TellEstimate();
  } else if (holder) {
    const auto& at = federation_.directory().at(self_.site).at("gateway-" + std::to_string(holder->gateway));
    host_.Send(at.pool, told, kStateBytes);
  }
  Handle(overflow::Tick{}, {});
}

void SpillGateway::TellEstimate() {
  const auto made = ambassador_->Make(host_.Now(), host_.Wall(), Lease(true, token_));
  Handle(overflow::EstimateHeard{*made, host_.Wall()}, {});
  for (const auto& [site, gateways] : federation_.directory())
    for (const auto& [gateway, addresses] : gateways) {
      if (overflow::Neighbour{site, gateway} == self_) continue;
      const auto late =
          site == self_.site ? std::chrono::milliseconds(0) : federation_.options().estimate_delay;
      federation_.world().At(host_.True() + late, [&host = host_, to = addresses.pool, estimate = *made] {
        host.Send(to, estimate, kStateBytes);
      });
    }
}

}  // namespace load_balancer::model
