// SPDX-License-Identifier: Apache-2.0
#include "model/quota/gateways.h"

#include <cmath>
#include <variant>

namespace load_balancer::model {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kLeaseBytes = 120;
constexpr Span kArrivalBatch = milliseconds(20);  // arrivals are drawn for one such span at a time

struct WireMessage {
  std::size_t allocator = 0;
  std::variant<quota::AllocationRequest, quota::AllocationResponse, fleet::LeaseMessage> message;
};

// Returns the approximate size of the message as MessagePack.
std::size_t BytesOf(const quota::AllocationRequest& request) {
  return 60 + 40 * request.grant_requests.size() + 30 * request.acks.size();
}
std::size_t BytesOf(const quota::AllocationResponse& response) {
  return 60 + 40 * response.grants.size() + 16 * response.recalls.size() +
         30 * response.reserved_minimums.size();
}

}  // namespace

class Gateways::Program final : public model::Program {
 public:
  Program(Gateways& gateways, Host& host, std::size_t number)
      : gateways_(gateways),
        host_(host),
        number_(number),
        incarnation_(++gateways.last_incarnation_),
        random_(gateways.options_.seed * 1'000'003 + incarnation_),
        site_(number / gateways.options_.per_site),
        spender_(gateways.options_.spender, gateways.options_.seed * 7919 + incarnation_, host.Now(),
                 [this](const std::string& partner, double units, bool admitted, bool ran) {
                   CountRequest(partner, units, admitted, ran);
                 }),
        leases_(host, incarnation_, number, gateways.voters_, gateways.options_.allocators,
                gateways.options_.timings, gateways.holders_,
                [&host](const Endpoint& to, const fleet::LeaseMessage& message) {
                  host.Send(to, WireMessage{0, message}, kLeaseBytes);
                }),
        next_batch_at_(host.Now()) {
    accounts_.push_back(NewAccount(incarnation_));
    for (std::size_t i = 0; i < gateways.options_.allocators; ++i)
      allocators_.emplace_back(quota::AllocatorOptions{i, gateways.options_.allocators, gateways.layout_,
                                                       gateways.options_.timings},
                               gateways.budgets_[number]);
    proofs_.resize(allocators_.size());
  }

  void Receive(const Packet& packet) override {
    const auto& wire = std::any_cast<const WireMessage&>(*packet.content);
    const Time now = host_.Now();
    if (const auto* response = std::get_if<quota::AllocationResponse>(&wire.message)) {
      quota::AccountActions actions;
      account().OnResponse(now, wire.allocator, *response, &actions);
      return Execute(actions);
    }
    if (const auto* lease = std::get_if<fleet::LeaseMessage>(&wire.message))
      return leases_.Receive(packet.from, *lease);
    const auto from = gateways_.by_address_.find(packet.from);
    // If there is no current proof that the process holds the lease, pass an earlier proof to the allocator,
    // which must itself check whether the proof is still valid.
    std::optional<fleet::LeaseProof>& proof = proofs_[wire.allocator];
    if (auto current = leases_.ProveLease(wire.allocator)) proof.emplace(std::move(*current));
    if (!proof || stepping_down_) return;
    quota::AllocatorActions actions;
    allocators_[wire.allocator].OnRequest(now, *proof, gateways_.names_[from->second],
                                          std::get<quota::AllocationRequest>(wire.message), &actions);
    Execute(wire.allocator, actions);
  }

  void Tick() override {
    const Time now = host_.Now();
    leases_.Tick();
    if (stepping_down_ && now >= GrantsExpireAt(now)) {
      stepping_down_ = false;
      leases_.ReleaseLeases();
    }
    for (std::size_t i = 0; i < allocators_.size(); ++i)
      if (const auto proof = allocators_[i].Next() <= now ? ProveLease(i) : std::nullopt) {
        quota::AllocatorActions actions;
        allocators_[i].Tick(now, *proof, &actions);
        Execute(i, actions);
      }
    Serve(now);
    quota::AccountActions actions;
    account().Tick(now, &actions);
    Execute(actions);
  }

  Time Next() const override {
    const Time now = host_.Now();
    Time next =
        std::min({leases_.Next(), gateways_.options_.spender.enabled ? spender_.Next() : next_batch_at_,
                  accounts_.back()->Next()});
    if (stepping_down_) next = std::min(next, GrantsExpireAt(now));
    if (next_arrival_ < arrivals_.size()) next = std::min(next, arrivals_[next_arrival_].at);
    for (std::size_t i = 0; i < allocators_.size(); ++i)
      if (ProveLease(i)) next = std::min(next, allocators_[i].Next());
    return next;
  }

  void UpdateBudgets(std::shared_ptr<const quota::Budgets> budgets) {
    for (quota::Allocator& allocator : allocators_) allocator.UpdateBudgets(budgets);
    quota::AccountActions actions;
    account().UpdateBudgets(host_.Now(), std::move(budgets), &actions);
    Execute(actions);
  }

  void HandOver() {
    account().Retire(host_.Now());
    accounts_.push_back(NewAccount(++gateways_.last_incarnation_));
  }

  void StepDown() { stepping_down_ = true; }

 private:
  struct Arrival {
    Time at;
    const std::string* partner;
    double units;
  };

  Span RandomSpan(Span from, Span to) {
    return from + Span(std::uniform_int_distribution<Span::rep>(0, (to - from).count())(random_));
  }
  bool Chance(double probability) {
    return probability > 0 && std::uniform_real_distribution<>(0, 1)(random_) < probability;
  }

  quota::Account& account() { return *accounts_.back(); }
  std::unique_ptr<quota::Account> NewAccount(std::uint64_t incarnation) {
    const GatewaysOptions& options = gateways_.options_;
    return std::make_unique<quota::Account>(
        quota::AccountOptions{SiteName(site_), options.per_site, incarnation, options.allocators,
                              options.timings},
        gateways_.budgets_[number_], host_.Now());
  }
  std::optional<fleet::LeaseProof> ProveLease(std::size_t allocator) const {
    return stepping_down_ ? std::nullopt : leases_.ProveLease(allocator);
  }
  Time GrantsExpireAt(Time now) const {
    Time latest = now;
    for (const quota::Allocator& allocator : allocators_)
      latest = std::max(latest, allocator.GrantsExpireAt(now));
    return latest;
  }

  void CountRequest(const std::string& partner, double units, bool admitted, bool ran) {
    gateways_.CountRequest(number_, partner, host_.TrueTime(),
                           static_cast<quota::MilliUnits>(std::ceil(units * quota::kUnit)), admitted, ran);
  }

  void Serve(Time now) {
    if (!gateways_.options_.spender.enabled) return ServeClients(now);
    std::vector<quota::Account*> accounts;
    for (const auto& each : accounts_) accounts.push_back(each.get());
    std::vector<std::string> partners;
    for (const auto& [partner, per_s] : gateways_.loads_[number_])
      if (per_s > 0) partners.push_back(partner);
    spender_.Serve(now, accounts, partners, gateways_.saving_);
  }

  void ServeClients(Time now) {
    for (; next_arrival_ < arrivals_.size() && arrivals_[next_arrival_].at <= now; ++next_arrival_) {
      const Arrival& arrival = arrivals_[next_arrival_];
      const quota::ChargeResult charged = account().Charge(now, *arrival.partner, arrival.units);
      const bool admitted = charged.verdict == quota::ChargeVerdict::kWithinBudget;
      const bool credited = admitted && Chance(gateways_.options_.credited_fraction);
      CountRequest(*arrival.partner, arrival.units, admitted, !credited);
      if (credited) account().Credit(now, charged.receipt);
    }
    if (now < next_batch_at_) return;
    // The requests of the time in which the machine was stalled arrive together now.
    const Span spread = std::min<Span>(now - next_batch_at_, milliseconds(500)) + kArrivalBatch;
    arrivals_.clear();
    next_arrival_ = 0;
    for (const auto& [partner, per_s] : gateways_.loads_[number_]) {
      const double mean =
          per_s / gateways_.options_.mean_cost * std::chrono::duration<double>(spread).count();
      for (int n = std::poisson_distribution<>(mean)(random_); n > 0; --n) {
        const double units = gateways_.options_.mean_cost > 1
                                 ? std::exponential_distribution<>(1 / gateways_.options_.mean_cost)(random_)
                                 : gateways_.options_.mean_cost;
        arrivals_.push_back({now + RandomSpan(Span(0), kArrivalBatch), &partner, std::max(units, 0.001)});
      }
    }
    std::sort(arrivals_.begin(), arrivals_.end(),
              [](const Arrival& a, const Arrival& b) { return a.at < b.at; });
    next_batch_at_ = now + kArrivalBatch;
  }

  void Execute(const quota::AccountActions& actions) {
    for (const quota::AccountAction& action : actions) {
      const auto* send = std::get_if<quota::SendRequest>(&action);
      const auto holder = send ? gateways_.Holder(send->allocator) : std::nullopt;
      if (holder) Send(*holder, WireMessage{send->allocator, send->request}, BytesOf(send->request));
    }
  }

  void Execute(std::size_t allocator, const quota::AllocatorActions& actions) {
    for (const quota::AllocatorAction& action : actions) {
      const auto* send = std::get_if<quota::SendResponse>(&action);
      if (!send) continue;
      const auto to = static_cast<std::size_t>(
          std::find(gateways_.names_.begin(), gateways_.names_.end(), send->gateway) -
          gateways_.names_.begin());
      Send(to, WireMessage{allocator, send->response}, BytesOf(send->response));
    }
  }

  // Sends a message. Depending on the options, delays the message or also sends a delayed copy of it.
  void Send(std::size_t to, const WireMessage& wire, std::size_t bytes) {
    const auto send = [&host = host_, address = gateways_.addresses_[to], wire, bytes] {
      host.Send(address, wire, bytes);
    };
    const bool delayed = Chance(gateways_.options_.delayed_fraction),
               duplicated = Chance(gateways_.options_.duplicated_fraction);
    if (!delayed) send();
    for (int copies = (delayed ? 1 : 0) + (duplicated ? 1 : 0); copies > 0; --copies)
      gateways_.world_.At(gateways_.world_.now() + RandomSpan(Span(0), gateways_.options_.max_delay), send);
  }

  Gateways& gateways_;
  Host& host_;
  const std::size_t number_;
  const std::uint64_t incarnation_;
  std::mt19937_64 random_;
  const std::size_t site_;
  // One account per process. The last account belongs to the process that has the gateway's address.
  std::vector<std::unique_ptr<quota::Account>> accounts_;
  std::vector<quota::Allocator> allocators_;
  std::vector<std::optional<fleet::LeaseProof>> proofs_;  // by lease; the newest proof that it is held
  bool stepping_down_ = false;
  Spender spender_;
  std::vector<Arrival> arrivals_;
  std::size_t next_arrival_ = 0;
  QuotaLeaseMember leases_;
  Time next_batch_at_;
};

Gateways::Gateways(const GatewaysOptions& options, std::shared_ptr<const quota::Budgets> budgets)
    : options_(options), world_(options.seed) {
  const std::size_t count = options.sites * options.per_site;
  budgets_.assign(count, budgets);
  loads_.resize(count);
  for (const auto& [partner, budget] : budgets->partners) {
    PartnerTally& tally = tallies_[partner];
    tally.requests_by_gateway.resize(count);
    tally.admitted_by_gateway.resize(count);
    ideal_limiters_.emplace(partner, ExactTokenBucket(budget.rate, budget.burst));
  }
  for (std::size_t i = 0; i < count; ++i) {
    names_.push_back(std::string(1, 'g').append(std::to_string(i)));
    const auto host = static_cast<std::uint32_t>(0x0a000000 + i + 1);
    addresses_.emplace_back(boost::asio::ip::address_v4(host), 7900);
    by_address_[addresses_.back()] = i;
    layout_[SiteName(i / options.per_site)].insert(names_.back());
    world_.network().Place(i, i / options.per_site);
  }
  for (std::size_t site = 0; site < options.sites; ++site)
    voters_.push_back(addresses_[site * options.per_site]);
  const double max_rate_error = options.clock_error *
                                std::chrono::duration<double>(options.timings.clock_drift) /
                                std::chrono::duration<double>(options.timings.lease_term);
  for (std::size_t i = 0; i < count; ++i) {
    MachineClock clock;
    // Draw the ends of the range often, because a missing safety margin is most likely to show with the
    // largest clock errors.
    const double position = std::uniform_real_distribution<>(-3, 3)(world_.random());
    clock.rate = 1 + max_rate_error * std::clamp(position, -1.0, 1.0);
    clock.offset = std::chrono::hours(1 + i % 7);
    world_.Add(
        names_[i], addresses_[i], [this, i](Host& host) { return std::make_unique<Program>(*this, host, i); },
        clock);
  }
}

Gateways::~Gateways() = default;

void Gateways::SetLoad(std::size_t gateway, const std::string& partner, double per_s) {
  loads_[gateway][partner] = per_s;
}

void Gateways::SetBudgets(std::size_t gateway, std::shared_ptr<const quota::Budgets> budgets) {
  budgets_[gateway] = budgets;
  if (auto* program = static_cast<Program*>(world_.program(gateway)))
    program->UpdateBudgets(std::move(budgets));
}

void Gateways::HandOver(std::size_t gateway) {
  if (auto* program = static_cast<Program*>(world_.program(gateway))) program->HandOver();
}

void Gateways::StepDown(std::size_t gateway) {
  if (auto* program = static_cast<Program*>(world_.program(gateway))) program->StepDown();
}

void Gateways::ClearTallies() {
  const std::size_t count = size();
  for (auto& [partner, tally] : tallies_) {
    tally = PartnerTally{};
    tally.requests_by_gateway.resize(count);
    tally.admitted_by_gateway.resize(count);
  }
}

void Gateways::CountRequest(std::size_t gateway, const std::string& partner, Moment at,
                            quota::MilliUnits cost, bool admitted, bool ran) {
  PartnerTally& tally = tallies_.at(partner);
  ++tally.requests_by_gateway[gateway];
  const bool ideal_admits = ideal_limiters_.at(partner).TryCharge({at, cost});
  if (ideal_admits) {
    ++tally.ideal_admitted;
    tally.ideal_spent += cost;
  }
  if (admitted && ran) {
    ++tally.admitted_by_gateway[gateway];
    tally.spent += cost;
    if (options_.record_admissions) tally.admissions.push_back({at, cost});
  }
  if (!admitted && ideal_admits) ++tally.wrongly_rejected;
}

}  // namespace load_balancer::model
