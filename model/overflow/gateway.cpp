// SPDX-License-Identifier: Apache-2.0
#include "model/overflow/gateway.h"

#include <algorithm>

#include "model/overflow/federation.h"

namespace load_balancer::model {
namespace {

using overflow::ForwardOutcome;

// SpareReport is what a gateway sends to the publisher of its site.
struct SpareReport {
  std::string member;
  overflow::MemberSpareCapacity spare;
};
struct ForwardedRequest {
  ModelRequest request;
  overflow::RemoteGateway from;
};
struct Response {
  std::uint64_t id = 0;
  overflow::RemoteGateway from;
  bool ok = false;
  std::optional<overflow::Estimate> estimate;
};

constexpr std::size_t kRequestBytes = 600, kStateBytes = 120;

// Returns the seed of one of a gateway's random generators; `part` is the number of the generator. The seed
// depends only on the arguments, so that all runs with the same `seed` have the same clients.
std::uint64_t SeedOf(std::uint64_t seed, std::size_t site, std::size_t gateway, int part) {
  std::seed_seq sequence{static_cast<std::size_t>(seed), site, gateway, static_cast<std::size_t>(part)};
  std::uint64_t out[1];
  sequence.generate(out, out + 1);
  return out[0];
}

class Lease {
 public:
  Lease(bool is_valid, std::uint64_t token) : is_valid_(is_valid), token_(token) {}
  bool IsValid(Time) const { return is_valid_; }
  std::uint64_t token() const { return token_; }

 private:
  bool is_valid_;
  std::uint64_t token_;
};

}  // namespace

OverflowGateway::OverflowGateway(OverflowFederation& federation, Host& host, std::size_t site,
                                 std::size_t gateway)
    : federation_(federation),
      host_(host),
      site_(site),
      gateway_(gateway),
      self_{OverflowFederation::SiteName(site), "gateway-" + std::to_string(gateway)},
      clients_(SeedOf(federation.options().seed, site, gateway, 0)),
      random_(SeedOf(federation.options().seed, site, gateway, 1)),
      meter_(host.Now()),
      router_(federation.options().overflow_options, federation.directory(), self_.site,
              SeedOf(federation.options().seed, site, gateway, 2), host.Now()) {
  next_arrival_ = next_report_ = host.Now();
}

Time OverflowGateway::Next() const {
  const Time next = std::min(next_arrival_, next_report_);
  return timeouts_.empty() ? next : std::min(next, timeouts_.begin()->first);
}

void OverflowGateway::Tick() {
  const Time now = host_.Now();
  while (!timeouts_.empty() && timeouts_.begin()->first <= now) {
    const Pending& expired = pending_.at(timeouts_.begin()->second);
    HandleEnd({expired.request.id, expired.destination, ForwardOutcome::kMayHaveRun, {}, {}});
  }
  if (now >= next_report_) {
    Report();
    next_report_ = now + federation_.options().overflow_options.estimate_interval;
  }
  while (now >= next_arrival_) Arrive();
}

void OverflowGateway::Arrive() {
  const double load = federation_.load(site_);
  if (load <= 0) {
    next_arrival_ = next_report_;  // checks the load again then
    return;
  }
  const OverflowFederationOptions& options = federation_.options();
  const double per_s = load * 1000.0 * options.cores / kMeanWorkMs / static_cast<double>(options.gateways);
  next_arrival_ += std::max(Moment(1), clients_.Gap(per_s));
  ModelRequest request = clients_.Draw();
  request.id = federation_.NextId();
  request.site = site_;
  request.at = host_.TrueTime();
  federation_.CountReceived(request);
  const bool admitted =
      federation_.servers(site_).ServeOwn(request.work_ms, [&federation = federation_, request] {
        federation.CountRun(request);
        federation.CountAnswer(request, false);
      });
  if (admitted) return meter_.Admitted(host_.Now(), request.work_ms);
  meter_.Rejected(host_.Now());
  HandleRejected(request);
}

void OverflowGateway::HandleRejected(const ModelRequest& request) {
  const RequestClass& request_class = *request.request_class;
  const Strategy strategy = federation_.options().strategy;
  if (strategy == Strategy::kOff) return federation_.CountGivenUp(request);
  if (strategy == Strategy::kOracle) return ForwardByOracle(request);
  if (strategy == Strategy::kInformed)
    return federation_.PassesThreshold(request) ? ForwardInformed(request, {})
                                                : federation_.CountGivenUp(request);
  if (strategy == Strategy::kRandom)
    return ForwardRandomly({request, {}, host_.Now() + request_class.deadline, {}});
  overflow::RejectedRequest rejected;
  rejected.request = request.id;
  rejected.idempotency = request_class.idempotency;
  rejected.latency_objective_left = request_class.latency_objective;
  rejected.deadline_left = request_class.deadline;
  rejected.work_ms = request.work_ms;
  rejected.priority_weight = request_class.priority_weight;
  rejected.key = request.key;
  Handle(rejected, request);
}

void OverflowGateway::Handle(const overflow::Event& event, const ModelRequest& request) {
  std::vector<overflow::Action> actions;
  router_.Handle(host_.Now(), event, &actions);
  for (const overflow::Action& action : actions) {
    if (const auto* send = std::get_if<overflow::ForwardTo>(&action))
      Send({request, send->destination, host_.Now() + send->timeout, {}});
    else if (const auto* give_up = std::get_if<overflow::GiveUp>(&action))
      federation_.CountGivenUp(request, give_up->reason);
  }
}

std::optional<overflow::RemoteGateway> OverflowGateway::PickRandom(const std::set<std::string>& tried) {
  std::vector<overflow::RemoteGateway> others;
  for (const auto& [site, gateways] : federation_.directory()) {
    if (site == self_.site || tried.contains(site)) continue;
    for (const auto& [gateway, addresses] : gateways) others.push_back({site, gateway});
  }
  if (others.empty()) return std::nullopt;
  return others[RandomIndex(others.size())];
}

void OverflowGateway::ForwardByOracle(const ModelRequest& request) {
  if (!federation_.PassesThreshold(request)) return federation_.CountGivenUp(request);
  const Moment delay =
      federation_.options().overflow_options.propagation_time * 3 / 4;  // the mean delay of the links
  World& world = federation_.world();
  world.At(world.now() + delay, [&federation = federation_, &world, request, delay] {
    Servers* best = nullptr;
    for (std::size_t s = 0; s < federation.options().sites; ++s) {
      Servers& servers = federation.servers(s);
      if (s != request.site && servers.CanServeForwarded(request.work_ms) &&
          (!best || servers.free() > best->free()))
        best = &servers;
    }
    if (!best) return federation.CountGivenUp(request);
    federation.CountForwarded(request);
    best->ServeForwarded(request.work_ms, [&federation, &world, request, delay] {
      federation.CountRun(request);
      world.At(world.now() + delay, [&federation, request] { federation.CountAnswer(request, true); });
    });
  });
}

void OverflowGateway::ForwardInformed(const ModelRequest& request, std::set<std::size_t> tried) {
  const auto max_attempts =
      static_cast<std::size_t>(overflow::MaxAttempts(request.request_class->idempotency));
  std::size_t best = site_;
  for (std::size_t s = 0; s < federation_.options().sites && tried.size() < max_attempts; ++s) {
    if (s == site_ || tried.contains(s) || federation_.servers(s).OfferedCapacity() == 0) continue;
    if (best == site_ || federation_.FreeCores(s) > federation_.FreeCores(best)) best = s;
  }
  if (best == site_) return federation_.CountGivenUp(request);
  tried.insert(best);
  federation_.AddInTransit(best, 1);
  const Moment delay =
      federation_.options().overflow_options.propagation_time * 3 / 4;  // the mean delay of the links
  World& world = federation_.world();
  world.At(world.now() + delay, [this, &world, request, delay, best, tried = std::move(tried)] {
    federation_.CountForwarded(request);
    federation_.AddInTransit(best, -1);
    const bool admitted =
        federation_.servers(best).ServeForwarded(request.work_ms, [this, &world, request, delay] {
          federation_.CountRun(request);
          world.At(world.now() + delay, [this, request] { federation_.CountAnswer(request, true); });
        });
    if (!admitted) world.At(world.now() + delay, [this, request, tried] { ForwardInformed(request, tried); });
  });
}

void OverflowGateway::ForwardRandomly(Pending pending) {
  const bool may_forward =
      pending.tried.size() <
      static_cast<std::size_t>(overflow::MaxAttempts(pending.request.request_class->idempotency));
  std::optional<overflow::RemoteGateway> to;
  if (may_forward) to = PickRandom(pending.tried);
  if (!to) return federation_.CountGivenUp(pending.request);
  pending.destination = *to;
  pending.tried.insert(to->site);
  Send(std::move(pending));
}

void OverflowGateway::Send(Pending pending) {
  const std::uint64_t id = pending.request.id;
  federation_.CountForwarded(pending.request);
  const auto& address =
      federation_.directory().at(pending.destination.site).at(pending.destination.gateway).pool;
  host_.Send(address, ForwardedRequest{pending.request, self_}, kRequestBytes);
  timeouts_.emplace(pending.timeout, id);
  pending_[id] = std::move(pending);
}

void OverflowGateway::HandleEnd(overflow::ForwardEnded ended) {
  const auto found = pending_.find(ended.request);
  if (found == pending_.end()) return;
  Pending pending = std::move(found->second);
  timeouts_.erase({pending.timeout, ended.request});
  pending_.erase(found);
  const bool ok = ended.outcome == ForwardOutcome::kOk;
  if (ok) federation_.CountAnswer(pending.request, true);
  if (federation_.options().strategy == Strategy::kEstimates) return Handle(ended, pending.request);
  if (ok) return;
  const bool may_retry =
      pending.request.request_class->idempotency == Idempotency::kIdempotent && host_.Now() < pending.timeout;
  if (!may_retry) return federation_.CountGivenUp(pending.request);
  ForwardRandomly(std::move(pending));
}

void OverflowGateway::Receive(const Packet& packet) {
  if (const auto* report = std::any_cast<SpareReport>(packet.content.get())) {
    if (publisher_) publisher_->RecordMember(host_.Now(), report->member, report->spare);
  } else if (const auto* estimate = std::any_cast<overflow::Estimate>(packet.content.get())) {
    Handle(overflow::EstimateReceived{*estimate, host_.Wall()}, {});
  } else if (const auto* response = std::any_cast<Response>(packet.content.get())) {
    overflow::ForwardEnded ended{
        response->id, response->from, response->ok ? ForwardOutcome::kOk : ForwardOutcome::kRejected, {}, {}};
    if (response->estimate) ended.estimate = overflow::EstimateReceived{*response->estimate, host_.Wall()};
    HandleEnd(std::move(ended));
  } else if (const auto* forwarded = std::any_cast<ForwardedRequest>(packet.content.get())) {
    Response own_response{forwarded->request.id, self_, true, {}};
    if (const auto* own = router_.FindEstimate(self_.site)) own_response.estimate = *own;
    const auto done = [&federation = federation_, &host = host_, request = forwarded->request, own_response,
                       to = packet.from] {
      federation.CountRun(request);
      host.Send(to, own_response, kRequestBytes);
    };
    if (federation_.servers(site_).ServeForwarded(forwarded->request.work_ms, done)) return;
    own_response.ok = false;
    host_.Send(packet.from, own_response, kStateBytes);
  }
}

void OverflowGateway::Report() {
  const Time now = host_.Now();
  const auto& holder = federation_.holder(site_);
  const bool is_holder = holder && holder->gateway == gateway_;
  if (!is_holder) publisher_.reset();
  if (is_holder && (!publisher_ || token_ != holder->token)) {
    publisher_.emplace(federation_.options().overflow_options, self_.site);
    token_ = holder->token;
  }
  Servers& servers = federation_.servers(site_);
  const auto wait = std::chrono::duration_cast<overflow::Milliseconds>(servers.Wait());
  const double capacity = servers.capacity() / static_cast<double>(federation_.options().gateways);
  const SpareReport report{self_.gateway, meter_.Spare(now, capacity, wait)};
  if (publisher_) {
    publisher_->RecordMember(now, report.member, report.spare);
    PublishEstimate();
  } else if (holder) {
    const auto& addresses =
        federation_.directory().at(self_.site).at("gateway-" + std::to_string(holder->gateway));
    host_.Send(addresses.pool, report, kStateBytes);
  }
  Handle(overflow::Tick{}, {});
}

void OverflowGateway::PublishEstimate() {
  const auto made = publisher_->MakeEstimate(host_.Now(), host_.Wall(), Lease(true, token_));
  Handle(overflow::EstimateReceived{*made, host_.Wall()}, {});
  for (const auto& [site, gateways] : federation_.directory())
    for (const auto& [gateway, addresses] : gateways) {
      if (overflow::RemoteGateway{site, gateway} == self_) continue;
      const auto delay =
          site == self_.site ? std::chrono::milliseconds(0) : federation_.options().estimate_delay;
      federation_.world().At(
          host_.TrueTime() + delay,
          [&host = host_, to = addresses.pool, estimate = *made] { host.Send(to, estimate, kStateBytes); });
    }
}

}  // namespace load_balancer::model
