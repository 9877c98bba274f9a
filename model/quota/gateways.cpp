// SPDX-License-Identifier: Apache-2.0
#include "model/quota/gateways.h"

#include <cmath>
#include <variant>

namespace load_balancer::model {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kLeaseBytes = 120;
constexpr Span kArrivals = milliseconds(20);  // that are drawn at a time

struct Wire {
  std::size_t allocator = 0;
  std::variant<quota::AllocationRequest, quota::AllocationResponse, fleet::LeaseMessage> message;
};

// About what it takes as MessagePack.
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
  Program(Gateways& all, Host& host, std::size_t number)
      : all_(all),
        host_(host),
        number_(number),
        incarnation_(++all.incarnations_),
        random_(all.options_.seed * 1'000'003 + incarnation_),
        site_(number / all.options_.per_site),
        spender_(all.options_.greed, all.options_.seed * 7919 + incarnation_, host.Now(),
                 [this](const std::string& partner, double units, bool inside, bool ran) {
                   Count(partner, units, inside, ran);
                 }),
        leases_(host, incarnation_, number, all.voters_, all.options_.allocators, all.options_.timings,
                all.holders_,
                [&host](const Endpoint& to, const fleet::LeaseMessage& message) {
                  host.Send(to, Wire{0, message}, kLeaseBytes);
                }),
        next_draw_(host.Now()) {
    accounts_.push_back(NewAccount(incarnation_));
    for (std::size_t i = 0; i < all.options_.allocators; ++i)
      allocators_.emplace_back(
          quota::AllocatorOptions{i, all.options_.allocators, all.layout_, all.options_.timings},
          all.files_[number]);
    proofs_.resize(allocators_.size());
  }

  void Receive(const Packet& packet) override {
    const auto& wire = std::any_cast<const Wire&>(*packet.content);
    const Time now = host_.Now();
    if (const auto* response = std::get_if<quota::AllocationResponse>(&wire.message)) {
      quota::AccountActions actions;
      account().OnResponse(now, wire.allocator, *response, &actions);
      return Act(actions);
    }
    if (const auto* lease = std::get_if<fleet::LeaseMessage>(&wire.message))
      return leases_.Receive(packet.from, *lease);
    const auto from = all_.by_address_.find(packet.from);
    // The proof that there was may be used late: it is for the allocator to ask it.
    std::optional<fleet::LeaseProof>& proof = proofs_[wire.allocator];
    if (auto held = leases_.ProveLease(wire.allocator)) proof.emplace(std::move(*held));
    if (!proof || stepping_down_) return;
    quota::AllocatorActions actions;
    allocators_[wire.allocator].OnRequest(now, *proof, all_.names_[from->second],
                                          std::get<quota::AllocationRequest>(wire.message), &actions);
    Act(wire.allocator, actions);
  }

  void Tick() override {
    const Time now = host_.Now();
    leases_.Tick();
    if (stepping_down_ && now >= GrantsExpireAt(now)) {
      stepping_down_ = false;
      leases_.GiveBack();
    }
    for (std::size_t i = 0; i < allocators_.size(); ++i)
      if (const auto proof = allocators_[i].Next() <= now ? ProveLease(i) : std::nullopt) {
        quota::AllocatorActions actions;
        allocators_[i].Tick(now, *proof, &actions);
        Act(i, actions);
      }
    Serve(now);
    quota::AccountActions actions;
    account().Tick(now, &actions);
    Act(actions);
  }

  Time Next() const override {
    const Time now = host_.Now();
    Time next = std::min(
        {leases_.Next(), all_.options_.greed.on ? spender_.Next() : next_draw_, accounts_.back()->Next()});
    if (stepping_down_) next = std::min(next, GrantsExpireAt(now));
    if (at_ < arrivals_.size()) next = std::min(next, arrivals_[at_].at);
    for (std::size_t i = 0; i < allocators_.size(); ++i)
      if (ProveLease(i)) next = std::min(next, allocators_[i].Next());
    return next;
  }

  void UpdateBudgets(std::shared_ptr<const quota::Budgets> budgets) {
    for (quota::Allocator& allocator : allocators_) allocator.UpdateBudgets(budgets);
    quota::AccountActions actions;
    account().UpdateBudgets(host_.Now(), std::move(budgets), &actions);
    Act(actions);
  }

  void HandOver() {
    account().Retire(host_.Now());
    accounts_.push_back(NewAccount(++all_.incarnations_));
  }

  void StepDown() { stepping_down_ = true; }

 private:
  struct Arrival {
    Time at;
    const std::string* partner;
    double units;
  };

  Span Between(Span from, Span to) {
    return from + Span(std::uniform_int_distribution<Span::rep>(0, (to - from).count())(random_));
  }
  bool Chance(double share) { return share > 0 && std::uniform_real_distribution<>(0, 1)(random_) < share; }

  quota::Account& account() { return *accounts_.back(); }
  std::unique_ptr<quota::Account> NewAccount(std::uint64_t incarnation) {
    const GatewaysOptions& options = all_.options_;
    return std::make_unique<quota::Account>(
        quota::AccountOptions{SiteName(site_), options.per_site, incarnation, options.allocators,
                              options.timings},
        all_.files_[number_], host_.Now());
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

  void Count(const std::string& partner, double units, bool inside, bool counts) {
    all_.Count(number_, partner, host_.TrueTime(),
               static_cast<quota::MilliUnits>(std::ceil(units * quota::kUnit)), inside, counts);
  }

  void Serve(Time now) {
    if (!all_.options_.greed.on) return ServeClients(now);
    std::vector<quota::Account*> accounts;
    for (const auto& each : accounts_) accounts.push_back(each.get());
    std::vector<std::string> partners;
    for (const auto& [partner, per_s] : all_.loads_[number_])
      if (per_s > 0) partners.push_back(partner);
    spender_.Serve(now, accounts, partners, all_.saving_);
  }

  void ServeClients(Time now) {
    for (; at_ < arrivals_.size() && arrivals_[at_].at <= now; ++at_) {
      const Arrival& arrival = arrivals_[at_];
      const quota::ChargeResult charged = account().Charge(now, *arrival.partner, arrival.units);
      const bool inside = charged.verdict == quota::ChargeVerdict::kWithinBudget;
      const bool credited = inside && Chance(all_.options_.credited);
      Count(*arrival.partner, arrival.units, inside, !credited);
      if (credited) account().Credit(now, charged.receipt);
    }
    if (now < next_draw_) return;
    // What came while the machine stood still comes at once.
    const Span spread = std::min<Span>(now - next_draw_, milliseconds(500)) + kArrivals;
    arrivals_.clear();
    at_ = 0;
    for (const auto& [partner, per_s] : all_.loads_[number_]) {
      const double mean = per_s / all_.options_.cost * std::chrono::duration<double>(spread).count();
      for (int n = std::poisson_distribution<>(mean)(random_); n > 0; --n) {
        const double units = all_.options_.cost > 1
                                 ? std::exponential_distribution<>(1 / all_.options_.cost)(random_)
                                 : all_.options_.cost;
        arrivals_.push_back({now + Between(Span(0), kArrivals), &partner, std::max(units, 0.001)});
      }
    }
    std::sort(arrivals_.begin(), arrivals_.end(),
              [](const Arrival& a, const Arrival& b) { return a.at < b.at; });
    next_draw_ = now + kArrivals;
  }

  void Act(const quota::AccountActions& actions) {
    for (const quota::AccountAction& action : actions) {
      const auto* send = std::get_if<quota::SendRequest>(&action);
      const auto holder = send ? all_.Holder(send->allocator) : std::nullopt;
      if (holder) Post(*holder, Wire{send->allocator, send->request}, BytesOf(send->request));
    }
  }

  void Act(std::size_t allocator, const quota::AllocatorActions& actions) {
    for (const quota::AllocatorAction& action : actions) {
      const auto* send = std::get_if<quota::SendResponse>(&action);
      if (!send) continue;
      const auto to = static_cast<std::size_t>(
          std::find(all_.names_.begin(), all_.names_.end(), send->gateway) - all_.names_.begin());
      Post(to, Wire{allocator, send->response}, BytesOf(send->response));
    }
  }

  // Late, or once more late, as the options have it.
  void Post(std::size_t to, const Wire& wire, std::size_t bytes) {
    const auto post = [&host = host_, address = all_.addresses_[to], wire, bytes] {
      host.Send(address, wire, bytes);
    };
    const bool late = Chance(all_.options_.late), again = Chance(all_.options_.again);
    if (!late) post();
    for (int copies = (late ? 1 : 0) + (again ? 1 : 0); copies > 0; --copies)
      all_.world_.At(all_.world_.now() + Between(Span(0), all_.options_.latest), post);
  }

  Gateways& all_;
  Host& host_;
  const std::size_t number_;
  const std::uint64_t incarnation_;
  std::mt19937_64 random_;
  const std::size_t site_;
  std::vector<std::unique_ptr<quota::Account>> accounts_;  // the last one has the gateway's address
  std::vector<quota::Allocator> allocators_;
  std::vector<std::optional<fleet::LeaseProof>> proofs_;  // the newest of each
  bool stepping_down_ = false;
  Spender spender_;
  std::vector<Arrival> arrivals_;
  std::size_t at_ = 0;
  LeaseMember leases_;
  Time next_draw_;
};

Gateways::Gateways(const GatewaysOptions& options, std::shared_ptr<const quota::Budgets> budgets)
    : options_(options), world_(options.seed) {
  const std::size_t count = options.sites * options.per_site;
  files_.assign(count, budgets);
  loads_.resize(count);
  for (const auto& [partner, budget] : budgets->partners) {
    Tally& tally = tallies_[partner];
    tally.asked.resize(count);
    tally.inside.resize(count);
    ideal_.emplace(partner, Window(budget.rate, budget.burst));
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
  const double apart = options.clocks_apart * std::chrono::duration<double>(options.timings.clock_drift) /
                       std::chrono::duration<double>(options.timings.lease_term);
  for (std::size_t i = 0; i < count; ++i) {
    MachineClock clock;
    // The ends of the range are where a margin that is missing shows.
    const double at = std::uniform_real_distribution<>(-3, 3)(world_.random());
    clock.rate = 1 + apart * std::clamp(at, -1.0, 1.0);
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
  files_[gateway] = budgets;
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
    tally = Tally{};
    tally.asked.resize(count);
    tally.inside.resize(count);
  }
}

void Gateways::Count(std::size_t gateway, const std::string& partner, Moment at, quota::MilliUnits cost,
                     bool inside, bool counts) {
  Tally& tally = tallies_.at(partner);
  ++tally.asked[gateway];
  const bool possible = ideal_.at(partner).Offer({at, cost});
  if (possible) {
    ++tally.possible;
    tally.possible_spent += cost;
  }
  if (inside && counts) {
    ++tally.inside[gateway];
    tally.spent += cost;
    if (options_.keep_all) tally.admitted.push_back({at, cost});
  }
  if (!inside && possible) ++tally.refused_in_error;
}

}  // namespace load_balancer::model
