// SPDX-License-Identifier: Apache-2.0
#include "model/quota/scale/gateway_cluster.h"

#include <utility>
#include <variant>

#include "quota/message_codec.h"

namespace load_balancer::model::scale {
namespace {

using nlohmann::json;

constexpr std::size_t kLeaseBytes = 120;
// The bytes of a datagram in addition to its payload: sender, channel, and IP and UDP headers.
constexpr std::size_t kDatagramOverheadBytes = 120;
// The CPU time of one in this many charges is measured, because reading the clock costs as much as a charge.
constexpr std::uint64_t kChargesPerTiming = 16;

struct WireMessage {
  std::size_t allocator = 0;
  std::variant<quota::AllocationRequest, quota::AllocationResponse, fleet::LeaseMessage> message;
};

template <typename Message>
std::size_t BytesOf(std::size_t allocator, const Message& message) {
  return kDatagramOverheadBytes + json::to_msgpack(json{{quota::kAllocatorKey, allocator},
                                                        {quota::kRequestKey, quota::ToJson(message)}})
                                      .size();
}
std::size_t EntriesOf(const quota::AllocationRequest& request) {
  return request.grant_requests.size() + request.acks.size();
}
std::size_t EntriesOf(const quota::AllocationResponse& response) {
  return response.grants.size() + response.recalls.size() + response.reserved_minimums.size();
}

}  // namespace

class GatewayCluster::Program final : public model::Program {
 public:
  Program(GatewayCluster& cluster, Host& host, std::size_t number)
      : cluster_(cluster),
        host_(host),
        number_(number),
        incarnation_(++cluster.last_incarnation_),
        account_({SiteName(cluster.SiteOf(number)), cluster.options_.per_site, incarnation_,
                  cluster.options_.allocators, cluster.options_.timings},
                 cluster.budgets_, host.Now()) {
    if (!cluster.is_candidate_[number]) return;
    leases_.emplace(host, incarnation_, number, cluster.voters_, cluster.options_.allocators,
                    cluster.options_.timings, cluster.holders_,
                    [&host](const Endpoint& to, const fleet::LeaseMessage& message) {
                      host.Send(to, WireMessage{0, message}, kLeaseBytes);
                    });
    for (std::size_t i = 0; i < cluster.options_.allocators; ++i)
      allocators_.emplace_back(
          quota::AllocatorOptions{i, cluster.options_.allocators, cluster.layout_, cluster.options_.timings},
          cluster.budgets_);
  }

  void Receive(const Packet& packet) override {
    Serve();
    const auto& wire = std::any_cast<const WireMessage&>(*packet.content);
    if (const auto* response = std::get_if<quota::AllocationResponse>(&wire.message)) {
      const double begin = cluster_.CpuSeconds();
      quota::AccountActions actions;
      account_.OnResponse(host_.Now(), wire.allocator, *response, &actions);
      Execute(actions);
      cluster_.AddCpuTime(begin, &cluster_.gateway_costs_.other_cpu_s);
    } else if (const auto* request = std::get_if<quota::AllocationRequest>(&wire.message)) {
      const auto proof = leases_ ? leases_->ProveLease(wire.allocator) : std::nullopt;
      if (!proof) return;
      const double begin = cluster_.CpuSeconds();
      quota::AllocatorActions actions;
      allocators_[wire.allocator].OnRequest(
          host_.Now(), *proof, cluster_.names_[cluster_.by_address_.at(packet.from)], *request, &actions);
      Execute(wire.allocator, actions);
      cluster_.AddCpuTime(begin, &cluster_.allocator_costs_.other_cpu_s);
    } else if (leases_) {
      leases_->Receive(packet.from, std::get<fleet::LeaseMessage>(wire.message));
    }
  }

  void Tick() override {
    const Time now = host_.Now();
    if (leases_) leases_->Tick();
    for (std::size_t i = 0; i < allocators_.size(); ++i) {
      const auto proof = allocators_[i].Next() <= now ? leases_->ProveLease(i) : std::nullopt;
      if (!proof) continue;
      const double begin = cluster_.CpuSeconds();
      quota::AllocatorActions actions;
      allocators_[i].Tick(now, *proof, &actions);
      Execute(i, actions);
      cluster_.AddCpuTime(begin, &cluster_.allocator_costs_.other_cpu_s);
    }
    Serve();
    if (account_.Next() > now) return;
    const double begin = cluster_.CpuSeconds();
    quota::AccountActions actions;
    account_.Tick(now, &actions);
    Execute(actions);
    cluster_.AddCpuTime(begin, &cluster_.gateway_costs_.other_cpu_s);
  }

  Time Next() const override {
    Time next = account_.Next();
    if (leases_) next = std::min(next, leases_->Next());
    const Moment arrival = cluster_.clients_[number_].Next();
    if (arrival != Moment::max()) next = std::min(next, cluster_.clocks_[number_].At(arrival));
    for (std::size_t i = 0; i < allocators_.size(); ++i)
      if (leases_->ProveLease(i)) next = std::min(next, allocators_[i].Next());
    return next;
  }

 private:
  void Serve() {
    const Moment true_now = host_.TrueTime();
    while (const auto arrival = cluster_.clients_[number_].Take(true_now)) {
      const Time at = cluster_.clocks_[number_].At(arrival->at);
      const bool timed = ++cluster_.gateway_costs_.charges % kChargesPerTiming == 0;
      const double begin = timed ? cluster_.CpuSeconds() : 0;
      const quota::ChargeResult charged = account_.Charge(at, cluster_.partners_[arrival->partner], 1);
      if (timed)
        cluster_.gateway_costs_.charge_cpu_s +=
            (cluster_.CpuSeconds() - begin) * static_cast<double>(kChargesPerTiming);
      cluster_.requests_[arrival->partner].push_back(
          {arrival->at, static_cast<std::uint32_t>(number_),
           charged.verdict == quota::ChargeVerdict::kWithinBudget});
    }
  }

  template <typename Message>
  void Send(std::size_t to, std::size_t allocator, const Message& message, Costs* costs) {
    const std::size_t bytes = BytesOf(allocator, message);
    ++costs->messages;
    costs->bytes += bytes;
    costs->entries += EntriesOf(message);
    host_.Send(cluster_.addresses_[to], WireMessage{allocator, message}, bytes);
  }

  void Execute(const quota::AccountActions& actions) {
    for (const quota::AccountAction& action : actions)
      if (const auto* send = std::get_if<quota::SendRequest>(&action))
        if (const auto holder = cluster_.holders_.HolderAt(send->allocator, cluster_.world_.now()))
          Send(*holder, send->allocator, send->request, &cluster_.gateway_costs_);
  }

  void Execute(std::size_t allocator, const quota::AllocatorActions& actions) {
    for (const quota::AllocatorAction& action : actions)
      if (const auto* send = std::get_if<quota::SendResponse>(&action))
        Send(cluster_.by_name_.at(send->gateway), allocator, send->response, &cluster_.allocator_costs_);
  }

  GatewayCluster& cluster_;
  Host& host_;
  const std::size_t number_;
  const std::uint64_t incarnation_;
  quota::Account account_;
  std::vector<quota::Allocator> allocators_;
  std::optional<QuotaLeaseMember> leases_;
};

GatewayCluster::GatewayCluster(const GatewayClusterOptions& options,
                               std::shared_ptr<const quota::Budgets> budgets)
    : options_(options), budgets_(std::move(budgets)), world_(options.seed) {
  const std::size_t count = options.sites * options.per_site;
  constexpr int kTrials = 1000;
  const double begin = CpuSeconds();
  for (int i = 0; i < kTrials; ++i) CpuSeconds();
  clock_read_s_ = (CpuSeconds() - begin) / (kTrials + 1);
  for (const auto& [partner, budget] : budgets_->partners) partners_.push_back(partner);
  requests_.resize(partners_.size());
  clients_.resize(count);
  is_candidate_.resize(count);
  for (std::size_t i = 0; i < count; ++i) {
    names_.push_back(std::string(1, 'g').append(std::to_string(i)));
    addresses_.emplace_back(boost::asio::ip::address_v4(static_cast<std::uint32_t>(0x0a000000 + i + 1)),
                            7900);
    by_address_[addresses_.back()] = i;
    by_name_[names_.back()] = i;
    layout_[SiteName(SiteOf(i))].insert(names_.back());
    world_.network().Place(i, SiteOf(i));
  }
  for (std::size_t i = 0; i < std::min(options.candidates, count); ++i)
    is_candidate_[i % options.sites * options.per_site + i / options.sites] = true;
  for (std::size_t site = 0; site < std::min<std::size_t>(options.sites, 5); ++site)
    voters_.push_back(addresses_[site * options.per_site]);
  Link intersite;
  intersite.min_delay = options.min_intersite_delay;
  intersite.max_delay = options.max_intersite_delay;
  world_.network().SetInterSite(intersite);
  const double max_rate_error = options.clock_error *
                                std::chrono::duration<double>(options.timings.clock_drift) /
                                std::chrono::duration<double>(options.timings.lease_term);
  for (std::size_t i = 0; i < count; ++i) {
    MachineClock clock;
    clock.rate = 1 + max_rate_error * std::uniform_real_distribution<>(-1, 1)(world_.random());
    clock.offset = std::chrono::hours(1 + i % 7);
    clocks_.push_back(clock);
    world_.Add(
        names_[i], addresses_[i], [this, i](Host& host) { return std::make_unique<Program>(*this, host, i); },
        clock);
  }
}

GatewayCluster::~GatewayCluster() = default;

// Stalls the gateway for zero time, because the world calls the program's Next again after a stall.
void GatewayCluster::Wake(std::size_t gateway) { world_.Stall(gateway, Moment(0)); }

void GatewayCluster::Crash(std::size_t gateway) {
  world_.Crash(gateway);
  const std::size_t first = SiteOf(gateway) * options_.per_site;
  const std::size_t next = first + (gateway - first + 1) % options_.per_site;
  clients_[gateway].MoveTo(&clients_[next]);
  Wake(next);
}

std::vector<std::vector<ChargedRequest>> GatewayCluster::TakeRequests() {
  std::vector<std::vector<ChargedRequest>> taken(partners_.size());
  taken.swap(requests_);
  return taken;
}

std::optional<std::size_t> GatewayCluster::Holder(std::size_t allocator) {
  const auto holder = holders_.HolderAt(allocator, world_.now());
  return holder && world_.program(*holder) ? holder : std::nullopt;
}

}  // namespace load_balancer::model::scale
