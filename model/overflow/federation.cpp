// SPDX-License-Identifier: Apache-2.0
#include "model/overflow/federation.h"

#include "model/overflow/gateway.h"

namespace load_balancer::model {

std::string OverflowFederation::SiteName(std::size_t site) {
  return std::string(site < 10 ? "site-0" : "site-") + std::to_string(site);
}

OverflowFederation::OverflowFederation(OverflowFederationOptions options)
    : options_(options),
      world_(options.seed),
      load_(options.sites, 0),
      in_transit_(options.sites, 0),
      holders_(options.sites),
      tallies_(options.sites) {
  Link wide;
  wide.min_delay = options.overflow_options.propagation_time / 2;
  wide.max_delay = options.overflow_options.propagation_time;
  world_.network().SetInterSite(wide);
  for (std::size_t s = 0; s < options.sites; ++s) {
    servers_.emplace_back(world_, options.cores, options.overflow_options.offered_fraction);
    for (std::size_t g = 0; g < options.gateways; ++g) {
      const auto address =
          boost::asio::ip::make_address("10.0." + std::to_string(s) + "." + std::to_string(g + 1));
      directory_[SiteName(s)]["gateway-" + std::to_string(g)] = {{address, 7900}, {address, 8080}};
    }
    Appoint(s, 0);
  }
  for (const auto& [site, gateways] : directory_)
    for (const auto& [name, addresses] : gateways) {
      const std::size_t number = world_.size();
      world_.network().Place(number, number / options.gateways);
      world_.Add(site + "/" + name, addresses.pool, [this, number](Host& host) {
        return std::make_unique<OverflowGateway>(*this, host, number / options_.gateways,
                                                 number % options_.gateways);
      });
    }
}

std::vector<std::size_t> OverflowFederation::Machines(std::size_t site) const {
  std::vector<std::size_t> machines;
  for (std::size_t g = 0; g < options_.gateways; ++g) machines.push_back(Machine(site, g));
  return machines;
}

void OverflowFederation::Appoint(std::size_t site, std::size_t gateway) {
  holders_.at(site) = {gateway, ++last_token_};
}

void OverflowFederation::StartCount() {
  count_from_ = world_.now();
  tallies_.assign(options_.sites, {});
}

Tally OverflowFederation::Sum() const {
  Tally sum;
  for (const Tally& tally : tallies_) sum.Add(tally);
  return sum;
}

bool OverflowFederation::PassesThreshold(const ModelRequest& request) {
  double offered = 0;
  for (std::size_t s = 0; s < options_.sites; ++s)
    offered += s == request.site ? 0 : servers_[s].OfferedCapacity();
  const double probability =
      threshold_
          .Evaluate(Time(world_.now()), request.request_class->priority_weight, request.work_ms, offered)
          .admit_probability;
  return std::uniform_real_distribution<double>(0, 1)(world_.random()) < probability;
}

void OverflowFederation::CountReceived(const ModelRequest& request) {
  if (request.at < count_from_) return;
  Tally& tally = tallies_[request.site];
  ++tally.received;
  tally.offered += request.request_class->priority_weight;
}

void OverflowFederation::CountRun(const ModelRequest& request) {
  if (request.request_class->idempotency == Idempotency::kNotIdempotent &&
      ++non_idempotent_runs_[request.id] == 2)
    ++ran_twice_;
}

bool OverflowFederation::RecordFinal(const ModelRequest& request) {
  if (has_final_.size() <= request.id) has_final_.resize(request.id * 2 + 1, false);
  if (has_final_[request.id]) ++answered_twice_;
  has_final_[request.id] = true;
  return request.at >= count_from_;
}

void OverflowFederation::CountAnswer(const ModelRequest& request, bool elsewhere) {
  if (!RecordFinal(request)) return;
  Tally& tally = tallies_[request.site];
  ++tally.answered;
  if (world_.now() - request.at > request.request_class->latency_objective) {
    tally.late += request.request_class->priority_weight;
    return;
  }
  (elsewhere ? tally.elsewhere : tally.own) += request.request_class->priority_weight;
}

void OverflowFederation::CountGivenUp(const ModelRequest& request,
                                      std::optional<overflow::RejectReason> reason) {
  if (!RecordFinal(request)) return;
  Tally& tally = tallies_[request.site];
  ++tally.given_up;
  if (reason) tally.lost[static_cast<std::size_t>(*reason)] += request.request_class->priority_weight;
}

void OverflowFederation::CountForwarded(const ModelRequest& request) {
  if (request.at >= count_from_) ++tallies_[request.site].forwarded;
}

}  // namespace load_balancer::model
